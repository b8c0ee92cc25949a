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

// Policy sets the number of attempts of a request and the backoff between them.
// Zero fields take defaults.
type Policy struct {
	Attempts    int           // most attempts, including the first
	BackoffBase time.Duration // upper bound of the wait before the second attempt
	BackoffMax  time.Duration // upper bound of the wait before any attempt
}

// Retrier counts the attempts of one request and decides whether and when it is
// retried. It is not safe for concurrent use; only the request's goroutine may use
// it.
type Retrier struct {
	policy       Policy
	budget       *Budget
	deadline     time.Time
	attemptsMade int // including the one in progress
}

// NewRetrier returns a Run for a request whose first attempt is about to start.
func NewRetrier(p Policy, b *Budget, deadline time.Time) *Retrier {
	if p.Attempts == 0 {
		p.Attempts = defaultAttempts
	}
	if p.BackoffBase == 0 {
		p.BackoffBase = defaultBackoffBase
	}
	if p.BackoffMax == 0 {
		p.BackoffMax = defaultBackoffMax
	}
	return &Retrier{policy: p, budget: b, deadline: deadline, attemptsMade: 1}
}

// ResumeRetrier returns a Run for a request of which attemptsMade attempts have already
// been made.
func ResumeRetrier(p Policy, b *Budget, deadline time.Time, attemptsMade int) *Retrier {
	r := NewRetrier(p, b, deadline)
	r.attemptsMade = attemptsMade
	return r
}

// Next decides whether the request is retried and returns how long to wait before
// the next attempt. The attempt needs at least the time needed and must end before
// the deadline. Next takes from the budget last, so that a retry that the attempts
// or the deadline forbid spends nothing. The error is an *AttemptsError,
// *ExpiredError or *SpentError; the request then ends with the failure of its last
// attempt.
func (r *Retrier) Next(reason Reason, needed time.Duration, now time.Time, rng *rand.Rand) (time.Duration, error) {
	if r.attemptsMade >= r.policy.Attempts {
		return 0, &AttemptsError{Made: r.attemptsMade}
	}
	wait := r.backoff(rng)
	if left := r.deadline.Sub(now); left <= wait+needed {
		return 0, &ExpiredError{Left: left, Needed: wait + needed}
	}
	if err := r.budget.Take(reason); err != nil {
		return 0, err
	}
	r.attemptsMade++
	return wait, nil
}

// backoff returns a random wait between zero and a bound that doubles with each
// attempt, up to BackoffMax.
func (r *Retrier) backoff(rng *rand.Rand) time.Duration {
	const maxDoublings = 16 // keeps the shift from overflowing
	bound := min(r.policy.BackoffBase<<min(r.attemptsMade-1, maxDoublings), r.policy.BackoffMax)
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// AttemptsError reports that a request has used all its attempts.
type AttemptsError struct{ Made int }

// Error implements error.
func (e *AttemptsError) Error() string { return fmt.Sprintf("all %d attempts were made", e.Made) }
