package contract

import (
	"fmt"
	"net/http"
	"time"
)

// ExecutionStatus says whether the work of a refused request may have been executed.
type ExecutionStatus string

// The values of Ran. NotRun is a promise: no endpoint has received the request.
const (
	NotRun     ExecutionStatus = "not-run"
	MayHaveRun ExecutionStatus = "unknown"
)

// Reason is the machine-readable cause of a refusal; each has its own counter.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonMalformed          Reason = "malformed-request"
	ReasonTooLarge           Reason = "body-too-large"
	ReasonSlowBody           Reason = "body-timeout"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonForbidden          Reason = "forbidden"
	ReasonUnknownService     Reason = "unknown-service"
	ReasonUnknownModel       Reason = "unknown-model"
	ReasonUnknownCall        Reason = "unknown-call"
	ReasonNotReady           Reason = "not-ready"
	ReasonDraining           Reason = "draining"
	ReasonTeamLimit          Reason = "team-limit"
	ReasonOverload           Reason = "overload"
	ReasonNoEndpoint         Reason = "no-endpoint"
	ReasonDeadline           Reason = "deadline-exceeded"
	ReasonRetryBudget        Reason = "retry-budget-spent"
	ReasonSuspectBusy        Reason = "suspect-running"
	ReasonSuspectRefused     Reason = "crashes-endpoints"
	ReasonStreamBroken       Reason = "stream-broken"
	ReasonEndpointFailed     Reason = "endpoint-failed"
	ReasonKeyMissing         Reason = "idempotency-key-missing"
	ReasonKeyInvalid         Reason = "idempotency-key-invalid"
	ReasonKeyReused          Reason = "idempotency-key-reused"
	ReasonKeyTooOld          Reason = "idempotency-key-too-old"
	ReasonClaimRunning       Reason = "claim-running"
	ReasonClaimUnknown       Reason = "claim-outcome-unknown"
	ReasonPlatformUnreached  Reason = "platform-unreachable"
	ReasonAnswerTooLarge     Reason = "answer-too-large"
	ReasonInternal           Reason = "internal"
	ReasonCallerDisconnected Reason = "caller-disconnected"
)

// Refusal is the error that a request ends with when it gets no whole answer.
// It is final for this attempt: RetryAfter, if positive, says when the caller
// should come back.
type Refusal struct {
	Status     int             // HTTP status code
	Reason     Reason          // cause, also the counter's label
	Ran        ExecutionStatus // whether the work may have run
	RetryAfter time.Duration   // zero if a repeat can't help
	Detail     string          // one sentence for the caller
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Ran, r.Detail)
}

// Refuse returns a refusal of a request that has not run.
func Refuse(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: NotRun, Detail: detail}
}

// Unavailable returns a 503 refusal of a request that has not run, to be
// repeated after d.
func Unavailable(reason Reason, d time.Duration, detail string) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Ran: NotRun, RetryAfter: d, Detail: detail}
}
