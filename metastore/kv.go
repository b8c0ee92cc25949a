package metastore

import (
	"context"
	"time"
)

// Purpose says what a call to the key-value service is made for. It labels the
// counts of calls and of refusals by the call budget.
type Purpose string

// LeaseID identifies a lease of the key-value service; 0 means no lease.
type LeaseID int64

// Entry is a key with its value, its revisions and the lease it is attached to.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// KV is the subset of the key-value service that the system relies on:
// single-key compare-and-swap, range reads, leases and watches.
//
// Its methods return three types of errors: *RefusedError (the call was refused
// and changed nothing), *NotSentError (no byte of the request left this process,
// so nothing changed) and *UnknownOutcomeError (the request may have taken
// effect).
type KV interface {
	// Get returns the entry of key. If the key is missing, it returns a
	// *RefusedError with CauseNotFound.
	Get(ctx context.Context, p Purpose, key string) (Entry, error)
	// Range returns up to limit entries with from <= key < to in key order,
	// and the revision of the store at the time of the read. Limit 0 means no
	// limit.
	Range(ctx context.Context, p Purpose, from, to string, limit int) ([]Entry, int64, error)
	// Create writes key if it is absent and returns the revision of the write.
	// If the key exists, it returns a *RefusedError with CauseExists.
	Create(ctx context.Context, p Purpose, key string, value []byte, lease LeaseID) (int64, error)
	// Swap writes key if its ModRevision is still rev and returns the revision
	// of the write. Otherwise it returns a *RefusedError with CauseConflict.
	Swap(ctx context.Context, p Purpose, key string, value []byte, rev int64, lease LeaseID) (int64, error)
	// Delete removes key if its ModRevision is still rev; rev 0 matches every
	// revision. It returns a *RefusedError with CauseConflict if the revision
	// differs, or with CauseNotFound if rev is 0 and the key is missing.
	Delete(ctx context.Context, p Purpose, key string, rev int64) error
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, p Purpose, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time to live. If the
	// lease has expired, it returns a *RefusedError with CauseLeaseExpired.
	KeepAlive(ctx context.Context, p Purpose, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes the keys attached to it.
	Revoke(ctx context.Context, p Purpose, id LeaseID) error
	// Watch returns a channel of the changes after revision rev to keys with
	// from <= key < to. The channel is closed when ctx ends or the connection
	// breaks.
	Watch(ctx context.Context, p Purpose, from, to string, rev int64) (<-chan Change, error)
}

// Change is one event of a watch. If the key was deleted, Entry holds only the
// key and the revision of the deletion.
type Change struct {
	Entry   Entry
	Deleted bool
}

// RevisionChecker is implemented by a KV that can compare the revisions of several keys
// in one call that transfers no values.
type RevisionChecker interface {
	// CheckRevisions reports whether each key has the ModRevision that it is mapped to,
	// where 0 means that the key is missing. All keys are compared at the same moment
	// of the call. There must be at most MaxCheckedKeys.
	CheckRevisions(ctx context.Context, p Purpose, revisions map[string]int64) (bool, error)
}

// MaxCheckedKeys is the number of keys that one call to CheckRevisions can compare.
const MaxCheckedKeys = 32

// WatchObserver is implemented by a KV that knows whether changes of its watches are
// arriving.
type WatchObserver interface {
	// ReceivingChanges reports whether a part of a response of a watch has arrived and
	// the rest has not.
	ReceivingChanges() bool
}
