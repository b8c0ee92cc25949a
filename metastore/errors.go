package metastore

import "fmt"

// Cause is the reason for which a call was refused.
type Cause string

// Values of RefusedError.Cause.
const (
	CauseNotFound     Cause = "not-found"
	CauseExists       Cause = "exists"
	CauseConflict     Cause = "conflict"
	CauseLeaseExpired Cause = "lease-lapsed"
	CauseTooLarge     Cause = "value-too-large"
	CauseOverBudget   Cause = "call-budget-spent"
	CauseInvalid      Cause = "invalid"
	// CauseUnavailable means that the service responded that it is unavailable
	// and changed nothing.
	CauseUnavailable Cause = "unavailable"
)

// RefusedError reports that a call was refused, by the service or by a check in
// this process, and changed nothing.
type RefusedError struct {
	Op    string
	Key   string
	Cause Cause
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform %s %s refused: %s", e.Op, e.Key, e.Cause)
}

// NotSentError reports that the request did not leave this process and so had no
// effect.
type NotSentError struct {
	Op  string
	Key string
	Err error
}

// Error implements the error interface.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("platform %s %s not sent: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the wrapped error.
func (e *NotSentError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that the request may have been sent, but that no
// usable response says whether it took effect.
type UnknownOutcomeError struct {
	Op  string
	Key string
	Err error
}

// Error implements the error interface.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform %s %s: outcome unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the wrapped error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ResponseError reports a response of the service that the client can't interpret.
type ResponseError struct {
	Status int // HTTP status, 0 if the body is malformed
	Code   int // gRPC status code in the body, 0 if absent
	Detail string
}

// Error implements the error interface.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("platform response: HTTP status %d, gRPC code %d: %s", e.Status, e.Code, e.Detail)
}
