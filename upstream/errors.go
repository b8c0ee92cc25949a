package upstream

import "fmt"

// NotSentError reports that no byte of the request left this process.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that the request was sent, at least in part, and that no
// whole answer came: it may have run.
type LostError struct {
	Address string
	Stage   string // what was being done
	Err     error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s lost while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// ConnLimitError reports that this process's share of an endpoint's
// connections is in use.
type ConnLimitError struct{ Limit int }

// Error implements error.
func (e *ConnLimitError) Error() string { return fmt.Sprintf("all %d connections are in use", e.Limit) }

// UnrelatedResponseError reports bytes on a connection that answer no request of it.
type UnrelatedResponseError struct{ Detail string }

// Error implements error.
func (e *UnrelatedResponseError) Error() string { return "stray answer: " + e.Detail }
