package metastoretest

import (
	"context"
	"sync"
	"time"

	"redwingknot/metastore"
)

// Fault is what happens to one call.
type Fault string

// The faults of a call.
const (
	NoFault      Fault = ""
	NotSent      Fault = "not-sent"     // no effect, and the caller knows it
	LostRequest  Fault = "lost-request" // no effect, outcome unknown
	LostResponse Fault = "lost-answer"  // effect, outcome unknown
	Delayed      Fault = "late"         // outcome unknown, effect when KV.DeliverDelayed is called
)

// Op describes a call before it is carried out.
type Op struct {
	Client  string
	Name    string // get, range, create, swap, delete, delete-range, grant, keepalive, revoke, watch
	Key     string
	Purpose metastore.Purpose
	Write   bool
}

// Hook decides the fault of a call. It may block, which pauses the client.
type Hook func(ctx context.Context, op Op) Fault

// KV is one client's connection to a Store. Its hook and its cut are its own;
// it may be used from any goroutine.
type KV struct {
	store *Store
	name  string

	mu    sync.Mutex
	hook  Hook
	cut   bool
	late  []func()
	calls map[metastore.Purpose]Calls
}

// Calls counts the calls made for a purpose.
type Calls struct {
	Reads  int
	Writes int
}

// Client returns a connection with the given name.
func (s *Store) Client(name string) *KV {
	return &KV{store: s, name: name, calls: map[metastore.Purpose]Calls{}}
}

// New returns a connection to a store of its own; a nil clock is time.Now.
func New(now func() time.Time) *KV {
	return NewStore(now).Client("client")
}

// Store returns the store behind the connection.
func (k *KV) Store() *Store { return k.store }

// SetHook sets the hook of the calls that start from now on; nil is no fault.
func (k *KV) SetHook(h Hook) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hook = h
}

// SetDisconnected separates this client from the store, or joins it again.
func (k *KV) SetDisconnected(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// DeliverDelayed carries out the late requests, in order, and returns their number.
func (k *KV) DeliverDelayed() int {
	k.mu.Lock()
	late := k.late
	k.late = nil
	k.mu.Unlock()
	for _, do := range late {
		do()
	}
	return len(late)
}

// Calls returns the number of calls made for p.
func (k *KV) Calls(p metastore.Purpose) Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[p]
}

// call carries do out under the fault that the hook chooses. The result of a
// call that takes effect late is dropped: its caller has gone on.
func call[T any](ctx context.Context, k *KV, op Op, do func() (T, error)) (T, error) {
	var none T
	op.Client = k.name
	hook := k.count(op)
	fault := NoFault
	if hook != nil {
		fault = hook(ctx, op)
	}
	if err := ctx.Err(); err != nil && fault == NoFault {
		return none, &metastore.NotSentError{Op: op.Name, Key: op.Key, Err: err}
	}
	if k.unreachable() {
		fault = NotSent
	}
	switch fault {
	case NoFault:
		return do()
	case NotSent:
		return none, &metastore.NotSentError{Op: op.Name, Key: op.Key, Err: &FaultError{fault}}
	case LostResponse:
		do()
	case Delayed:
		k.keep(func() { do() })
	}
	return none, &metastore.UnknownOutcomeError{Op: op.Name, Key: op.Key, Err: &FaultError{fault}}
}

// noResult is the result of calls that have none.
type noResult struct{}

func (k *KV) count(op Op) Hook {
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

func (k *KV) unreachable() bool {
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	return cut || k.store.Down()
}

func (k *KV) keep(do func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.late = append(k.late, do)
}

// Get implements metastore.KV.
func (k *KV) Get(ctx context.Context, p metastore.Purpose, key string) (metastore.Entry, error) {
	return call(ctx, k, Op{Name: "get", Key: key, Purpose: p}, func() (metastore.Entry, error) {
		return k.store.Get(key)
	})
}

// listing is the result of a range read.
type listing struct {
	found    []metastore.Entry
	revision int64
}

// Range implements metastore.KV.
func (k *KV) Range(ctx context.Context, p metastore.Purpose, from, to string, limit int) ([]metastore.Entry, int64, error) {
	l, err := call(ctx, k, Op{Name: "range", Key: from, Purpose: p}, func() (listing, error) {
		found, _, revision := k.store.Range(from, to, limit)
		return listing{found, revision}, nil
	})
	return l.found, l.revision, err
}

// Create implements metastore.KV.
func (k *KV) Create(ctx context.Context, p metastore.Purpose, key string, value []byte, lease metastore.LeaseID) (int64, error) {
	return call(ctx, k, Op{Name: "create", Key: key, Purpose: p, Write: true}, func() (int64, error) {
		return k.store.Create(key, value, lease)
	})
}

// Swap implements metastore.KV.
func (k *KV) Swap(ctx context.Context, p metastore.Purpose, key string, value []byte, old int64, lease metastore.LeaseID) (int64, error) {
	return call(ctx, k, Op{Name: "swap", Key: key, Purpose: p, Write: true}, func() (int64, error) {
		return k.store.Swap(key, value, old, lease)
	})
}

// Delete implements metastore.KV.
func (k *KV) Delete(ctx context.Context, p metastore.Purpose, key string, rev int64) error {
	_, err := call(ctx, k, Op{Name: "delete", Key: key, Purpose: p, Write: true}, func() (noResult, error) {
		return noResult{}, k.store.Delete(key, rev)
	})
	return err
}

// DeleteRange implements metastore.RangeDeleter.
func (k *KV) DeleteRange(ctx context.Context, p metastore.Purpose, from, to string) error {
	_, err := call(ctx, k, Op{Name: "delete-range", Key: from, Purpose: p, Write: true}, func() (noResult, error) {
		k.store.DeleteRange(from, to)
		return noResult{}, nil
	})
	return err
}

// Grant implements metastore.KV.
func (k *KV) Grant(ctx context.Context, p metastore.Purpose, ttl time.Duration) (metastore.LeaseID, error) {
	return call(ctx, k, Op{Name: "grant", Purpose: p, Write: true}, func() (metastore.LeaseID, error) {
		return k.store.Grant(ttl)
	})
}

// KeepAlive implements metastore.KV.
func (k *KV) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	return call(ctx, k, Op{Name: "keepalive", Purpose: p, Write: true}, func() (time.Duration, error) {
		return k.store.KeepAlive(id)
	})
}

// Revoke implements metastore.KV.
func (k *KV) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	_, err := call(ctx, k, Op{Name: "revoke", Purpose: p, Write: true}, func() (noResult, error) {
		return noResult{}, k.store.Revoke(id)
	})
	return err
}

// Watch implements metastore.KV.
func (k *KV) Watch(ctx context.Context, p metastore.Purpose, from, to string, rev int64) (<-chan metastore.Change, error) {
	return call(ctx, k, Op{Name: "watch", Key: from, Purpose: p}, func() (<-chan metastore.Change, error) {
		return k.store.Watch(ctx, from, to, rev)
	})
}
