package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
)

// TestMirrorEndsAsTheStore feeds a mirror the changes of a store late, twice and
// out of order, with reads of the range at old revisions in between: after a
// last read it holds what the store holds, and no key ever goes back.
func TestMirrorEndsAsTheStore(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		type state map[string]metastore.Entry
		now := state{}
		revision := int64(0)
		type change struct {
			entry   metastore.Entry
			removed bool
		}
		var changes []change
		snapshots := []state{{}}
		m := NewMirror()
		newest := map[string]int64{}
		observe := func(d Delta) {
			for _, e := range d.Changed {
				if e.ModRevision <= newest[e.Key] {
					t.Fatalf("%s went back to %d", e.Key, e.ModRevision)
				}
				newest[e.Key] = e.ModRevision
			}
		}
		reset := func(at int) {
			var items []metastore.Entry
			for _, e := range snapshots[at] {
				items = append(items, e)
			}
			observe(m.Reset(items, int64(at)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				revision++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				e := metastore.Entry{Key: key, ModRevision: revision}
				now[key] = e
				changes = append(changes, change{entry: e})
				snapshots = append(snapshots, clone(now))
			},
			"remove": func(t *rapid.T) {
				revision++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				delete(now, key)
				changes = append(changes, change{entry: metastore.Entry{Key: key, ModRevision: revision}, removed: true})
				snapshots = append(snapshots, clone(now))
			},
			"deliver": func(t *rapid.T) {
				if len(changes) == 0 {
					t.Skip("nothing to deliver")
				}
				c := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
				if c.removed {
					m.Remove(c.entry.Key, c.entry.ModRevision)
				} else {
					observe(m.Put(c.entry))
				}
			},
			"read": func(t *rapid.T) {
				reset(rapid.IntRange(0, len(snapshots)-1).Draw(t, "revision"))
			},
		})
		reset(len(snapshots) - 1)
		assert.Equal(t, m.Len(), len(now))
		for _, e := range m.Entries() {
			assert.Equal(t, e.ModRevision, now[e.Key].ModRevision)
		}
	})
}

func clone(s map[string]metastore.Entry) map[string]metastore.Entry {
	c := map[string]metastore.Entry{}
	for k, v := range s {
		c[k] = v
	}
	return c
}
