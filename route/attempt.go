package route

import (
	"log/slog"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/event"
)

// RecordDispatch records that the attempt was sent to the endpoint of c at now. From
// then on, the router assumes that the endpoint has the prefix of q cached. It
// does nothing if the endpoint is unknown.
func (r *Router) RecordDispatch(attempt string, q Query, c Choice, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[c.Endpoint]
	if !ok {
		return
	}
	d := &dispatch{
		attempt:         attempt,
		sentAt:          now,
		uncachedTokens:  c.prefillSeconds * r.config.PrefillRate,
		queueSeconds:    c.Queue.Seconds(),
		expectedSeconds: c.Expected.Seconds(),
		slowness:        slownessOrDefault(c.slowness),
	}
	e.addDispatch(d)
	r.pendingPrefill += c.prefillSeconds
	e.health.recordDispatch(attempt)
	for _, p := range q.Pieces {
		r.cacheView.add(e.index, xxhash.Sum64String(p), r.maxBlocksPerEndpoint)
	}
}

// RecordFirstToken records that the named endpoint returned the attempt's first token
// at now. Unknown attempts and repeated calls have no effect.
func (r *Router) RecordFirstToken(name, attempt string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.findDispatch(name, attempt)
	if d == nil || d.hasFirstToken {
		return
	}
	e.recordFirstToken(d)
	r.pendingPrefill -= d.uncachedTokens / r.config.PrefillRate
	waited := now.Sub(d.sentAt).Seconds() - (d.expectedSeconds - d.queueSeconds)
	r.recentWait.observe(waited, now)
	e.recentWait.observe(waited, now)
	r.calibrate(e, d, now)
}

// calibrate updates the service's calibration and the endpoint's slowness from
// an observed time to first token. The calibration changes slowly and the
// slowness quickly, so that a slow endpoint can be told from a slow service.
// Attempts expected to spend at least half of their time queued leave the
// calibration unchanged, because they say little about the prefill rate.
func (r *Router) calibrate(e *endpoint, d *dispatch, now time.Time) {
	const offset = 0.01 // seconds, added to both times because ratios of shorter times are mostly noise
	const weight, low, high = 0.01, 0.1, 10
	ratio := (now.Sub(d.sentAt).Seconds() + offset) / (d.expectedSeconds/d.slowness + offset)
	if d.queueSeconds < d.expectedSeconds/2 {
		// A step of fixed size converges to the median ratio, so that a few attempts
		// delayed by a queue don't have a larger effect than others.
		r.calibration *= 1 + weight*math.Copysign(1, ratio-1)
		r.calibration = min(max(r.calibration, low), high)
	}
	e.updateSlowness(ratio, now)
}

// RecordEnd records that the attempt at the named endpoint ended at now with the
// given outcome. Unknown attempts are ignored.
func (r *Router) RecordEnd(name, attempt string, outcome Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.findDispatch(name, attempt)
	if d == nil {
		return
	}
	if !d.hasFirstToken {
		r.pendingPrefill -= d.uncachedTokens / r.config.PrefillRate
	}
	e.removeDispatch(d)
	switch outcome {
	case Succeeded:
		r.recordSuccess(e, d, now)
	case Canceled:
		e.health.releaseProbe(attempt)
	case AnsweredOldVersion:
		e.health.releaseProbe(attempt)
		e.versionProvenAfter = now
	case Failed:
		r.recordFailures(e, attempt, 1, now)
	case Crashed, Unreachable:
		r.recordFailures(e, attempt, r.config.FailuresToEject, now)
	}
}

// recordSuccess restores the endpoint if it was ejected and includes the
// attempt's duration in the mean time that a request holds a slot.
func (r *Router) recordSuccess(e *endpoint, d *dispatch, now time.Time) {
	const weight = 0.02
	if e.health.ejected() {
		r.ejectedCount--
		event.EndpointRestored.Log(r.config.Log, r.endpointAttr(e))
	}
	e.health.recordSuccess()
	r.meanHold = (1-weight)*r.meanHold + weight*now.Sub(d.sentAt).Seconds()
}

// recordFailures adds count to the failures of the endpoint because of one failed
// attempt, and ejects the endpoint if the limits on failures and on ejected
// endpoints allow it.
func (r *Router) recordFailures(e *endpoint, attempt string, count int, now time.Time) {
	wasEjected := e.health.ejected()
	mayEject := float64(r.ejectedCount+1) <= r.config.MaxEjectedShare*float64(len(r.byName))
	if e.health.recordFailures(attempt, count, &r.config, mayEject, now, r.ejectionRNG) && !wasEjected {
		r.ejectedCount++
		event.EndpointEjected.Log(r.config.Log, r.endpointAttr(e))
	}
}

func (r *Router) endpointAttr(e *endpoint) slog.Attr {
	return slog.Group("endpoint", slog.String("service", r.config.Service), slog.String("name", e.spec.Name))
}

// findDispatch returns the named endpoint and its attempt in flight. The
// endpoint, the dispatch or both are nil if unknown.
func (r *Router) findDispatch(name, attempt string) (*endpoint, *dispatch) {
	e, ok := r.byName[name]
	if !ok {
		return nil, nil
	}
	return e, e.inFlight[attempt]
}

// slownessOrDefault returns slowness, or 1 if it is zero, as in a Choice that was
// not made by Choose.
func slownessOrDefault(slowness float64) float64 {
	if slowness == 0 {
		return 1
	}
	return slowness
}
