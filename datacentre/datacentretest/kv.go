// Package datacentretest gives tests a key-value service in memory with leases,
// watches, outages and lost answers, in the time of the caller's clock.
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

// Fault is what happens to one call.
type Fault int

// The faults.
const (
	FaultNone       Fault = iota
	FaultNotSent          // the call does not reach the service
	FaultLostAnswer       // the call takes effect and its answer is lost
)

// NoAnswerError is the cause of a call without an answer.
type NoAnswerError struct{ Op string }

// Error implements error.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("%s: no answer", e.Op) }

// KV is a metastore.KV in memory as one process reaches it. It is safe for
// concurrent use.
type KV struct {
	// RequestDelay and AnswerDelay are the nanoseconds that a call takes each
	// way.
	RequestDelay atomic.Int64
	AnswerDelay  atomic.Int64
	// Fault decides the fate of each call; nil is no fault. It is called under
	// the lock of the service.
	Fault func(op string) Fault

	*service
}

// service is what all processes share.
type service struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	leases   map[metastore.LeaseID]*lease
	entries  map[string]metastore.Entry
	watchers map[*watcher]struct{}
	calls    map[string]int
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type watcher struct {
	from, to string
	changes  chan metastore.Change
}

// NewKV returns an empty service.
func NewKV(now func() time.Time) *KV {
	return &KV{service: &service{
		now:      now,
		leases:   map[metastore.LeaseID]*lease{},
		entries:  map[string]metastore.Entry{},
		watchers: map[*watcher]struct{}{},
		calls:    map[string]int{},
	}}
}

// NewClient returns the same service as another process reaches it.
func (k *KV) NewClient() *KV { return &KV{service: k.service} }

// Calls returns how often an operation was attempted.
func (k *service) Calls(op string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[op]
}

// ExpireLeases ends the leases that have lapsed by now, as every call does.
func (k *service) ExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
}

func (k *service) expire() {
	for id, l := range k.leases {
		if !k.now().Before(l.end) {
			k.drop(id)
		}
	}
}

func (k *service) drop(id metastore.LeaseID) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.Lease == id {
			k.remove(key)
		}
	}
}

func (k *service) remove(key string) {
	k.revision++
	e := k.entries[key]
	delete(k.entries, key)
	k.tell(metastore.Change{Entry: e, Deleted: true})
}

func (k *service) tell(c metastore.Change) {
	for w := range k.watchers {
		if w.from <= c.Entry.Key && c.Entry.Key < w.to {
			w.changes <- c
		}
	}
}

// do runs f as one call of the service.
func (k *KV) do(ctx context.Context, op, key string, f func() error) error {
	wait(ctx, &k.RequestDelay)
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
	k.expire()
	err := f()
	k.mu.Unlock()
	wait(ctx, &k.AnswerDelay)
	k.mu.Lock()
	if fault == FaultLostAnswer || ctx.Err() != nil {
		return &metastore.UnknownOutcomeError{Op: op, Key: key, Err: &NoAnswerError{Op: op}}
	}
	return err
}

func wait(ctx context.Context, delay *atomic.Int64) {
	d := time.Duration(delay.Load())
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func refused(op, key string, cause metastore.Cause) error {
	return &metastore.RefusedError{Op: op, Key: key, Cause: cause}
}

// Get implements metastore.KV.
func (k *KV) Get(ctx context.Context, _ metastore.Purpose, key string) (e metastore.Entry, err error) {
	err = k.do(ctx, "get", key, func() error {
		var ok bool
		if e, ok = k.entries[key]; !ok {
			return refused("get", key, metastore.CauseNotFound)
		}
		return nil
	})
	return e, err
}

// Range implements metastore.KV.
func (k *KV) Range(ctx context.Context, _ metastore.Purpose, from, to string, limit int) (list []metastore.Entry, rev int64, err error) {
	err = k.do(ctx, "range", from, func() error {
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
func (k *KV) Create(ctx context.Context, _ metastore.Purpose, key string, value []byte, id metastore.LeaseID) (rev int64, err error) {
	err = k.do(ctx, "create", key, func() error {
		if _, ok := k.entries[key]; ok {
			return refused("create", key, metastore.CauseExists)
		}
		if id != 0 && k.leases[id] == nil {
			return refused("create", key, metastore.CauseLeaseExpired)
		}
		k.revision++
		rev = k.revision
		e := metastore.Entry{Key: key, Value: value, CreateRevision: rev, ModRevision: rev, Lease: id}
		k.entries[key] = e
		k.tell(metastore.Change{Entry: e})
		return nil
	})
	return rev, err
}

// Swap implements metastore.KV.
func (k *KV) Swap(ctx context.Context, _ metastore.Purpose, key string, value []byte, rev int64, id metastore.LeaseID) (next int64, err error) {
	err = k.do(ctx, "swap", key, func() error {
		e, ok := k.entries[key]
		if !ok || e.ModRevision != rev {
			return refused("swap", key, metastore.CauseConflict)
		}
		k.revision++
		next = k.revision
		e.Value, e.ModRevision, e.Lease = value, next, id
		k.entries[key] = e
		k.tell(metastore.Change{Entry: e})
		return nil
	})
	return next, err
}

// Delete implements metastore.KV.
func (k *KV) Delete(ctx context.Context, _ metastore.Purpose, key string, rev int64) error {
	return k.do(ctx, "delete", key, func() error {
		e, ok := k.entries[key]
		if !ok {
			return refused("delete", key, metastore.CauseNotFound)
		}
		if rev != 0 && e.ModRevision != rev {
			return refused("delete", key, metastore.CauseConflict)
		}
		k.remove(key)
		return nil
	})
}

// Grant implements metastore.KV.
func (k *KV) Grant(ctx context.Context, _ metastore.Purpose, ttl time.Duration) (id metastore.LeaseID, err error) {
	err = k.do(ctx, "grant", "", func() error {
		k.revision++
		id = metastore.LeaseID(k.revision)
		k.leases[id] = &lease{ttl: ttl, end: k.now().Add(ttl)}
		return nil
	})
	return id, err
}

// KeepAlive implements metastore.KV.
func (k *KV) KeepAlive(ctx context.Context, _ metastore.Purpose, id metastore.LeaseID) (ttl time.Duration, err error) {
	err = k.do(ctx, "keepalive", "", func() error {
		l := k.leases[id]
		if l == nil {
			return refused("keepalive", "", metastore.CauseLeaseExpired)
		}
		l.end = k.now().Add(l.ttl)
		ttl = l.ttl
		return nil
	})
	return ttl, err
}

// Revoke implements metastore.KV.
func (k *KV) Revoke(ctx context.Context, _ metastore.Purpose, id metastore.LeaseID) error {
	return k.do(ctx, "revoke", "", func() error {
		if k.leases[id] == nil {
			return refused("revoke", "", metastore.CauseLeaseExpired)
		}
		k.drop(id)
		return nil
	})
}

// Watch implements metastore.KV; a change of the past is not sent again.
func (k *KV) Watch(ctx context.Context, _ metastore.Purpose, from, to string, _ int64) (<-chan metastore.Change, error) {
	const buffer = 1024
	w := &watcher{from: from, to: to, changes: make(chan metastore.Change, buffer)}
	err := k.do(ctx, "watch", from, func() error {
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
