package contract

import "time"

// Class is a request class of a deployment: what a request of it is worth and
// within which time it is useful.
type Class struct {
	Name     string        // unique in a deployment
	Worth    float64       // relative worth of one answer in time, above 0
	FirstIn  time.Duration // time to first token after which the worth is lost
	Deadline time.Duration // time by which the whole answer must have ended
}

// Idempotency says whether a call may be executed more than once.
type Idempotency int

// The values of Idempotency.
const (
	Idempotent Idempotency = iota
	NonIdempotent
)
