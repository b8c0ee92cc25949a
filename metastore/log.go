package metastore

import "context"

// StateMachine is the state that a log's entries are folded into. The log calls it
// from one goroutine at a time, in log order.
type StateMachine interface {
	// Apply folds the entry at index into the state.
	Apply(index uint64, entry []byte)
	// Snapshot encodes the state in parts, each below the value limit.
	Snapshot() [][]byte
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, parts [][]byte) error
}

// Log is an ordered log on the key-value service. The order of the log decides
// every race; no clock and no lease is trusted.
type Log interface {
	// Append adds an entry and returns its index once it is durable and
	// folded. An *UnknownOutcomeError means that the entry may be in the log
	// now or later; any other error means that it never will be.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// AppendAt is Append that succeeds only if the entry becomes number
	// index; a slot taken by another writer is a *RefusedError with CauseExists.
	AppendAt(ctx context.Context, index uint64, entry []byte) error
	// Sync reads and folds all entries that were in the log when it was called.
	Sync(ctx context.Context) error
	// AppliedIndex returns the index of the last entry folded.
	AppliedIndex() uint64
}
