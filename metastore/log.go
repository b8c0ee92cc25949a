package metastore

import "context"

// StateMachine is a state machine to which the entries of a log are applied. The log
// calls it from one goroutine at a time, in log order.
type StateMachine interface {
	// Apply applies the entry at index to the state.
	Apply(index uint64, entry []byte)
	// Snapshot encodes the state in parts of at most MaxValueBytes each.
	Snapshot() [][]byte
	// Restore replaces the state by a snapshot that covers the entries up to
	// index.
	Restore(index uint64, parts [][]byte) error
}

// Log is an ordered log on the key-value service. Concurrent writers are
// serialised by the order of the log alone: correctness doesn't depend on clocks
// or leases.
type Log interface {
	// Append adds an entry and returns its index once the entry is durable and
	// has been applied. An *UnknownOutcomeError means that the entry may be in
	// the log now or appear in it later; any other error means that it never
	// will.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// AppendAt is like Append, but succeeds only if the entry gets the given
	// index. It returns a *RefusedError, with CauseExists if the log already has
	// an entry at index, or with CauseConflict if index is beyond the next one.
	AppendAt(ctx context.Context, index uint64, entry []byte) error
	// Sync reads and applies all entries that were in the log when it was called.
	Sync(ctx context.Context) error
	// AppliedIndex returns the index of the last entry applied.
	AppliedIndex() uint64
}
