package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

func TestFreshnessNextRead(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	const maxAge, grace = 10 * time.Second, time.Second
	for _, c := range []struct {
		name    string
		observe func(f *Freshness)
		want    time.Time
	}{
		{"own read alone", func(*Freshness) {}, at(10)},
		{"same content confirmed later", func(f *Freshness) { assert.Check(t, f.Observe(1, at(4), at(5))) }, at(14)},
		{"same content confirmed earlier", func(f *Freshness) { assert.Check(t, f.Observe(1, at(-4), at(5))) }, at(10)},
		{"other content later", func(f *Freshness) { assert.Check(t, !f.Observe(2, at(4), at(5))) }, at(6)},
		{"other content earlier", func(f *Freshness) { assert.Check(t, !f.Observe(2, at(-4), at(5))) }, at(10)},
		{"other content before the last change", func(f *Freshness) {
			f.RecordChange(3, at(5))
			assert.Check(t, !f.Observe(2, at(4), at(6)))
		}, at(10)},
		{"other content, then reported by the watch", func(f *Freshness) {
			f.Observe(2, at(4), at(5))
			f.RecordChange(2, at(6))
		}, at(10)},
		{"other content, then read", func(f *Freshness) {
			f.Observe(2, at(4), at(5))
			f.RecordRead(2, at(7), at(8))
		}, at(17)},
	} {
		f := NewFreshness()
		f.RecordRead(1, at(0), at(0))
		c.observe(f)
		assert.Equal(t, f.NextRead(maxAge, grace), c.want, c.name)
	}
}

// TestUnreadFreshnessConfirmsNothing checks that a copy that was never read takes no
// confirmation from others: its digest is that of no content.
func TestUnreadFreshnessConfirmsNothing(t *testing.T) {
	f := NewFreshness()
	assert.Check(t, !f.Observe(0, time.Unix(100, 0), time.Unix(100, 0)))
	_, at := f.Confirmation()
	assert.Check(t, at.IsZero())
}

// TestFuzzFreshnessNeverYounger lets instances read a changing store, hear of its
// changes late and pass on their confirmations with delays. The store must have held
// the content of each copy when the copy says that it was confirmed, or later.
func TestFuzzFreshnessNeverYounger(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		content := uint64(1)
		replacedAt := map[uint64]time.Time{} // when the store last held a content
		type message struct {
			to     int
			digest uint64
			at     time.Time
		}
		var pending []message
		all := []*Freshness{NewFreshness(), NewFreshness(), NewFreshness()}
		instance := rapid.IntRange(0, len(all)-1)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"change": func(*rapid.T) {
				replacedAt[content] = now
				content++
			},
			"read": func(t *rapid.T) {
				sentAt, read := now, content
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				f := all[instance.Draw(t, "reader")]
				if digest, _ := f.Confirmation(); digest <= read { // as a Mirror keeps newer entries
					f.RecordRead(read, sentAt, now)
				}
			},
			"watch": func(t *rapid.T) {
				f := all[instance.Draw(t, "watcher")]
				if digest, at := f.Confirmation(); !at.IsZero() && digest < content {
					f.RecordChange(rapid.Uint64Range(digest+1, content).Draw(t, "digest"), now)
				}
			},
			"report": func(t *rapid.T) {
				digest, at := all[instance.Draw(t, "sender")].Confirmation()
				if !at.IsZero() {
					pending = append(pending, message{instance.Draw(t, "receiver"), digest, at})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no report is under way")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "message")
				m := pending[i]
				pending = append(pending[:i:i], pending[i+1:]...)
				all[m.to].Observe(m.digest, m.at, now)
			},
			"": func(t *rapid.T) {
				for i, f := range all {
					digest, at := f.Confirmation()
					if at.IsZero() || digest == content && !at.After(now) {
						continue
					}
					if replaced, ok := replacedAt[digest]; !ok || at.After(replaced) {
						t.Fatalf("instance %d: content %d is confirmed at %v, but was replaced at %v", i, digest, at, replaced)
					}
				}
			},
		})
	})
}
