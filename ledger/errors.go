package ledger

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
)

// KeyError reports an idempotency key that can't be claimed.
type KeyError struct {
	Reason contract.Reason
	Key    Key
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q of team %s: %s", e.Key.ID, e.Key.Team, e.Reason)
}

// ClaimNotRecordedError reports that a claim could not be made in time. This attempt
// has not sent the call and never will: a claim that reaches the log later is
// released without use.
type ClaimNotRecordedError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *ClaimNotRecordedError) Error() string { return fmt.Sprintf("claim not made: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClaimNotRecordedError) Unwrap() error { return e.Err }

// NotWrittenError reports an operation that is not in the log and never will be.
type NotWrittenError struct {
	Shard int
	Err   error
}

// Error implements error.
func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("operation on shard %d not written: %v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Err }

// UnresolvedError reports an operation that may be in the log now or later.
type UnresolvedError struct {
	Shard int
	Err   error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("operation on shard %d unresolved: %v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// notWritten reports whether err says that an operation never reaches the log.
// An *UnresolvedError may wrap a *NotWrittenError of one of several tries, so
// the outer one decides.
func notWritten(err error) bool {
	var unresolved *UnresolvedError
	if errors.As(err, &unresolved) {
		return false
	}
	var never *NotWrittenError
	return errors.As(err, &never)
}

// NotDurableError reports that the end of a claim is not yet durable; it is
// retried in the background.
type NotDurableError struct{ Err error }

// Error implements error.
func (e *NotDurableError) Error() string {
	return fmt.Sprintf("end of claim not yet durable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotDurableError) Unwrap() error { return e.Err }

// QueueFullError reports that too many operations wait for a shard.
type QueueFullError struct{ Limit int }

// Error implements error.
func (e *QueueFullError) Error() string { return fmt.Sprintf("%d operations are waiting", e.Limit) }

// ClosedError reports a ledger that was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "ledger closed" }

// SnapshotError reports a snapshot part that does not decode.
type SnapshotError struct {
	Part int
	Err  error
}

// Error implements error.
func (e *SnapshotError) Error() string { return fmt.Sprintf("snapshot part %d: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// details are the sentences for callers whose key can't be claimed.
var details = map[contract.Reason]string{
	contract.ReasonKeyMissing: "This call is not idempotent and needs an Idempotency-Key header.",
	contract.ReasonKeyInvalid: "The idempotency key must be a UUID of version 7 made at about the present time.",
	contract.ReasonKeyReused:  "The idempotency key was used before with another body.",
	contract.ReasonKeyTooOld:  "The idempotency key is older than answers are kept; an earlier call with it may have run.",
}

// Refusal returns the refusal that the caller gets. A key past the window may
// have been used and forgotten, so only the other reasons say not-run.
func (e *KeyError) Refusal() *contract.Refusal {
	r := contract.Refuse(http.StatusUnprocessableEntity, e.Reason, details[e.Reason])
	switch e.Reason {
	case contract.ReasonKeyMissing, contract.ReasonKeyInvalid:
		r.Status = http.StatusBadRequest
	case contract.ReasonKeyTooOld:
		r.Status, r.Ran = http.StatusConflict, contract.MayHaveRun
	}
	return r
}

// Refusal returns the refusal that the caller gets.
func (e *ClaimNotRecordedError) Refusal() *contract.Refusal {
	return contract.Unavailable(contract.ReasonPlatformUnreached, e.RetryAfter,
		"The call could not be claimed and this attempt was not sent; repeat it with the same key.")
}

// RefusalOf returns the refusal for an error of Claim.
func RefusalOf(err error) *contract.Refusal {
	var key *KeyError
	if errors.As(err, &key) {
		return key.Refusal()
	}
	var unreached *ClaimNotRecordedError
	if errors.As(err, &unreached) {
		return unreached.Refusal()
	}
	return &contract.Refusal{
		Status: http.StatusInternalServerError,
		Reason: contract.ReasonInternal,
		Ran:    contract.MayHaveRun,
		Detail: "The call could not be claimed.",
	}
}

// OwnerUnknownError reports an owner whose address is not known.
type OwnerUnknownError struct{ Owner string }

// Error implements error.
func (e *OwnerUnknownError) Error() string { return "no address of " + e.Owner }
