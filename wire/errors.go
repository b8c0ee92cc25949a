package wire

import "fmt"

// Failure is the cause of a CallError that the callee reported.
type Failure string

// The failures that a callee reports. Handlers may return others of their own.
const (
	FailureUnknownMethod Failure = "unknown-method"
	FailureMalformed     Failure = "malformed"
	FailureInternal      Failure = "internal"
	FailureUnavailable   Failure = "unavailable"
)

// CallError is a failure that the callee answered with.
type CallError struct {
	Method  string
	Failure Failure
	Detail  string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s: %s: %s", e.Method, e.Failure, e.Detail)
}

// Fail returns the error by which a handler reports a failure to its caller.
func Fail(f Failure, detail string) *CallError {
	return &CallError{Failure: f, Detail: detail}
}

// TransportError reports that a call got no answer. Sent says whether the request
// may have reached the callee.
type TransportError struct {
	Addr string
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("link to %s (sent %t): %v", e.Addr, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// AuthError reports a peer that does not hold the shared key.
type AuthError struct{ Addr string }

// Error implements error.
func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not hold the shared key", e.Addr)
}

// FrameError reports a frame longer than the limit or malformed.
type FrameError struct {
	Size uint64
	Err  error
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("frame of %d bytes: %v", e.Size, e.Err) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// FrameSizeError reports a frame above the limit.
type FrameSizeError struct{ Limit uint64 }

// Error implements error.
func (e *FrameSizeError) Error() string { return fmt.Sprintf("above the limit of %d bytes", e.Limit) }
