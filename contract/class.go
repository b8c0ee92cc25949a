package contract

import "time"

// Class is a request class of a deployment. It defines the worth of a request
// and the time limits within which its answer is useful.
type Class struct {
	Name     string        // unique within a deployment
	Worth    float64       // relative worth of one answer that meets the time limits, above 0
	FirstIn  time.Duration // longest time to first token at which the answer still has its worth
	Deadline time.Duration // longest time until the whole answer has been delivered
}

// Idempotency specifies whether a call may be executed more than once.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent Idempotency = iota
	NonIdempotent
)
