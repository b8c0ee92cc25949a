package metastore

import (
	"time"

	"golang.org/x/time/rate"
)

// BudgetOptions limit the rates of a process's calls to the key-value service. A
// rate of 0 means no limit.
type BudgetOptions struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	ReadBurst       int // reads that may be made at once; values below 1 count as 1
	WriteBurst      int // writes that may be made at once; values below 1 count as 1
}

// Budget limits the call rate of one process so that the sum over the fleet stays
// below the rate that the key-value service can serve. A call over the limit is
// refused at once and doesn't wait, because a queue of delayed calls would
// prolong an overload. A Budget is safe for concurrent use; a nil Budget allows
// every call.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns a Budget that allows full bursts at once.
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

// allow reports whether a call may be made at now, and counts it if so.
func (b *Budget) allow(now time.Time, write bool) bool {
	if b == nil {
		return true
	}
	if write {
		return b.writes.AllowN(now, 1)
	}
	return b.reads.AllowN(now, 1)
}
