package ledger

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"redwingknot/contract"
)

// Claim is the right to send one call once. Ledger.Finish, Ledger.Release or
// Ledger.MarkUnknown ends it.
type Claim struct {
	key   keyID
	id    claimID
	shard int
	// createdMs is the creation time of the key in Unix milliseconds, 0 if the key
	// contains none; operations contain it as MintedMs. It limits how long the release
	// of the claim is stored.
	createdMs int64
}

// Outcome is the outcome of Ledger.Claim: Granted, StoredAnswer, StoredDigest,
// Running or Unknown.
type Outcome interface{ outcome() }

// Granted means that the call may be sent once, under Claim.
type Granted struct{ Claim Claim }

// StoredAnswer holds the stored answer of a call that has already run under the key.
type StoredAnswer struct{ Answer Answer }

// StoredDigest means that the call has already run under the key and that the body
// of its answer was too large to store. It holds the HTTP status of the answer.
type StoredDigest struct {
	Status int
	Digest []byte // SHA-256 of the body
}

// Running means that another claim holds the key and has not ended, so that its
// call may be running. RetryAfter is the delay after which the caller should retry.
type Running struct{ RetryAfter time.Duration }

// Unknown means that the call may have run and that its answer is not known.
// Instance is the name of the instance that claimed the key.
type Unknown struct{ Instance string }

func (Granted) outcome()      {}
func (StoredAnswer) outcome() {}
func (StoredDigest) outcome() {}
func (Running) outcome()      {}
func (Unknown) outcome()      {}

// Refusal returns the refusal of a resend whose answer was too large to store.
func (d StoredDigest) Refusal() *contract.Refusal {
	return &contract.Refusal{
		Status: http.StatusConflict,
		Reason: contract.ReasonAnswerTooLarge,
		Ran:    contract.MayHaveRun,
		Detail: fmt.Sprintf("The call has run and was answered with status %d; its body with SHA-256 %s was too large to keep.", d.Status, hex.EncodeToString(d.Digest)),
	}
}

// Refusal returns the refusal of a resend whose call may still be running.
func (r Running) Refusal() *contract.Refusal {
	return &contract.Refusal{
		Status:     http.StatusConflict,
		Reason:     contract.ReasonClaimRunning,
		Ran:        contract.MayHaveRun,
		RetryAfter: r.RetryAfter,
		Detail:     "A call with this idempotency key is running.",
	}
}

// Refusal returns the refusal of a resend whose call may have run.
func (u Unknown) Refusal() *contract.Refusal {
	return &contract.Refusal{
		Status: http.StatusConflict,
		Reason: contract.ReasonClaimUnknown,
		Ran:    contract.MayHaveRun,
		Detail: "A call with this idempotency key may have run; its answer is not known and it is not sent again.",
	}
}
