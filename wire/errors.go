package wire

import "fmt"

// Failure is the code by which a callee reports why a call failed.
type Failure string

// Failure codes of this package. Handlers may define further ones.
const (
	FailureUnknownMethod Failure = "unknown-method"
	FailureMalformed     Failure = "malformed"
	FailureInternal      Failure = "internal"
	FailureUnavailable   Failure = "unavailable"
)

// CallError reports that the callee received the call and answered with a
// failure.
type CallError struct {
	Method  string
	Failure Failure
	Detail  string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s: %s: %s", e.Method, e.Failure, e.Detail)
}

// Fail returns an error that a handler returns to send failure f to its caller.
func Fail(f Failure, detail string) *CallError {
	return &CallError{Failure: f, Detail: detail}
}

// TransportError reports that a call got no usable answer from the process at Addr.
// Sent reports whether the request may have reached the callee.
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

// AuthError reports that the peer at Addr could not prove that it holds the
// shared key.
type AuthError struct{ Addr string }

// Error implements error.
func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not hold the shared key", e.Addr)
}

// FrameError reports a frame that is longer than the limit, or whose message
// can't be encoded or decoded. Size is the message's length in bytes.
type FrameError struct {
	Size uint64
	Err  error
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("frame of %d bytes: %v", e.Size, e.Err) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// FrameSizeError reports a message that is longer than Limit bytes.
type FrameSizeError struct{ Limit uint64 }

// Error implements error.
func (e *FrameSizeError) Error() string { return fmt.Sprintf("above the limit of %d bytes", e.Limit) }
