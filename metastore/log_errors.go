package metastore

import "fmt"

// RevertedError reports that the service shows less than was already read from
// it, which means that it was restored from an older copy. What was folded
// stays; nothing is written until the newest copy is back.
type RevertedError struct {
	Log    string
	Seen   uint64 // last slot or revision read before
	Found  uint64 // what the service shows instead
	Detail string
}

// Error implements error.
func (e *RevertedError) Error() string {
	return fmt.Sprintf("platform log %s reverted: %s: %d after %d", e.Log, e.Detail, e.Found, e.Seen)
}

// CorruptError reports a key of a log that can't be decoded or is missing.
type CorruptError struct {
	Key    string
	Detail string
	Err    error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("platform key %s corrupt: %s: %v", e.Key, e.Detail, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// QueueFullError is the cause of an append refused because too many wait.
type QueueFullError struct {
	Log     string
	Waiting int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("platform log %s: %d appends wait", e.Log, e.Waiting)
}
