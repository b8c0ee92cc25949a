package decisionbench

import (
	"fmt"
	"slices"
	"strings"

	"redwingknot/contract"
)

// Result holds the measurements of one run.
type Result struct {
	firstTokenTimes []float64 // seconds to first token, sorted
	offered         int       // measured requests
	attempts        int       // dispatches of them
	returning       int       // pieces of answered prompts whose document was seen before
	recomputed      int       // those of them that were prefilled again
	linkUse         float64   // moved pieces as a share of what all links could carry
	servedWorth     float64   // worth of the requests answered in time
	maxWorth        float64   // upper bound of servedWorth
	refusals        map[contract.Reason]int
	demand          map[requestKind]int // measured requests by kind
}

// Quantile returns the quantile q, from 0 to 1, of the time to first token in
// seconds, or 0 if no request was answered.
func (r *Result) Quantile(q float64) float64 {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	return r.firstTokenTimes[min(int(q*float64(len(r.firstTokenTimes))), len(r.firstTokenTimes)-1)]
}

// WorthShare returns the worth served in time as a share of its upper bound.
func (r *Result) WorthShare() float64 { return r.servedWorth / r.maxWorth }

// Recomputed returns the share of the pieces of returning documents that were
// prefilled again.
func (r *Result) Recomputed() float64 { return float64(r.recomputed) / float64(max(r.returning, 1)) }

// TableHeader is the table header for the columns of Result.String.
const TableHeader = "  p50 ms   p95 ms   p99 ms  recomp   link  worth  tries  refusals"

// String returns the result as a table row with the columns of TableHeader.
func (r *Result) String() string {
	ms := func(q float64) float64 { return 1000 * r.Quantile(q) }
	return fmt.Sprintf("%8.1f %8.1f %8.1f  %5.1f%% %5.1f%% %5.1f%%  %5.2f  %s",
		ms(0.5), ms(0.95), ms(0.99), 100*r.Recomputed(), 100*r.linkUse, 100*r.WorthShare(), r.MeanAttempts(), r.refusalShares())
}

// MeanAttempts returns the mean number of dispatches of a request.
func (r *Result) MeanAttempts() float64 { return float64(r.attempts) / float64(max(r.offered, 1)) }

// refusalShares renders the refusals by reason, as shares of the offered requests.
func (r *Result) refusalShares() string {
	var parts []string
	for reason, n := range r.refusals {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", reason, 100*float64(n)/float64(r.offered)))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
