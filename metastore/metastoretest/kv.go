package metastoretest

import (
	"context"
	"sync"
	"time"

	"redwingknot/metastore"
)

// Fault is a failure that is injected into one call.
type Fault string

// Values of Fault.
const (
	NoFault      Fault = ""
	NotSent      Fault = "not-sent"     // the request has no effect, and the caller gets a *NotSentError
	LostRequest  Fault = "lost-request" // the request has no effect, but the outcome is unknown to the caller
	LostResponse Fault = "lost-answer"  // the request takes effect, but the outcome is unknown to the caller
	Delayed      Fault = "late"         // the request takes effect when KV.DeliverDelayed is called; the outcome is unknown to the caller
)

// Op describes a call that is about to be executed.
type Op struct {
	Client  string // name of the connection
	Name    string // get, range, create, swap, delete, delete-range, grant, keepalive, revoke, watch
	Key     string
	Purpose metastore.Purpose
	Write   bool
}

// Hook returns the fault to inject into a call. It may block, which pauses the
// caller.
type Hook func(ctx context.Context, op Op) Fault

// KV is the connection of one client to a Store. SetHook and SetDisconnected affect only
// this connection. It is safe for concurrent use.
type KV struct {
	store *Store
	name  string

	mu           sync.Mutex
	hook         Hook
	disconnected bool
	delayed      []func()
	calls        map[metastore.Purpose]Calls
}

// Calls holds the numbers of calls made for one purpose.
type Calls struct {
	Reads  int
	Writes int
}

// Client returns a connection with the given name.
func (s *Store) Client(name string) *KV {
	return &KV{store: s, name: name, calls: map[metastore.Purpose]Calls{}}
}

// New returns a connection to a new store. If now is nil, time.Now is used.
func New(now func() time.Time) *KV {
	return NewStore(now).Client("client")
}

// Store returns the store to which the connection belongs.
func (k *KV) Store() *Store { return k.store }

// SetHook sets the hook for calls that start after it returns. A nil hook
// injects no faults.
func (k *KV) SetHook(h Hook) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hook = h
}

// SetDisconnected disconnects this client from the store, or connects it again.
func (k *KV) SetDisconnected(disconnected bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.disconnected = disconnected
}

// DeliverDelayed executes the requests delayed by the fault Delayed, in order, and
// returns their number.
func (k *KV) DeliverDelayed() int {
	k.mu.Lock()
	delayed := k.delayed
	k.delayed = nil
	k.mu.Unlock()
	for _, execute := range delayed {
		execute()
	}
	return len(delayed)
}

// Calls returns the number of calls made for p.
func (k *KV) Calls(p metastore.Purpose) Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[p]
}

// callWithFault calls execute subject to the fault that the hook returns. The
// result of a delayed call is discarded, because its caller has already
// returned.
func callWithFault[T any](ctx context.Context, k *KV, op Op, execute func() (T, error)) (T, error) {
	var zero T
	op.Client = k.name
	hook := k.countCall(op)
	fault := NoFault
	if hook != nil {
		fault = hook(ctx, op)
	}
	if err := ctx.Err(); err != nil && fault == NoFault {
		return zero, &metastore.NotSentError{Op: op.Name, Key: op.Key, Err: err}
	}
	if k.unreachable() {
		fault = NotSent
	}
	switch fault {
	case NoFault:
		return execute()
	case NotSent:
		return zero, &metastore.NotSentError{Op: op.Name, Key: op.Key, Err: &FaultError{fault}}
	case LostResponse:
		execute()
	case Delayed:
		k.delay(func() { execute() })
	}
	return zero, &metastore.UnknownOutcomeError{Op: op.Name, Key: op.Key, Err: &FaultError{fault}}
}

// noResult is the result type of calls that return only an error.
type noResult struct{}

// countCall counts the call and returns the hook.
func (k *KV) countCall(op Op) Hook {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.calls[op.Purpose]
	if op.Write {
		c.Writes++
	} else {
		c.Reads++
	}
	k.calls[op.Purpose] = c
	return k.hook
}

// unreachable reports whether this client is disconnected or the store is down.
func (k *KV) unreachable() bool {
	k.mu.Lock()
	disconnected := k.disconnected
	k.mu.Unlock()
	return disconnected || k.store.Down()
}

// delay keeps a request until DeliverDelayed is called.
func (k *KV) delay(execute func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delayed = append(k.delayed, execute)
}

// Get implements metastore.KV.
func (k *KV) Get(ctx context.Context, p metastore.Purpose, key string) (metastore.Entry, error) {
	return callWithFault(ctx, k, Op{Name: "get", Key: key, Purpose: p}, func() (metastore.Entry, error) {
		return k.store.Get(key)
	})
}

// rangeResult is the result of a range read.
type rangeResult struct {
	entries  []metastore.Entry
	revision int64
}

// Range implements metastore.KV.
func (k *KV) Range(ctx context.Context, p metastore.Purpose, from, to string, limit int) ([]metastore.Entry, int64, error) {
	result, err := callWithFault(ctx, k, Op{Name: "range", Key: from, Purpose: p}, func() (rangeResult, error) {
		entries, _, revision := k.store.Range(from, to, limit)
		return rangeResult{entries, revision}, nil
	})
	return result.entries, result.revision, err
}

// Create implements metastore.KV.
func (k *KV) Create(ctx context.Context, p metastore.Purpose, key string, value []byte, lease metastore.LeaseID) (int64, error) {
	return callWithFault(ctx, k, Op{Name: "create", Key: key, Purpose: p, Write: true}, func() (int64, error) {
		return k.store.Create(key, value, lease)
	})
}

// Swap implements metastore.KV.
func (k *KV) Swap(ctx context.Context, p metastore.Purpose, key string, value []byte, rev int64, lease metastore.LeaseID) (int64, error) {
	return callWithFault(ctx, k, Op{Name: "swap", Key: key, Purpose: p, Write: true}, func() (int64, error) {
		return k.store.Swap(key, value, rev, lease)
	})
}

// Delete implements metastore.KV.
func (k *KV) Delete(ctx context.Context, p metastore.Purpose, key string, rev int64) error {
	_, err := callWithFault(ctx, k, Op{Name: "delete", Key: key, Purpose: p, Write: true}, func() (noResult, error) {
		return noResult{}, k.store.Delete(key, rev)
	})
	return err
}

// DeleteRange implements metastore.RangeDeleter.
func (k *KV) DeleteRange(ctx context.Context, p metastore.Purpose, from, to string) error {
	_, err := callWithFault(ctx, k, Op{Name: "delete-range", Key: from, Purpose: p, Write: true}, func() (noResult, error) {
		k.store.DeleteRange(from, to)
		return noResult{}, nil
	})
	return err
}

// CheckRevisions implements metastore.RevisionChecker.
func (k *KV) CheckRevisions(ctx context.Context, p metastore.Purpose, revisions map[string]int64) (bool, error) {
	return callWithFault(ctx, k, Op{Name: "check", Purpose: p}, func() (bool, error) {
		return k.store.CheckRevisions(revisions), nil
	})
}

// Grant implements metastore.KV.
func (k *KV) Grant(ctx context.Context, p metastore.Purpose, ttl time.Duration) (metastore.LeaseID, error) {
	return callWithFault(ctx, k, Op{Name: "grant", Purpose: p, Write: true}, func() (metastore.LeaseID, error) {
		return k.store.Grant(ttl)
	})
}

// KeepAlive implements metastore.KV.
func (k *KV) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	return callWithFault(ctx, k, Op{Name: "keepalive", Purpose: p, Write: true}, func() (time.Duration, error) {
		return k.store.KeepAlive(id)
	})
}

// Revoke implements metastore.KV.
func (k *KV) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	_, err := callWithFault(ctx, k, Op{Name: "revoke", Purpose: p, Write: true}, func() (noResult, error) {
		return noResult{}, k.store.Revoke(id)
	})
	return err
}

// Watch implements metastore.KV.
func (k *KV) Watch(ctx context.Context, p metastore.Purpose, from, to string, rev int64) (<-chan metastore.Change, error) {
	return callWithFault(ctx, k, Op{Name: "watch", Key: from, Purpose: p}, func() (<-chan metastore.Change, error) {
		return k.store.Watch(ctx, from, to, rev)
	})
}
