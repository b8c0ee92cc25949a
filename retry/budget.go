package retry

import (
	"fmt"
	"sync"

	"redwingknot/metric"
)

// Reason is why an attempt is repeated; each has its own counter.
type Reason string

// The reasons for a retry.
const (
	Unreachable  Reason = "unreachable"   // no connection to the endpoint
	EndpointBusy Reason = "endpoint-busy" // the endpoint refused the request
	Crash        Reason = "crash"         // the endpoint ended
	Resume       Reason = "resume"        // the stream broke and continues elsewhere
	OldVersion   Reason = "old-version"   // the endpoint answered with other weights
)

// Defaults of BudgetConfig.
const (
	defaultRatio   = 0.1
	defaultMax     = 20
	defaultInitial = 3
)

// BudgetConfig sets up a Budget. Zero fields take defaults.
type BudgetConfig struct {
	Ratio   float64 // retries earned by a success
	Max     float64 // retries that can be saved up
	Initial float64 // retries before the first success
}

// Budget bounds the retries of a service at one instance: after s successes at
// most Initial + Ratio*s retries have been granted, whatever the failures. It
// is safe for concurrent use.
type Budget struct {
	config BudgetConfig

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with the initial retries.
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

// RecordSuccess earns a part of a retry.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Max)
}

// Take spends a retry and counts it by reason. The error is a *SpentError.
func (b *Budget) Take(reason Reason) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		metric.Counter("retries_refused_total", "reason", string(reason)).Inc(1)
		return &SpentError{Reason: reason}
	}
	b.tokens--
	metric.Retried(string(reason))
	return nil
}

// SpentError reports that the budget has no retry left.
type SpentError struct{ Reason Reason }

// Error implements error.
func (e *SpentError) Error() string { return fmt.Sprintf("no retry left after %s", e.Reason) }
