package metastoretest

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingknot/metastore"
)

// historyLimit is the number of changes kept for watches that start late.
const historyLimit = 1 << 16

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Store is the key-value service: entries, leases and the history of changes.
// All methods may be called from any goroutine. Leases lapse by the clock that
// was passed in, and are looked at whenever the store is called.
type Store struct {
	now func() time.Time

	mu        sync.Mutex
	revision  int64
	entries   map[string]metastore.Entry
	leases    map[metastore.LeaseID]lease
	nextLease metastore.LeaseID
	history   []change
	compacted int64 // revision of the last change dropped from history
	changed   chan struct{}
	down      bool
}

type change struct {
	revision int64
	metastore.Change
}

// NewStore returns an empty store; a nil clock is time.Now.
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

// SetDown starts or ends an outage for all clients.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake() // the watches end
}

// Down reports whether the store is in an outage.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Backup is the content of a store at one moment.
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

// Restore replaces the content, and the revision, by those of an older copy.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = c.revision
	s.entries = maps.Clone(c.entries)
	s.leases = maps.Clone(c.leases)
	s.nextLease = c.nextLease
	s.history = nil
	s.compacted = c.revision
	s.wake()
}

// ExpireLeases removes the leases that have lapsed, and their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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

// Get returns the entry of key.
func (s *Store) Get(key string) (metastore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return metastore.Entry{}, refused("get", key, metastore.CauseNotFound)
	}
	return cloneEntry(e), nil
}

// Range returns up to limit entries with from <= key < to, the number of all
// such entries, and the revision of the store.
func (s *Store) Range(from, to string, limit int) (found []metastore.Entry, total int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
		found = append(found, cloneEntry(s.entries[k]))
	}
	return found, total, s.revision
}

// Create writes key if it is absent.
func (s *Store) Create(key string, value []byte, id metastore.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.entries[key]; ok {
		return 0, refused("create", key, metastore.CauseExists)
	}
	return s.put("create", key, value, id)
}

// Swap writes key if its ModRevision is rev.
func (s *Store) Swap(key string, value []byte, rev int64, id metastore.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if e, ok := s.entries[key]; !ok || e.ModRevision != rev {
		return 0, refused("swap", key, metastore.CauseConflict)
	}
	return s.put("swap", key, value, id)
}

// Delete removes key if its ModRevision is rev; rev 0 removes any.
func (s *Store) Delete(key string, rev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
	s.expire()
	n := 0
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if k >= from && k < to {
			s.remove(k)
			n++
		}
	}
	return n
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) (metastore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return 0, refused("keepalive", "", metastore.CauseLeaseExpired)
	}
	l.expiry = s.now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(id metastore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return refused("revoke", "", metastore.CauseLeaseExpired)
	}
	s.drop(id)
	return nil
}

// Watch sends the changes of keys with from <= key < to after revision rev
// until ctx ends, the store is restored or an outage begins.
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
		news, wake, ok := s.since(rev)
		if !ok {
			return
		}
		for _, c := range news {
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
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

// since returns the changes after rev and a channel closed at the next change;
// false if the history does not reach back to rev or the store is down.
func (s *Store) since(rev int64) ([]change, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || rev < s.compacted || rev > s.revision {
		return nil, nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, rev+1, func(c change, r int64) int { return int(c.revision - r) })
	return slices.Clone(s.history[i:]), s.changed, true
}

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

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.revision++
	s.record(metastore.Change{Entry: metastore.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) record(c metastore.Change) {
	if len(s.history) >= historyLimit {
		drop := historyLimit / 2
		s.compacted = s.history[drop-1].revision
		s.history = slices.Clone(s.history[drop:])
	}
	s.history = append(s.history, change{s.revision, c})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now.After(s.leases[id].expiry) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id metastore.LeaseID) {
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

// Compact drops the history: watches from before now are refused or end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.wake()
}
