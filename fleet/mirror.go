package fleet

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingknot/metastore"
)

// Delta is the difference between two states of a Mirror.
type Delta struct {
	Changed []metastore.Entry
	Removed []string // keys
	// Restored is set if the state is the first one of a store that has come back from
	// an older copy.
	Restored bool
}

// Empty reports whether the two states are equal.
func (d *Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// Mirror is a copy of the keys under a prefix of the metadata store. It is
// updated by reads of the whole range and by single changes, in any order. For
// each key the highest revision wins, so a change that arrives late has no
// effect. Revisions are positions, see package metastore: what a store holds that has come
// back from an older copy replaces what it held before. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]metastore.Entry // by key
	// rangeRevision is the revision of the newest read of the whole range. A
	// change up to this revision of a key that is not in entries is outdated.
	rangeRevision int64
	// removedRevisions holds the revision at which each removed key was
	// removed, until a read of the whole range at the same or a later revision
	// makes it unnecessary.
	removedRevisions map[string]int64
	digest           uint64 // XOR of the digests of all entries
	valueBytes       int    // of all entries
}

// NewMirror returns an empty Mirror.
func NewMirror() *Mirror {
	return &Mirror{entries: map[string]metastore.Entry{}, removedRevisions: map[string]int64{}}
}

// Reset applies a read of the whole range that was made at revision, and
// returns what it changed. Entries that are newer than revision are kept.
func (m *Mirror) Reset(entries []metastore.Entry, revision int64) Delta {
	d := Delta{Restored: m.isNewEra(revision)}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if m.put(e) {
			d.Changed = append(d.Changed, e)
		}
	}
	for key, e := range m.entries {
		if !present[key] && e.ModRevision <= revision {
			m.delete(key)
			d.Removed = append(d.Removed, key)
		}
	}
	m.rangeRevision = max(m.rangeRevision, revision)
	for key, removedRevision := range m.removedRevisions {
		if removedRevision <= m.rangeRevision {
			delete(m.removedRevisions, key)
		}
	}
	return d
}

// IsOlder reports whether a read of the whole range that was made at revision shows an older
// state than one before it, which says nothing about the present one.
func (m *Mirror) IsOlder(revision int64) bool {
	_, known := metastore.SplitPosition(revision)
	return known != 0 && revision < m.rangeRevision
}

// isNewEra reports whether a revision is of a later era than the newest read of the range.
func (m *Mirror) isNewEra(revision int64) bool {
	known, _ := metastore.SplitPosition(m.rangeRevision)
	era, _ := metastore.SplitPosition(revision)
	return m.rangeRevision != 0 && era > known
}

// Put applies the write of one key and returns what it changed.
func (m *Mirror) Put(e metastore.Entry) Delta {
	if !m.put(e) {
		return Delta{}
	}
	return Delta{Changed: []metastore.Entry{e}}
}

// put stores an entry. It reports false if the entry is outdated.
func (m *Mirror) put(e metastore.Entry) bool {
	current, ok := m.entries[e.Key]
	if ok && current.ModRevision >= e.ModRevision {
		return false
	}
	if !ok && e.ModRevision <= max(m.rangeRevision, m.removedRevisions[e.Key]) {
		return false
	}
	delete(m.removedRevisions, e.Key)
	if ok {
		m.delete(e.Key)
	}
	m.entries[e.Key] = e
	m.digest ^= entryDigest(e)
	m.valueBytes += len(e.Value)
	return true
}

// delete removes the entry of a key, which must exist.
func (m *Mirror) delete(key string) {
	m.digest ^= entryDigest(m.entries[key])
	m.valueBytes -= len(m.entries[key].Value)
	delete(m.entries, key)
}

// entryDigest returns a digest of an entry's key and revision.
func entryDigest(e metastore.Entry) uint64 {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(e.Key)
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(e.ModRevision)))
	return d.Sum64()
}

// Digest returns a digest of the keys and their revisions. Copies of the same
// content have the same digest.
func (m *Mirror) Digest() uint64 { return m.digest }

// Remove applies the removal of one key at revision and returns what it
// changed.
func (m *Mirror) Remove(key string, revision int64) Delta {
	if m.removedRevisions[key] < revision {
		m.removedRevisions[key] = revision
	}
	current, ok := m.entries[key]
	if !ok || current.ModRevision >= revision {
		return Delta{}
	}
	m.delete(key)
	return Delta{Removed: []string{key}}
}

// Len returns the number of keys.
func (m *Mirror) Len() int { return len(m.entries) }

// ValueBytes returns the size of the values of all keys in bytes.
func (m *Mirror) ValueBytes() int { return m.valueBytes }

// Revisions returns the revision of each key.
func (m *Mirror) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(m.entries))
	for key, e := range m.entries {
		revisions[key] = e.ModRevision
	}
	return revisions
}

// Entries returns the entries of all keys in no particular order.
func (m *Mirror) Entries() []metastore.Entry {
	return slices.Collect(maps.Values(m.entries))
}
