package retry

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Defaults of Policy.
const (
	defaultAttempts    = 3
	defaultBackoffBase = 20 * time.Millisecond
	defaultBackoffMax  = time.Second
)

// Policy is how the attempts of one request follow each other.
type Policy struct {
	Attempts    int // including the first
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// Run counts the attempts of one request. It belongs to the request's
// goroutine.
type Run struct {
	policy   Policy
	budget   *Budget
	deadline time.Time
	made     int
}

// NewRun returns the run of a request whose first attempt is about to begin.
func NewRun(p Policy, b *Budget, deadline time.Time) *Run {
	if p.Attempts == 0 {
		p.Attempts = defaultAttempts
	}
	if p.BackoffBase == 0 {
		p.BackoffBase = defaultBackoffBase
	}
	if p.BackoffMax == 0 {
		p.BackoffMax = defaultBackoffMax
	}
	return &Run{policy: p, budget: b, deadline: deadline, made: 1}
}

// ResumeRun returns the run of a request that has made attempts already.
func ResumeRun(p Policy, b *Budget, deadline time.Time, made int) *Run {
	r := NewRun(p, b, deadline)
	r.made = made
	return r
}

// Next returns how long to wait before another attempt that needs at least
// needed until the deadline. It asks the budget last, so that a retry which
// can't help spends nothing. The error is an *AttemptsError, *ExpiredError or
// *SpentError; the request then ends with the failure that it had.
func (r *Run) Next(reason Reason, needed time.Duration, now time.Time, rng *rand.Rand) (time.Duration, error) {
	if r.made >= r.policy.Attempts {
		return 0, &AttemptsError{Made: r.made}
	}
	wait := r.backoff(rng)
	if left := r.deadline.Sub(now); left <= wait+needed {
		return 0, &ExpiredError{Left: left, Needed: wait + needed}
	}
	if err := r.budget.Take(reason); err != nil {
		return 0, err
	}
	r.made++
	return wait, nil
}

// backoff draws from zero to a bound that doubles with each attempt.
func (r *Run) backoff(rng *rand.Rand) time.Duration {
	const maxDoublings = 16
	bound := min(r.policy.BackoffBase<<min(r.made-1, maxDoublings), r.policy.BackoffMax)
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// AttemptsError reports that a request has made all its attempts.
type AttemptsError struct{ Made int }

// Error implements error.
func (e *AttemptsError) Error() string { return fmt.Sprintf("all %d attempts were made", e.Made) }
