package route

import (
	"fmt"
	"strings"
	"time"

	"redwingknot/contract"
)

// BringBackTime returns the time to import the missing last pieces of a prefix to
// an endpoint from a store; ok is false if no store has them or its link has
// no share left. It is called while the router is locked: it must answer from
// memory and not call the router.
type BringBackTime func(endpoint string, missing int) (cost time.Duration, ok bool)

// Query describes a request to be placed.
type Query struct {
	Service       string
	Model         string
	Version       string // weight version in force
	Adapter       string // as engines report it, name@version; empty for none
	PromptTokens  int
	Pieces        []string // block keys of the prompt's prefix, first to last
	Class         contract.Class
	Deadline      time.Time
	Exclude       []string      // endpoints not to be chosen, such as those tried
	DataCentre    string        // of the router
	BringBackTime BringBackTime // nil if nothing can be brought back
	PreferIdle    bool          // choose an endpoint that runs nothing else if there is one
	Explain       bool          // fill Choice.Considered
}

// Verdict is what became of a candidate.
type Verdict uint8

// The verdicts on a candidate.
const (
	Chosen Verdict = iota
	NearBest
	Slower
	Withdrawn
	Leaving
	WrongVersion
	WrongAdapter
	NoReport
	Excluded
	Quarantined
	Ejected
	numVerdicts
)

var verdictNames = [numVerdicts]string{
	"chosen", "near-best", "slower", "withdrawn", "leaving", "wrong-version", "wrong-adapter",
	"no-report", "excluded", "quarantined", "ejected",
}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Candidate is an endpoint that a decision considered.
type Candidate struct {
	Endpoint     string
	Verdict      Verdict
	Expected     time.Duration // to first token; zero if it is not eligible
	Queue        time.Duration // part of Expected spent waiting
	CachedPieces int
	BringBack    bool
}

// Choice is the outcome of a decision.
type Choice struct {
	Endpoint            string
	Expected            time.Duration // to first token
	Queue               time.Duration // part of Expected spent waiting
	MeanQueue           time.Duration // mean of all eligible endpoints that were scored
	OutstandingRequests int           // requests at the endpoint, as far as known
	CachedPieces        int           // pieces from the start of the prefix already cached
	BringBack           bool          // import the missing pieces before dispatch
	Considered          []Candidate   // only if the query asks for it

	prefill float64 // seconds of processing that the choice adds to the endpoint
	slow    float64 // slowness of the endpoint that Expected counts with
}

// NoEndpointError reports that no endpoint may run a request.
type NoEndpointError struct {
	Service  string
	Verdicts [numVerdicts]int // endpoints by the verdict that ruled them out
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
	Canceled                   // by the caller; says nothing about the endpoint
	Failed                     // an error of the endpoint or of the way to it
	Crashed                    // the endpoint ended while the attempt ran
	Unreachable                // no connection to the endpoint could be made
	AnsweredOldVersion         // the answer carried another weight version
)
