package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/note"
)

// dispatch is an attempt of this router at an endpoint.
type dispatch struct {
	attempt  string
	at       time.Time
	tokens   float64 // prompt tokens to process
	expected float64 // seconds to first token
	queue    float64 // part of expected spent waiting
	slow     float64 // slowness that expected counts with
	answered bool
}

// endpoint is what the router knows of one endpoint. Its fields are owned by
// the Router's mutex.
type endpoint struct {
	spec      note.Endpoint
	slot      uint16
	hash      uint64
	withdrawn bool // no longer in the configuration
	leaving   bool // by the platform's list or an order

	quarantined int // suspects running alone here

	report    engine.Report
	reported  bool
	versionAt time.Time // reports up to then don't prove the version
	eventSeq  uint64
	epoch     string // of the cache events

	inFlight map[string]*dispatch
	pending  []*dispatch // in order of dispatch, the first not yet answered

	pendingTokens float64 // of own attempts without a first token

	queuedSince  float64 // tokens added less tokens processed since the report
	runningSince int     // requests added less requests ended since the report

	recent recentWait
	slow   float64   // time to first token relative to that of the service
	slowAt time.Time // when slow was last corrected
	health health
}

func newEndpoint(spec note.Endpoint, slot uint16) *endpoint {
	return &endpoint{spec: spec, slot: slot, hash: xxhash.Sum64String(spec.Name), inFlight: map[string]*dispatch{}, slow: 1}
}

// observe takes a report unless a newer one is known.
func (e *endpoint) observe(r engine.Report) {
	if e.reported && r.At.Before(e.report.At) {
		return
	}
	e.report = r
	e.reported = true
	e.correct()
}

// correct counts again what happened here after the report: the reported queue
// holds every attempt dispatched before it that had no first token by then.
func (e *endpoint) correct() {
	e.queuedSince, e.runningSince = 0, 0
	for _, d := range e.inFlight {
		if d.at.After(e.report.At) {
			e.runningSince++
			if !d.answered {
				e.queuedSince += d.tokens
			}
		}
	}
}

func (e *endpoint) dispatched(d *dispatch) {
	e.inFlight[d.attempt] = d
	e.pending = append(e.pending, d)
	e.queuedSince += d.tokens
	e.pendingTokens += d.tokens
	e.runningSince++
}

// firstToken marks an attempt's prompt as processed.
func (e *endpoint) firstToken(d *dispatch) {
	d.answered = true
	e.queuedSince -= d.tokens
	e.pendingTokens -= d.tokens
	e.trimPending()
}

func (e *endpoint) end(d *dispatch) {
	if !d.answered {
		e.firstToken(d)
	}
	delete(e.inFlight, d.attempt)
	e.runningSince--
	e.trimPending()
}

func (e *endpoint) trimPending() {
	for len(e.pending) > 0 && e.pending[0].answered {
		e.pending[0] = nil
		e.pending = e.pending[1:]
	}
}

// overdue returns by how many seconds the oldest unanswered attempt exceeds
// twice its expected time, a sign of an endpoint that accepts and doesn't work.
func (e *endpoint) overdue(now time.Time) float64 {
	const grace = 0.1
	if len(e.pending) == 0 {
		return 0
	}
	d := e.pending[0]
	return max(now.Sub(d.at).Seconds()-2*d.expected-grace, 0)
}

// outstanding returns the number of requests at the endpoint by its last
// report.
func (e *endpoint) outstanding() int {
	return max(e.report.Running+e.report.Waiting+e.runningSince, len(e.inFlight))
}

// queuedTokens returns the number of prompt tokens not yet processed by its
// last report.
func (e *endpoint) queuedTokens() float64 {
	return max(float64(e.report.QueuedTokens)+e.queuedSince, e.pendingTokens, 0)
}

// slowness returns the relative slowness at now. It fades so that an endpoint
// once slow is tried again.
func (e *endpoint) slowness(now time.Time) float64 {
	const fade = 10.0
	age := max(now.Sub(e.slowAt).Seconds(), 0)
	return 1 + (e.slow-1)/(1+age/fade)
}

// learn folds the ratio of an observed to an expected time into the slowness.
func (e *endpoint) learn(ratio float64, now time.Time) {
	const weight, low, high = 0.2, 0.25, 20
	ratio = min(max(ratio, low), high)
	e.slow = (1-weight)*e.slowness(now) + weight*ratio
	e.slowAt = now
}

// verdict says whether the endpoint may run q at now; NearBest means it may.
func (e *endpoint) verdict(q *Query, c *Config, now time.Time) Verdict {
	switch {
	case e.withdrawn:
		return Withdrawn
	case e.leaving || e.report.Leaving:
		return Leaving
	case slices.Contains(q.Exclude, e.spec.Name):
		return Excluded
	case e.quarantined > 0:
		return Quarantined
	case c.Kind == note.KindModel:
		if v := e.modelVerdict(q, c, now); v != NearBest {
			return v
		}
	}
	if !e.health.admits(now) {
		return Ejected
	}
	return NearBest
}

func (e *endpoint) modelVerdict(q *Query, c *Config, now time.Time) Verdict {
	switch {
	case !e.reported || now.Sub(e.report.At) > c.ReportTTL || !e.report.At.After(e.versionAt):
		return NoReport
	case e.report.Loading != "":
		return WrongVersion
	case e.report.Model != q.Model || e.report.Version != q.Version || q.Version == "":
		return WrongVersion
	case q.Adapter != "" && !slices.Contains(e.report.Adapters, q.Adapter):
		return WrongAdapter
	}
	return NearBest
}
