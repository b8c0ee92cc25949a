package metastore

import "fmt"

// RevertedError reports that the service returned a state older than, or in
// conflict with, what this process has already read, which means that the
// service was restored from an older copy. Entries that were already applied
// stay applied; nothing is written to the log until the newest copy has been
// restored.
type RevertedError struct {
	Log    string
	Seen   uint64 // last slot, trim mark or revision read earlier
	Found  uint64 // what the service returns now
	Detail string
}

// Error implements the error interface.
func (e *RevertedError) Error() string {
	return fmt.Sprintf("platform log %s reverted: %s: %d after %d", e.Log, e.Detail, e.Found, e.Seen)
}

// CorruptError reports a key of a log whose value is missing, can't be decoded or
// contradicts the other keys.
type CorruptError struct {
	Key    string
	Detail string
	Err    error
}

// Error implements the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("platform key %s corrupt: %s: %v", e.Key, e.Detail, e.Err)
}

// Unwrap returns the wrapped error.
func (e *CorruptError) Unwrap() error { return e.Err }

// QueueFullError reports that an append was not queued because the queue already
// holds LogOptions.MaxQueue appends.
type QueueFullError struct {
	Log     string
	Waiting int // number of queued appends
}

// Error implements the error interface.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("platform log %s: append queue is full: %d appends are waiting", e.Log, e.Waiting)
}
