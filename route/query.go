package route

import (
	"fmt"
	"strings"
	"time"

	"redwingknot/contract"
)

// BringBackTime returns the time that it takes to bring back the end of a prefix,
// that is, to import it from a store to an endpoint; missing is the number of pieces
// to import. ok is false if no store has them or if the link of the store has no
// capacity left. The function is called while the router is locked: it must answer
// from memory, without I/O, and not call the router.
type BringBackTime func(endpoint string, missing int) (importTime time.Duration, ok bool)

// Query describes a request for which an endpoint is to be chosen.
type Query struct {
	Service       string
	Model         string
	Version       string // weight version in force
	Adapter       string // name@version, as engines report it; empty for none
	PromptTokens  int
	Pieces        []string // keys of the cache blocks of the prompt's pieces, first to last
	Class         contract.Class
	Deadline      time.Time
	Exclude       []string      // endpoints not to be chosen, such as those already tried
	DataCentre    string        // data centre of the router
	BringBackTime BringBackTime // nil if nothing can be imported
	PreferIdle    bool          // choose the endpoint with the fewest requests, an idle one if possible
	Explain       bool          // score all endpoints and fill Choice.Considered
}

// Verdict is the result of a decision for one candidate.
type Verdict uint8

// The verdicts on a candidate. Those from Withdrawn on make it ineligible.
const (
	Chosen       Verdict = iota
	NearBest             // eligible, and its cost is near the lowest
	Slower               // eligible, but its cost is not near the lowest
	Withdrawn            // no longer in the configuration
	Leaving              // about to stop
	WrongVersion         // is loading weights, or serves another model or weight version
	WrongAdapter         // doesn't have the adapter
	NoReport             // no report that is recent enough to prove the weight version
	Excluded             // excluded by the query
	Quarantined          // runs a suspect request alone
	Ejected              // ejected after failures, and no probe is due
	numVerdicts
)

var verdictNames = [numVerdicts]string{
	"chosen", "near-best", "slower", "withdrawn", "leaving", "wrong-version", "wrong-adapter",
	"no-report", "excluded", "quarantined", "ejected",
}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Candidate is an endpoint that was considered in a decision.
type Candidate struct {
	Endpoint     string
	Verdict      Verdict
	Expected     time.Duration // expected time to first token; zero if not eligible
	Queue        time.Duration // part of Expected spent queued
	CachedPieces int           // leading pieces of the prefix already cached
	BringBack    bool          // scored with an import of the missing pieces
}

// Choice is the result of a decision.
type Choice struct {
	Endpoint            string
	Expected            time.Duration // expected time to first token
	Queue               time.Duration // part of Expected spent queued
	MeanQueue           time.Duration // mean of Queue over all eligible endpoints that were scored
	OutstandingRequests int           // other requests at the endpoint, as far as known
	CachedPieces        int           // leading pieces of the prefix already cached
	BringBack           bool          // the missing pieces are to be imported before dispatch
	Considered          []Candidate   // set only if Query.Explain is

	prefillSeconds float64 // prefill time that the request adds to the endpoint, at Config.PrefillRate
	slowness       float64 // endpoint's slowness, as included in Expected
}

// NoEndpointError reports that no endpoint may run a request.
type NoEndpointError struct {
	Service  string
	Verdicts [numVerdicts]int // number of endpoints, indexed by verdict
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "no endpoint of service %s is eligible", e.Service)
	for v, n := range e.Verdicts {
		if n > 0 {
			fmt.Fprintf(&b, ", %d %s", n, Verdict(v))
		}
	}
	return b.String()
}

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded          Outcome = iota
	Canceled                   // canceled by the caller; says nothing about the endpoint
	Failed                     // an error of the endpoint or of the network path to it
	Crashed                    // the endpoint's process ended while the attempt ran
	Unreachable                // no connection to the endpoint could be established
	AnsweredOldVersion         // the answer carried another weight version
)
