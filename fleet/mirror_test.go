package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
)

// TestMirrorConvergesToStore applies the changes of a store to a mirror late,
// repeatedly and out of order, with reads of the whole range at old revisions
// in between. No key may go back to an older revision, and after a final read
// the mirror must hold what the store holds.
func TestMirrorConvergesToStore(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		type state map[string]metastore.Entry
		current := state{}
		revision := int64(0)
		type change struct {
			entry   metastore.Entry
			removed bool
		}
		var changes []change
		snapshots := []state{{}}
		m := NewMirror()
		newestRevision := map[string]int64{}
		checkDelta := func(d Delta) {
			for _, e := range d.Changed {
				if e.ModRevision <= newestRevision[e.Key] {
					t.Fatalf("key %s went back to revision %d", e.Key, e.ModRevision)
				}
				newestRevision[e.Key] = e.ModRevision
			}
		}
		readRange := func(readRevision int) {
			var entries []metastore.Entry
			for _, e := range snapshots[readRevision] {
				entries = append(entries, e)
			}
			checkDelta(m.Reset(entries, int64(readRevision)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				revision++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				e := metastore.Entry{Key: key, ModRevision: revision}
				current[key] = e
				changes = append(changes, change{entry: e})
				snapshots = append(snapshots, cloneEntries(current))
			},
			"remove": func(t *rapid.T) {
				revision++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				delete(current, key)
				changes = append(changes, change{entry: metastore.Entry{Key: key, ModRevision: revision}, removed: true})
				snapshots = append(snapshots, cloneEntries(current))
			},
			"deliver": func(t *rapid.T) {
				if len(changes) == 0 {
					t.Skip("nothing to deliver")
				}
				c := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
				if c.removed {
					m.Remove(c.entry.Key, c.entry.ModRevision)
				} else {
					checkDelta(m.Put(c.entry))
				}
			},
			"read": func(t *rapid.T) {
				readRange(rapid.IntRange(0, len(snapshots)-1).Draw(t, "revision"))
			},
		})
		readRange(len(snapshots) - 1)
		assert.Equal(t, m.Len(), len(current))
		for _, e := range m.Entries() {
			assert.Equal(t, e.ModRevision, current[e.Key].ModRevision)
		}
	})
}

// cloneEntries returns a copy of s.
func cloneEntries(s map[string]metastore.Entry) map[string]metastore.Entry {
	c := map[string]metastore.Entry{}
	for k, v := range s {
		c[k] = v
	}
	return c
}

// TestMirrorFollowsRestoredStore checks that a read of a store that has come back from an
// older copy replaces newer revisions of the era before, and is reported as such once.
func TestMirrorFollowsRestoredStore(t *testing.T) {
	m := NewMirror()
	entry := func(key string, era, revision int64) metastore.Entry {
		return metastore.Entry{Key: key, ModRevision: metastore.Position(era, revision)}
	}
	m.Reset([]metastore.Entry{entry("a", 0, 80), entry("b", 0, 90)}, metastore.Position(0, 100))
	before := m.Digest()
	d := m.Reset([]metastore.Entry{entry("a", 1, 20)}, metastore.Position(1, 30))
	assert.Check(t, d.Restored)
	assert.Equal(t, len(d.Changed), 1)
	assert.DeepEqual(t, d.Removed, []string{"b"})
	d = m.Put(entry("b", 0, 95))
	assert.Check(t, d.Empty(), "a late change of the era before")
	d = m.Put(entry("b", 1, 31))
	assert.Equal(t, len(d.Changed), 1)
	d = m.Reset([]metastore.Entry{entry("a", 1, 80), entry("b", 1, 90)}, metastore.Position(1, 100))
	assert.Check(t, !d.Restored)
	assert.Check(t, m.Digest() != before, "the same revisions in another era are other content")
}
