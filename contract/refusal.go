package contract

import (
	"fmt"
	"net/http"
	"time"
)

// ExecutionStatus specifies whether a refused request may have been executed.
type ExecutionStatus string

// Values of ExecutionStatus. NotRun guarantees that no endpoint has received the
// request; MayHaveRun means that the request may have been executed.
const (
	NotRun     ExecutionStatus = "not-run"
	MayHaveRun ExecutionStatus = "unknown"
)

// Reason is the machine-readable cause of a refusal. Refusals are counted per
// reason.
type Reason string

// Reasons for refusing a request.
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
	ReasonSuspectPart        Reason = "part-crashes-endpoints"
	ReasonStreamBroken       Reason = "stream-broken"
	ReasonUnknownOrigin      Reason = "stream-origin-unknown"
	ReasonEvacuated          Reason = "data-centre-evacuated"
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

// Refusal is the error returned to the caller of a request that gets no complete
// answer. The system does not retry a refused request itself; a positive
// RetryAfter is the delay after which the caller should retry it.
type Refusal struct {
	Status     int             // HTTP status code
	Reason     Reason          // cause, also the label of the refusal counter
	Ran        ExecutionStatus // whether the request may have been executed
	RetryAfter time.Duration   // zero if a retry cannot help
	Detail     string          // explanation for the caller, one sentence
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Ran, r.Detail)
}

// Refuse returns a refusal of a request that has not been executed. It has no
// RetryAfter.
func Refuse(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: NotRun, Detail: detail}
}

// Unavailable returns a refusal with status 503 of a request that has not been
// executed. The caller should retry the request after d.
func Unavailable(reason Reason, d time.Duration, detail string) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Ran: NotRun, RetryAfter: d, Detail: detail}
}
