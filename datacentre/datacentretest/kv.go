// Package datacentretest provides an in-memory key-value service for tests, with
// leases, watches, outages and lost answers. It runs on the caller's clock.
package datacentretest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingknot/metastore"
)

// Fault is the failure injected into one call.
type Fault int

// The faults that can be injected.
const (
	FaultNone       Fault = iota
	FaultNotSent          // the call does not reach the service
	FaultLostAnswer       // the call takes effect and its answer is lost
)

// NoAnswerError is the cause in the error of a call that got no answer.
type NoAnswerError struct{ Op string }

// Error implements the error interface.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("%s: no answer", e.Op) }

// KV is a client of an in-memory key-value service, with its own delays and faults. It
// implements metastore.KV and is safe for concurrent use.
type KV struct {
	// RequestDelay and AnswerDelay are the times that a call takes to reach the
	// service and its answer to come back, in nanoseconds.
	RequestDelay atomic.Int64
	AnswerDelay  atomic.Int64
	// Fault selects the fault of each call by its operation; nil means no faults.
	// It is called with the lock of the service held.
	Fault func(op string) Fault

	*service
}

// service is the state of the key-value service, shared by all its clients.
type service struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	leases   map[metastore.LeaseID]*lease
	entries  map[string]metastore.Entry
	watchers map[*watcher]struct{}
	calls    map[string]int
}

// lease is a granted lease; expiry is the time at which it expires unless renewed.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// watcher is an open watch of the keys with from <= key < to.
type watcher struct {
	from, to string
	changes  chan metastore.Change
}

// NewKV returns a client of a new, empty service that reads the time from now.
func NewKV(now func() time.Time) *KV {
	return &KV{service: &service{
		now:      now,
		leases:   map[metastore.LeaseID]*lease{},
		entries:  map[string]metastore.Entry{},
		watchers: map[*watcher]struct{}{},
		calls:    map[string]int{},
	}}
}

// NewClient returns a further client of the same service, without faults or delays.
func (k *KV) NewClient() *KV { return &KV{service: k.service} }

// Calls returns the number of attempted calls of an operation, of all clients and
// including those that failed.
func (s *service) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// ExpireLeases removes the leases that have expired by now. Every call that reaches the
// service does this as well.
func (s *service) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// expireLeases is ExpireLeases for callers that hold the lock.
func (s *service) expireLeases() {
	for id, l := range s.leases {
		if !s.now().Before(l.expiry) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys attached to it.
func (s *service) endLease(leaseID metastore.LeaseID) {
	delete(s.leases, leaseID)
	for key, e := range s.entries {
		if e.Lease == leaseID {
			s.deleteKey(key)
		}
	}
}

// deleteKey removes a key and notifies the watchers.
func (s *service) deleteKey(key string) {
	s.revision++
	e := s.entries[key]
	delete(s.entries, key)
	s.notify(metastore.Change{Entry: e, Deleted: true})
}

// notify sends a change to the watchers of its key.
func (s *service) notify(c metastore.Change) {
	for w := range s.watchers {
		if w.from <= c.Entry.Key && c.Entry.Key < w.to {
			w.changes <- c
		}
	}
}

// call runs f under the lock of the service as one call of operation op, with the
// delays and the fault set for this client. The lock is released while the answer
// is delayed.
func (k *KV) call(ctx context.Context, op, key string, f func() error) error {
	sleep(ctx, &k.RequestDelay)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[op]++
	fault := FaultNone
	if k.Fault != nil {
		fault = k.Fault(op)
	}
	if fault == FaultNotSent || ctx.Err() != nil {
		return &metastore.NotSentError{Op: op, Key: key, Err: &NoAnswerError{Op: op}}
	}
	k.expireLeases()
	err := f()
	k.mu.Unlock()
	sleep(ctx, &k.AnswerDelay)
	k.mu.Lock()
	if fault == FaultLostAnswer || ctx.Err() != nil {
		return &metastore.UnknownOutcomeError{Op: op, Key: key, Err: &NoAnswerError{Op: op}}
	}
	return err
}

// sleep waits for delay nanoseconds or until ctx ends.
func sleep(ctx context.Context, delay *atomic.Int64) {
	d := time.Duration(delay.Load())
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// refusedError returns the error of a call that the service refused.
func refusedError(op, key string, cause metastore.Cause) error {
	return &metastore.RefusedError{Op: op, Key: key, Cause: cause}
}

// Get implements metastore.KV.
func (k *KV) Get(ctx context.Context, _ metastore.Purpose, key string) (e metastore.Entry, err error) {
	err = k.call(ctx, "get", key, func() error {
		var ok bool
		if e, ok = k.entries[key]; !ok {
			return refusedError("get", key, metastore.CauseNotFound)
		}
		return nil
	})
	return e, err
}

// Range implements metastore.KV.
func (k *KV) Range(ctx context.Context, _ metastore.Purpose, from, to string, limit int) (list []metastore.Entry, rev int64, err error) {
	err = k.call(ctx, "range", from, func() error {
		rev = k.revision
		for key, e := range k.entries {
			if from <= key && key < to {
				list = append(list, e)
			}
		}
		slices.SortFunc(list, func(a, b metastore.Entry) int { return cmp.Compare(a.Key, b.Key) })
		if limit > 0 && len(list) > limit {
			list = list[:limit]
		}
		return nil
	})
	return list, rev, err
}

// Create implements metastore.KV.
func (k *KV) Create(ctx context.Context, _ metastore.Purpose, key string, value []byte, leaseID metastore.LeaseID) (rev int64, err error) {
	err = k.call(ctx, "create", key, func() error {
		if _, ok := k.entries[key]; ok {
			return refusedError("create", key, metastore.CauseExists)
		}
		if leaseID != 0 && k.leases[leaseID] == nil {
			return refusedError("create", key, metastore.CauseLeaseExpired)
		}
		k.revision++
		rev = k.revision
		e := metastore.Entry{Key: key, Value: value, CreateRevision: rev, ModRevision: rev, Lease: leaseID}
		k.entries[key] = e
		k.notify(metastore.Change{Entry: e})
		return nil
	})
	return rev, err
}

// Swap implements metastore.KV.
func (k *KV) Swap(ctx context.Context, _ metastore.Purpose, key string, value []byte, rev int64, leaseID metastore.LeaseID) (next int64, err error) {
	err = k.call(ctx, "swap", key, func() error {
		e, ok := k.entries[key]
		if !ok || e.ModRevision != rev {
			return refusedError("swap", key, metastore.CauseConflict)
		}
		k.revision++
		next = k.revision
		e.Value, e.ModRevision, e.Lease = value, next, leaseID
		k.entries[key] = e
		k.notify(metastore.Change{Entry: e})
		return nil
	})
	return next, err
}

// Delete implements metastore.KV.
func (k *KV) Delete(ctx context.Context, _ metastore.Purpose, key string, rev int64) error {
	return k.call(ctx, "delete", key, func() error {
		e, ok := k.entries[key]
		if !ok {
			return refusedError("delete", key, metastore.CauseNotFound)
		}
		if rev != 0 && e.ModRevision != rev {
			return refusedError("delete", key, metastore.CauseConflict)
		}
		k.deleteKey(key)
		return nil
	})
}

// Grant implements metastore.KV.
func (k *KV) Grant(ctx context.Context, _ metastore.Purpose, ttl time.Duration) (id metastore.LeaseID, err error) {
	err = k.call(ctx, "grant", "", func() error {
		k.revision++
		id = metastore.LeaseID(k.revision)
		k.leases[id] = &lease{ttl: ttl, expiry: k.now().Add(ttl)}
		return nil
	})
	return id, err
}

// KeepAlive implements metastore.KV.
func (k *KV) KeepAlive(ctx context.Context, _ metastore.Purpose, id metastore.LeaseID) (ttl time.Duration, err error) {
	err = k.call(ctx, "keepalive", "", func() error {
		l := k.leases[id]
		if l == nil {
			return refusedError("keepalive", "", metastore.CauseLeaseExpired)
		}
		l.expiry = k.now().Add(l.ttl)
		ttl = l.ttl
		return nil
	})
	return ttl, err
}

// Revoke implements metastore.KV.
func (k *KV) Revoke(ctx context.Context, _ metastore.Purpose, id metastore.LeaseID) error {
	return k.call(ctx, "revoke", "", func() error {
		if k.leases[id] == nil {
			return refusedError("revoke", "", metastore.CauseLeaseExpired)
		}
		k.endLease(id)
		return nil
	})
}

// Watch implements metastore.KV, except that it ignores the revision: only changes
// after the call are sent.
func (k *KV) Watch(ctx context.Context, _ metastore.Purpose, from, to string, _ int64) (<-chan metastore.Change, error) {
	const buffer = 1024
	w := &watcher{from: from, to: to, changes: make(chan metastore.Change, buffer)}
	err := k.call(ctx, "watch", from, func() error {
		k.watchers[w] = struct{}{}
		return nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.watchers, w)
		close(w.changes)
	})
	return w.changes, nil
}
