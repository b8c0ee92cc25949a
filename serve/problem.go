package serve

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/metric"
)

// problemType is the media type of the problem details of RFC 9457.
const problemType = "application/problem+json"

// problem is the JSON body of a refusal.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Reason       string `json:"reason"`
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Request      string `json:"request,omitempty"`
	Offset       *int   `json:"offset,omitempty"` // tokens delivered before a stream broke
}

func newProblem(r *contract.Refusal, requestID string) problem {
	return problem{
		Type:   "urn:redwingknot:refusal:" + string(r.Reason),
		Title:  http.StatusText(r.Status),
		Status: r.Status, Detail: r.Detail, Reason: string(r.Reason), Ran: string(r.Ran),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Request: requestID,
	}
}

// writeRefusal writes a refusal as the HTTP response and counts it. An empty
// requestID is left out of the body.
func writeRefusal(w http.ResponseWriter, r *contract.Refusal, requestID string) {
	metric.CountRefusal(r.Reason)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(r.Status)
	json.NewEncoder(w).Encode(newProblem(r, requestID))
}

// retryAfterSeconds formats d for the Retry-After header. It rounds up because the
// header only allows whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// asRefusal returns the refusal in err. For an error of any other type it returns
// a refusal with status 500 which says that the request may have been executed.
func asRefusal(err error) *contract.Refusal {
	var r *contract.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &contract.Refusal{
		Status: http.StatusInternalServerError, Reason: contract.ReasonInternal,
		Ran: contract.MayHaveRun, Detail: err.Error(),
	}
}
