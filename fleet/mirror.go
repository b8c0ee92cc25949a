package fleet

import (
	"maps"
	"slices"

	"redwingknot/metastore"
)

// Delta is a difference between two states of a Mirror.
type Delta struct {
	Changed []metastore.Entry
	Removed []string
}

// Empty reports whether nothing differs.
func (d *Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// Mirror is a copy of the keys under a prefix of the metadata store, fed by
// reads of the whole range and by single changes in any order. Per key the
// highest revision wins, so what arrives late changes nothing. It is not safe
// for concurrent use.
type Mirror struct {
	items map[string]metastore.Entry
	// read is the revision of the newest read of the whole range: a change up to
	// it of a key that is missing was overtaken.
	read int64
	// gone holds the revision at which a key was removed, until a read of the
	// whole range at a later revision makes it needless.
	gone map[string]int64
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{items: map[string]metastore.Entry{}, gone: map[string]int64{}}
}

// Reset takes a read of the whole range made at revision.
func (m *Mirror) Reset(items []metastore.Entry, revision int64) Delta {
	var d Delta
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		if m.put(it) {
			d.Changed = append(d.Changed, it)
		}
	}
	for key, it := range m.items {
		if !present[key] && it.ModRevision <= revision {
			delete(m.items, key)
			d.Removed = append(d.Removed, key)
		}
	}
	m.read = max(m.read, revision)
	for key, removed := range m.gone {
		if removed <= m.read {
			delete(m.gone, key)
		}
	}
	return d
}

// Put takes one written key.
func (m *Mirror) Put(it metastore.Entry) Delta {
	if !m.put(it) {
		return Delta{}
	}
	return Delta{Changed: []metastore.Entry{it}}
}

func (m *Mirror) put(it metastore.Entry) bool {
	known, ok := m.items[it.Key]
	if ok && known.ModRevision >= it.ModRevision {
		return false
	}
	if !ok && it.ModRevision <= max(m.read, m.gone[it.Key]) {
		return false
	}
	delete(m.gone, it.Key)
	m.items[it.Key] = it
	return true
}

// Remove takes one removed key.
func (m *Mirror) Remove(key string, revision int64) Delta {
	if m.gone[key] < revision {
		m.gone[key] = revision
	}
	known, ok := m.items[key]
	if !ok || known.ModRevision >= revision {
		return Delta{}
	}
	delete(m.items, key)
	return Delta{Removed: []string{key}}
}

// Len returns the number of keys.
func (m *Mirror) Len() int { return len(m.items) }

// Entries returns the keys in no order.
func (m *Mirror) Entries() []metastore.Entry {
	return slices.Collect(maps.Values(m.items))
}
