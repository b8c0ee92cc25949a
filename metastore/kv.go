package metastore

import (
	"context"
	"time"
)

// Purpose labels a call to the key-value service for counting and budgets.
type Purpose string

// LeaseID names a lease of the key-value service; zero is no lease.
type LeaseID int64

// Entry is a key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// KV is the part of the key-value service that the system relies on:
// single-key compare-and-swap, range reads, leases and watches.
//
// Errors are of three kinds: *RefusedError (the service answered and did
// nothing), *NotSentError (no byte of the request left this process, nothing
// was done) and *UnknownOutcomeError (the request may have taken effect).
type KV interface {
	// Get returns the entry of key; a missing key is a *RefusedError with
	// CauseNotFound.
	Get(ctx context.Context, p Purpose, key string) (Entry, error)
	// Range returns up to limit entries with from <= key < to in key order,
	// and the revision of the store at the read. Limit 0 means no limit.
	Range(ctx context.Context, p Purpose, from, to string, limit int) ([]Entry, int64, error)
	// Create writes key if it is absent and returns the revision of the write;
	// an existing key is a *RefusedError with CauseExists.
	Create(ctx context.Context, p Purpose, key string, value []byte, lease LeaseID) (int64, error)
	// Swap writes key if its ModRevision is still rev; else a *RefusedError
	// with CauseConflict.
	Swap(ctx context.Context, p Purpose, key string, value []byte, rev int64, lease LeaseID) (int64, error)
	// Delete removes key if its ModRevision is still rev; rev 0 removes any.
	Delete(ctx context.Context, p Purpose, key string, rev int64) error
	// Grant creates a lease of ttl.
	Grant(ctx context.Context, p Purpose, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time; a lapsed lease
	// is a *RefusedError with CauseLeaseExpired.
	KeepAlive(ctx context.Context, p Purpose, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, p Purpose, id LeaseID) error
	// Watch sends the changes of keys with from <= key < to after revision
	// rev until ctx ends or the connection breaks, then closes the channel.
	Watch(ctx context.Context, p Purpose, from, to string, rev int64) (<-chan Change, error)
}

// Change is one event of a watch.
type Change struct {
	Entry   Entry
	Deleted bool
}
