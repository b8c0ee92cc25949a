package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/note"
)

// dispatch is the router's record of an attempt that it has sent to an endpoint.
type dispatch struct {
	attempt         string // identifier of the attempt
	sentAt          time.Time
	uncachedTokens  float64 // prompt tokens that are not cached and must be prefilled
	expectedSeconds float64 // expected time to first token
	queueSeconds    float64 // part of expectedSeconds spent queued
	slowness        float64 // endpoint's slowness, as included in expectedSeconds
	hasFirstToken   bool
}

// endpoint is the router's state of one endpoint. It is guarded by Router.mu.
type endpoint struct {
	spec      note.Endpoint
	index     uint16 // in Router.endpoints
	hash      uint64 // of the endpoint's name
	withdrawn bool   // no longer in the configuration
	leaving   bool   // about to stop, according to SetLeaving

	suspects int // number of suspect requests that run alone on it

	report             engine.Report // the latest
	reported           bool          // whether there is a report
	versionProvenAfter time.Time     // reports made up to this time don't prove the weight version
	eventSeq           uint64        // sequence number of the last cache event
	cacheEpoch         string        // epoch of the cache events; it changes when the engine restarts

	inFlight   map[string]*dispatch // by attempt
	unanswered []*dispatch          // in order of dispatch, from the oldest that has no first token; later ones may have one

	pendingTokens float64 // prompt tokens of this router's attempts that have no first token yet

	tokensSinceReport   float64 // prompt tokens that this router's attempts added to the queue since the report, minus those prefilled
	requestsSinceReport int     // requests that this router has sent since the report, minus those that have ended

	recentWait      recentWait
	learnedSlowness float64   // observed time to first token relative to that of the service
	learnedAt       time.Time // when learnedSlowness was last updated
	health          health
}

func newEndpoint(spec note.Endpoint, index uint16) *endpoint {
	return &endpoint{spec: spec, index: index, hash: xxhash.Sum64String(spec.Name), inFlight: map[string]*dispatch{}, learnedSlowness: 1}
}

// observe stores a report unless a newer one is known.
func (e *endpoint) observe(r engine.Report) {
	if e.reported && r.At.Before(e.report.At) {
		return
	}
	e.report = r
	e.reported = true
	e.recountSinceReport()
}

// recountSinceReport recomputes tokensSinceReport and requestsSinceReport from the attempts
// that were dispatched after the report. Earlier attempts are left out, because
// the reported queue includes every attempt dispatched before the report that had
// no first token by then.
func (e *endpoint) recountSinceReport() {
	e.tokensSinceReport, e.requestsSinceReport = 0, 0
	for _, d := range e.inFlight {
		if d.sentAt.After(e.report.At) {
			e.requestsSinceReport++
			if !d.hasFirstToken {
				e.tokensSinceReport += d.uncachedTokens
			}
		}
	}
}

// addDispatch adds an attempt that was just sent.
func (e *endpoint) addDispatch(d *dispatch) {
	e.inFlight[d.attempt] = d
	e.unanswered = append(e.unanswered, d)
	e.tokensSinceReport += d.uncachedTokens
	e.pendingTokens += d.uncachedTokens
	e.requestsSinceReport++
}

// recordFirstToken marks an attempt's prompt as prefilled.
func (e *endpoint) recordFirstToken(d *dispatch) {
	d.hasFirstToken = true
	e.tokensSinceReport -= d.uncachedTokens
	e.pendingTokens -= d.uncachedTokens
	e.trimUnanswered()
}

// removeDispatch removes an attempt that has ended.
func (e *endpoint) removeDispatch(d *dispatch) {
	if !d.hasFirstToken {
		e.recordFirstToken(d)
	}
	delete(e.inFlight, d.attempt)
	e.requestsSinceReport--
	e.trimUnanswered()
}

// trimUnanswered removes leading attempts that have a first token from
// e.unanswered.
func (e *endpoint) trimUnanswered() {
	for len(e.unanswered) > 0 && e.unanswered[0].hasFirstToken {
		e.unanswered[0] = nil
		e.unanswered = e.unanswered[1:]
	}
}

// overdueSeconds returns for how many seconds the oldest attempt without a first
// token has been overdue, or 0 if it isn't. An attempt is overdue after twice its
// expected time and a grace period. A positive value indicates an endpoint that
// accepts requests but doesn't process them.
func (e *endpoint) overdueSeconds(now time.Time) float64 {
	const grace = 0.1 // seconds
	if len(e.unanswered) == 0 {
		return 0
	}
	d := e.unanswered[0]
	return max(now.Sub(d.sentAt).Seconds()-2*d.expectedSeconds-grace, 0)
}

// outstanding returns the number of requests at the endpoint, estimated from its
// last report and this router's attempts since.
func (e *endpoint) outstanding() int {
	return max(e.report.Running+e.report.Waiting+e.requestsSinceReport, len(e.inFlight))
}

// queuedTokens returns the number of prompt tokens that the endpoint has yet to
// prefill, estimated from its last report and this router's attempts since.
func (e *endpoint) queuedTokens() float64 {
	return max(float64(e.report.QueuedTokens)+e.tokensSinceReport, e.pendingTokens, 0)
}

// slowness returns the endpoint's slowness relative to the service at now. It
// decays towards 1, so that an endpoint that was slow gets requests again.
func (e *endpoint) slowness(now time.Time) float64 {
	const halvingTime = 10.0 // seconds until the difference from 1 is halved
	age := max(now.Sub(e.learnedAt).Seconds(), 0)
	return 1 + (e.learnedSlowness-1)/(1+age/halvingTime)
}

// updateSlowness updates the learned slowness by an exponentially weighted
// average with the ratio of an observed to an expected time to first token.
func (e *endpoint) updateSlowness(ratio float64, now time.Time) {
	const weight, low, high = 0.2, 0.25, 20
	ratio = min(max(ratio, low), high)
	e.learnedSlowness = (1-weight)*e.slowness(now) + weight*ratio
	e.learnedAt = now
}

// verdict returns NearBest if the endpoint may run q at now, and otherwise the
// reason why it may not. NearBest is provisional: pickNearBest changes it to Slower
// if the endpoint's cost is too high.
func (e *endpoint) verdict(q *Query, c *Config, now time.Time) Verdict {
	switch {
	case e.withdrawn:
		return Withdrawn
	case e.leaving || e.report.Leaving:
		return Leaving
	case slices.Contains(q.Exclude, e.spec.Name):
		return Excluded
	case e.suspects > 0:
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

// modelVerdict is the part of verdict that applies to model services only. It
// requires a recent report of the right model, weight version and adapter.
func (e *endpoint) modelVerdict(q *Query, c *Config, now time.Time) Verdict {
	switch {
	case !e.reported || now.Sub(e.report.At) > c.ReportTTL || !e.report.At.After(e.versionProvenAfter):
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
