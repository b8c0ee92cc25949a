package decisionbench

import (
	"fmt"
	"slices"
	"strings"

	"redwingknot/contract"
)

// Result is what a cell measured.
type Result struct {
	first      []float64 // times to first token, sorted
	offered    int
	attempts   int
	returned   int // pieces of returning documents
	recomputed int // those that were processed again
	linkUse    float64
	worth      float64
	bound      float64
	refusals   map[contract.Reason]int
	demand     map[item]int
}

// Quantile returns a quantile of the time to first token in seconds.
func (r *Result) Quantile(q float64) float64 {
	if len(r.first) == 0 {
		return 0
	}
	return r.first[min(int(q*float64(len(r.first))), len(r.first)-1)]
}

// WorthShare is the worth served in time, as a share of the bound.
func (r *Result) WorthShare() float64 { return r.worth / r.bound }

// Recomputed is the share of returning pieces that were processed again.
func (r *Result) Recomputed() float64 { return float64(r.recomputed) / float64(max(r.returned, 1)) }

// TableHeader names the columns of String.
const TableHeader = "  p50 ms   p95 ms   p99 ms  recomp   link  worth  tries  refusals"

// String renders the result as a row.
func (r *Result) String() string {
	ms := func(q float64) float64 { return 1000 * r.Quantile(q) }
	return fmt.Sprintf("%8.1f %8.1f %8.1f  %5.1f%% %5.1f%% %5.1f%%  %5.2f  %s",
		ms(0.5), ms(0.95), ms(0.99), 100*r.Recomputed(), 100*r.linkUse, 100*r.WorthShare(), r.AttemptsPerRequest(), r.refused())
}

// AttemptsPerRequest is the number of dispatches for each request offered.
func (r *Result) AttemptsPerRequest() float64 {
	return float64(r.attempts) / float64(max(r.offered, 1))
}

func (r *Result) refused() string {
	var parts []string
	for reason, n := range r.refusals {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", reason, 100*float64(n)/float64(r.offered)))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
