package engine

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// FencedError reports that an engine refused an order because its fencing token
// is lower than one that the engine has already obeyed. Fence is the highest token
// that the engine has obeyed.
type FencedError struct{ Fence int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order refused: the engine has obeyed fencing token %d", e.Fence)
}

// InvalidReportError reports that an engine has reported a number of requests or tokens that it
// can't have.
type InvalidReportError struct{ Number int }

// Error implements error.
func (e *InvalidReportError) Error() string {
	return fmt.Sprintf("engine report: %d is not a number of requests or tokens", e.Number)
}

// IsOtherWeights reports whether err is an engine's refusal because it has other weights than
// the call demands.
func IsOtherWeights(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusPreconditionFailed
}

// StatusError reports an unexpected HTTP status from an engine.
type StatusError struct {
	Op     string
	Status int
	Detail string // start of the response body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s: status %d: %s", e.Op, e.Status, e.Detail)
}
