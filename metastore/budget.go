package metastore

import (
	"time"

	"golang.org/x/time/rate"
)

// BudgetOptions are the rates of a process's calls to the key-value service.
// Zero means no limit.
type BudgetOptions struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	ReadBurst       int // at least 1
	WriteBurst      int // at least 1
}

// Budget limits the calls of one process so that the sum over the fleet stays
// below the rate of the key-value service. A call beyond it is refused at once
// instead of waiting, because a queue of late calls outlives an overload. It
// may be used from any goroutine; a nil Budget limits nothing.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns a full budget.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{
		reads:  newLimiter(o.ReadsPerSecond, o.ReadBurst),
		writes: newLimiter(o.WritesPerSecond, o.WriteBurst),
	}
}

func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))
}

// take spends one call at now and reports whether there was one left.
func (b *Budget) take(now time.Time, write bool) bool {
	if b == nil {
		return true
	}
	if write {
		return b.writes.AllowN(now, 1)
	}
	return b.reads.AllowN(now, 1)
}
