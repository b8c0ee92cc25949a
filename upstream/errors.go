package upstream

import (
	"fmt"
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// NotSentError reports that no byte of the request left this process, so that
// the endpoint cannot have executed it.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that the connection failed after all or part of the request
// may have been sent and before a response header was received. The endpoint
// may have executed the request.
type LostError struct {
	Address string
	Stage   string // the operation that failed, for the error message
	Err     error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s lost while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Err }

// ConnLimitError reports that a new connection would exceed the pool's limit,
// which is this process's share of the endpoint's connections, and that no idle
// connection could be closed to make room.
type ConnLimitError struct{ Limit int }

// Error implements error.
func (e *ConnLimitError) Error() string { return fmt.Sprintf("all %d connections are in use", e.Limit) }

// HeadTooLargeError reports a response whose head is larger than MaxHeadBytes.
type HeadTooLargeError struct{}

// Error implements error.
func (*HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the response exceeds %d bytes", MaxHeadBytes)
}

// UnrelatedResponseError reports a response that does not belong to the request
// that was sent on the same connection.
type UnrelatedResponseError struct{ Detail string }

// Error implements error.
func (e *UnrelatedResponseError) Error() string { return "unrelated response: " + e.Detail }

// ClosedByPeer reports whether err says that the peer, and not the network between,
// ended a connection.
func ClosedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// ConnRefused reports whether err says that no process listens at an address.
func ConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
