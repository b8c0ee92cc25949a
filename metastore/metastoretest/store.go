package metastoretest

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingknot/metastore"
)

// historyLimit is the number of changes kept for watches that start at an older
// revision.
const historyLimit = 1 << 16

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Store is an in-memory key-value service with entries, leases and a history of
// changes. It is safe for concurrent use. Leases expire by the clock passed to
// NewStore; reads, writes and lease calls first remove those that have expired.
type Store struct {
	now func() time.Time

	mu        sync.Mutex
	revision  int64
	entries   map[string]metastore.Entry
	leases    map[metastore.LeaseID]lease
	nextLease metastore.LeaseID
	history   []change
	compacted int64         // revision of the last change dropped from history
	changed   chan struct{} // closed and replaced at the next change
	down      bool          // whether there is an outage
}

type change struct {
	revision int64
	metastore.Change
}

// NewStore returns an empty store. If now is nil, time.Now is used.
func NewStore(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:       now,
		revision:  1,
		entries:   map[string]metastore.Entry{},
		leases:    map[metastore.LeaseID]lease{},
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// SetDown starts or ends an outage for all clients. An outage ends their watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches() // ends the watches if the store is down
}

// Down reports whether the store is in an outage.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Backup is the content of a store at one point in time.
type Backup struct {
	revision  int64
	entries   map[string]metastore.Entry
	leases    map[metastore.LeaseID]lease
	nextLease metastore.LeaseID
}

// Backup returns a copy of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.revision, maps.Clone(s.entries), maps.Clone(s.leases), s.nextLease}
}

// Restore replaces the content and the revision by those of an older copy. It
// drops the history and ends the watches from other revisions.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = c.revision
	s.entries = maps.Clone(c.entries)
	s.leases = maps.Clone(c.leases)
	s.nextLease = c.nextLease
	s.history = nil
	s.compacted = c.revision
	s.notifyWatches()
}

// ExpireLeases removes the leases that have expired and their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// Keys returns all keys in order.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.entries))
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get returns the entry of key. If the key is missing, it returns a
// *metastore.RefusedError with CauseNotFound.
func (s *Store) Get(key string) (metastore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok {
		return metastore.Entry{}, refused("get", key, metastore.CauseNotFound)
	}
	return cloneEntry(e), nil
}

// Range returns up to limit entries with from <= key < to in key order, the
// number of all such entries, and the revision of the store. Limit 0 means no
// limit.
func (s *Store) Range(from, to string, limit int) (entries []metastore.Entry, total int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var keys []string
	for k := range s.entries {
		if k >= from && k < to {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	total = len(keys)
	if limit > 0 && total > limit {
		keys = keys[:limit]
	}
	for _, k := range keys {
		entries = append(entries, cloneEntry(s.entries[k]))
	}
	return entries, total, s.revision
}

// CheckRevisions reports whether each key has the revision that it is mapped to, where
// 0 means that the key is missing.
func (s *Store) CheckRevisions(revisions map[string]int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for key, revision := range revisions {
		if s.entries[key].ModRevision != revision {
			return false
		}
	}
	return true
}

// Create writes key if it is absent and returns the revision of the write.
func (s *Store) Create(key string, value []byte, id metastore.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.entries[key]; ok {
		return 0, refused("create", key, metastore.CauseExists)
	}
	return s.put("create", key, value, id)
}

// Swap writes key if its ModRevision is rev and returns the revision of the
// write.
func (s *Store) Swap(key string, value []byte, rev int64, id metastore.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if e, ok := s.entries[key]; !ok || e.ModRevision != rev {
		return 0, refused("swap", key, metastore.CauseConflict)
	}
	return s.put("swap", key, value, id)
}

// Delete removes key if its ModRevision is rev; rev 0 matches every revision.
func (s *Store) Delete(key string, rev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok && rev == 0 {
		return refused("delete", key, metastore.CauseNotFound)
	}
	if !ok || rev != 0 && e.ModRevision != rev {
		return refused("delete", key, metastore.CauseConflict)
	}
	s.remove(key)
	return nil
}

// DeleteRange removes all entries with from <= key < to and returns their number.
func (s *Store) DeleteRange(from, to string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	n := 0
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if k >= from && k < to {
			s.remove(k)
			n++
		}
	}
	return n
}

// Grant creates a lease with the given time to live.
func (s *Store) Grant(ttl time.Duration) (metastore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if ttl <= 0 {
		return 0, refused("grant", "", metastore.CauseInvalid)
	}
	id := s.nextLease
	s.nextLease++
	s.leases[id] = lease{ttl: ttl, expiry: s.now().Add(ttl)}
	return id, nil
}

// KeepAlive renews a lease and returns its time to live.
func (s *Store) KeepAlive(id metastore.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return 0, refused("keepalive", "", metastore.CauseLeaseExpired)
	}
	l.expiry = s.now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

// Revoke ends a lease and removes the keys attached to it.
func (s *Store) Revoke(id metastore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		return refused("revoke", "", metastore.CauseLeaseExpired)
	}
	s.removeLease(id)
	return nil
}

// Watch returns a channel of the changes after revision rev to keys with
// from <= key < to. The channel is closed when ctx ends, an outage begins, or the
// history no longer continues from the revision that the watch has reached, for
// example after Compact or Restore.
func (s *Store) Watch(ctx context.Context, from, to string, rev int64) (<-chan metastore.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.compacted {
		return nil, refused("watch", from, metastore.CauseInvalid)
	}
	out := make(chan metastore.Change)
	go s.serveWatch(ctx, out, from, to, rev)
	return out, nil
}

func (s *Store) serveWatch(ctx context.Context, out chan<- metastore.Change, from, to string, rev int64) {
	defer close(out)
	for {
		changes, changed, ok := s.changesSince(rev)
		if !ok {
			return
		}
		for _, c := range changes {
			rev = c.revision
			if c.Entry.Key < from || c.Entry.Key >= to {
				continue
			}
			select {
			case out <- c.Change:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// changesSince returns the changes after rev and a channel that is closed at
// the next change. It returns false if the history doesn't reach back to rev,
// rev is newer than the store or the store is down.
func (s *Store) changesSince(rev int64) ([]change, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || rev < s.compacted || rev > s.revision {
		return nil, nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, rev+1, func(c change, r int64) int { return int(c.revision - r) })
	return slices.Clone(s.history[i:]), s.changed, true
}

// put writes key and records the change. The caller holds mu.
func (s *Store) put(op, key string, value []byte, id metastore.LeaseID) (int64, error) {
	if len(value) > metastore.MaxValueBytes {
		return 0, refused(op, key, metastore.CauseTooLarge)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, refused(op, key, metastore.CauseLeaseExpired)
	}
	s.revision++
	e, ok := s.entries[key]
	if !ok {
		e = metastore.Entry{Key: key, CreateRevision: s.revision}
	}
	e.Value = slices.Clone(value)
	e.ModRevision = s.revision
	e.Lease = id
	s.entries[key] = e
	s.record(metastore.Change{Entry: cloneEntry(e)})
	return s.revision, nil
}

// remove deletes key and records the change. The caller holds mu.
func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.revision++
	s.record(metastore.Change{Entry: metastore.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

// record appends c to the history and notifies the watches.
func (s *Store) record(c metastore.Change) {
	if len(s.history) >= historyLimit {
		dropped := historyLimit / 2
		s.compacted = s.history[dropped-1].revision
		s.history = slices.Clone(s.history[dropped:])
	}
	s.history = append(s.history, change{s.revision, c})
	s.notifyWatches()
}

// notifyWatches wakes the goroutines of all watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes expired leases and their keys. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now.After(s.leases[id].expiry) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds mu.
func (s *Store) removeLease(id metastore.LeaseID) {
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[k].Lease == id {
			s.remove(k)
		}
	}
}

func refused(op, key string, c metastore.Cause) error {
	return &metastore.RefusedError{Op: op, Key: key, Cause: c}
}

func cloneEntry(e metastore.Entry) metastore.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

// Compact drops the history. Watches from older revisions are refused or end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatches()
}
