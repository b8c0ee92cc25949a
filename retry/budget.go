package retry

import (
	"fmt"
	"sync"

	"redwingknot/metric"
)

// Reason is the reason for a retry. Retries are counted by reason in the metrics.
type Reason string

// The reasons for a retry.
const (
	Unreachable  Reason = "unreachable"   // the endpoint could not be connected to
	EndpointBusy Reason = "endpoint-busy" // the endpoint refused the request without running it
	Crash        Reason = "crash"         // the endpoint failed after it was sent the request
	Resume       Reason = "resume"        // the stream broke and continues on another endpoint
	OldVersion   Reason = "old-version"   // the endpoint answered with another version of the weights
)

// Defaults of BudgetConfig.
const (
	defaultRatio   = 0.1
	defaultMax     = 20
	defaultInitial = 3
)

// BudgetConfig configures a Budget. Zero fields take defaults.
type BudgetConfig struct {
	Ratio   float64 // retries added by each success
	Max     float64 // most retries that can accumulate
	Initial float64 // retries available before the first success
}

// Budget is a token bucket that limits the retries of a service at one instance.
// After s successes at most Initial + Ratio*s retries have been granted, however
// many requests have failed. It is safe for concurrent use.
type Budget struct {
	config BudgetConfig

	mu     sync.Mutex
	tokens float64 // retries available
}

// NewBudget returns a Budget that holds the initial retries.
func NewBudget(c BudgetConfig) *Budget {
	if c.Ratio == 0 {
		c.Ratio = defaultRatio
	}
	if c.Max == 0 {
		c.Max = defaultMax
	}
	if c.Initial == 0 {
		c.Initial = defaultInitial
	}
	return &Budget{config: c, tokens: min(c.Initial, c.Max)}
}

// RecordSuccess records a success, which adds Ratio retries, up to Max in all.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Max)
}

// Take spends one retry and counts it in the metrics by reason. If less than one
// retry is available, it returns a *SpentError.
func (b *Budget) Take(reason Reason) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		metric.Counter("retries_refused_total", "reason", string(reason)).Inc(1)
		return &SpentError{Reason: reason}
	}
	b.tokens--
	metric.CountRetry(string(reason))
	return nil
}

// SpentError reports that the retry budget had no retry left for Reason.
type SpentError struct{ Reason Reason }

// Error implements error.
func (e *SpentError) Error() string { return fmt.Sprintf("no retry budget left for %s", e.Reason) }
