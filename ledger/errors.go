package ledger

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
)

// KeyError reports an idempotency key that cannot be claimed for the reason given.
type KeyError struct {
	Reason contract.Reason
	Key    Key
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q of team %s: %s", e.Key.ID, e.Key.Team, e.Reason)
}

// ClaimNotRecordedError reports that a claim could not be recorded in time. The call
// has not been sent and will not be sent by this attempt: if the claim reaches
// the log later, it is released unused. RetryAfter is the delay after which the
// caller should retry.
type ClaimNotRecordedError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *ClaimNotRecordedError) Error() string { return fmt.Sprintf("claim not recorded: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClaimNotRecordedError) Unwrap() error { return e.Err }

// NotWrittenError reports an operation that is not in the log of Shard and will
// not be appended later.
type NotWrittenError struct {
	Shard int
	Err   error
}

// Error implements error.
func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("operation on shard %d was not written: %v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Err }

// UnresolvedError reports an operation that may be in the log of Shard already
// or may be appended later.
type UnresolvedError struct {
	Shard int
	Err   error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of operation on shard %d is unknown: %v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// notWritten reports whether err means that the operation is not in the log and
// will not be appended later. An *UnresolvedError may wrap the *NotWrittenError
// of one of several tries, so the outer error decides.
func notWritten(err error) bool {
	var unresolved *UnresolvedError
	if errors.As(err, &unresolved) {
		return false
	}
	var notWrittenErr *NotWrittenError
	return errors.As(err, &notWrittenErr)
}

// NotDurableError reports that the end of a claim is not durable yet. It is retried
// in the background until it is durable or the ledger is closed.
type NotDurableError struct{ Err error }

// Error implements error.
func (e *NotDurableError) Error() string { return fmt.Sprintf("end of claim not durable: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotDurableError) Unwrap() error { return e.Err }

// QueueFullError reports that Limit operations are already queued for a shard.
type QueueFullError struct{ Limit int }

// Error implements error.
func (e *QueueFullError) Error() string { return fmt.Sprintf("%d operations are queued", e.Limit) }

// ClosedError reports that the ledger has been closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "ledger is closed" }

// SnapshotError reports that the snapshot part at index Part cannot be decoded.
type SnapshotError struct {
	Part int
	Err  error
}

// Error implements error.
func (e *SnapshotError) Error() string { return fmt.Sprintf("snapshot part %d: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// refusalDetails explains to the caller why its key cannot be claimed.
var refusalDetails = map[contract.Reason]string{
	contract.ReasonKeyMissing: "This call is not idempotent and needs an Idempotency-Key header.",
	contract.ReasonKeyInvalid: "The idempotency key must be a UUID of version 7 made at about the present time.",
	contract.ReasonKeyReused:  "The idempotency key was used before with another body.",
	contract.ReasonKeyTooOld:  "The idempotency key is older than answers are kept; an earlier call with it may have run.",
}

// Refusal returns the refusal sent to the caller. The record of a key older than
// the window may have been removed after the call ran, so the refusal of such a
// key says that it is unknown whether the call ran; the others say not-run.
func (e *KeyError) Refusal() *contract.Refusal {
	r := contract.Refuse(http.StatusUnprocessableEntity, e.Reason, refusalDetails[e.Reason])
	switch e.Reason {
	case contract.ReasonKeyMissing, contract.ReasonKeyInvalid:
		r.Status = http.StatusBadRequest
	case contract.ReasonKeyTooOld:
		r.Status, r.Ran = http.StatusConflict, contract.MayHaveRun
	}
	return r
}

// Refusal returns the refusal sent to the caller, which may retry the call with
// the same key.
func (e *ClaimNotRecordedError) Refusal() *contract.Refusal {
	return contract.Unavailable(contract.ReasonPlatformUnreached, e.RetryAfter,
		"The call could not be claimed and this attempt was not sent; repeat it with the same key.")
}

// RefusalOf returns the refusal for an error returned by Ledger.Claim.
func RefusalOf(err error) *contract.Refusal {
	var key *KeyError
	if errors.As(err, &key) {
		return key.Refusal()
	}
	var notRecorded *ClaimNotRecordedError
	if errors.As(err, &notRecorded) {
		return notRecorded.Refusal()
	}
	return &contract.Refusal{
		Status: http.StatusInternalServerError,
		Reason: contract.ReasonInternal,
		Ran:    contract.MayHaveRun,
		Detail: "The call could not be claimed.",
	}
}

// OwnerUnknownError reports that the address of the instance Owner, which owns a
// shard, is not known.
type OwnerUnknownError struct{ Owner string }

// Error implements error.
func (e *OwnerUnknownError) Error() string { return "no known address of shard owner " + e.Owner }
