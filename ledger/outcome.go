package ledger

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"redwingknot/contract"
)

// Claim is the right to send one call, once. It ends with Finish, Release or
// Doubt.
type Claim struct {
	key   keyID
	id    claimID
	shard int
	// minted is the time in the key in milliseconds, which bounds how long the
	// release of the claim is remembered.
	minted int64
}

// Outcome is what a claim led to: Granted, Kept, StoredDigest, Running or Unknown.
type Outcome interface{ outcome() }

// Granted allows the caller to send the call once.
type Granted struct{ Claim Claim }

// StoredAnswer holds the answer of the call, which has run under this key before.
type StoredAnswer struct{ Answer Answer }

// StoredDigest stands for an answer too large to keep; the call has run.
type StoredDigest struct {
	Status int
	Digest []byte // SHA-256 of the body
}

// Running says that the call is under way elsewhere.
type Running struct{ RetryAfter time.Duration }

// Unknown says that the call may have run and that its answer is not known.
type Unknown struct{ Instance string }

func (Granted) outcome()      {}
func (StoredAnswer) outcome() {}
func (StoredDigest) outcome() {}
func (Running) outcome()      {}
func (Unknown) outcome()      {}

// Refusal returns the refusal of a resend whose answer was not kept.
func (k StoredDigest) Refusal() *contract.Refusal {
	return &contract.Refusal{
		Status: http.StatusConflict,
		Reason: contract.ReasonAnswerTooLarge,
		Ran:    contract.MayHaveRun,
		Detail: fmt.Sprintf("The call has run and was answered with status %d; its body with SHA-256 %s was too large to keep.", k.Status, hex.EncodeToString(k.Digest)),
	}
}

// Refusal returns the refusal of a resend whose call is still under way.
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
