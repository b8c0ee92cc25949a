package metastore

import "fmt"

// Cause says why the service refused a call.
type Cause string

// The causes of a RefusedError.
const (
	CauseNotFound     Cause = "not-found"
	CauseExists       Cause = "exists"
	CauseConflict     Cause = "conflict"
	CauseLeaseExpired Cause = "lease-lapsed"
	CauseTooLarge     Cause = "value-too-large"
	CauseOverBudget   Cause = "call-budget-spent"
	CauseInvalid      Cause = "invalid"
	// CauseUnavailable is an answer by which the service says that it did nothing.
	CauseUnavailable Cause = "unavailable"
)

// RefusedError reports that the service answered and changed nothing.
type RefusedError struct {
	Op    string
	Key   string
	Cause Cause
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform %s %s refused: %s", e.Op, e.Key, e.Cause)
}

// NotSentError reports that the request did not leave this process.
type NotSentError struct {
	Op  string
	Key string
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("platform %s %s not sent: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that the request may have taken effect.
type UnknownOutcomeError struct {
	Op  string
	Key string
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform %s %s: outcome unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ResponseError reports an answer of the service that has no meaning.
type ResponseError struct {
	Status int // HTTP status, zero if the body is at fault
	Code   int // gRPC status code of the body, if any
	Detail string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("platform answered HTTP %d, code %d: %s", e.Status, e.Code, e.Detail)
}
