package route

import (
	"log/slog"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/event"
)

// RecordDispatch records that attempt was sent as c says. Its prefix counts as
// cached at the endpoint from now on.
func (r *Router) RecordDispatch(attempt string, q Query, c Choice, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[c.Endpoint]
	if !ok {
		return
	}
	d := &dispatch{
		attempt:  attempt,
		at:       now,
		tokens:   c.prefill * r.config.PrefillRate,
		queue:    c.Queue.Seconds(),
		expected: c.Expected.Seconds(),
		slow:     orOne(c.slow),
	}
	e.dispatched(d)
	r.pending += c.prefill
	e.health.dispatched(attempt)
	for _, p := range q.Pieces {
		r.view.add(e.slot, xxhash.Sum64String(p), r.blocksPer)
	}
}

// RecordFirstToken records that the attempt's answer has begun.
func (r *Router) RecordFirstToken(name, attempt string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.find(name, attempt)
	if d == nil || d.answered {
		return
	}
	e.firstToken(d)
	r.pending -= d.tokens / r.config.PrefillRate
	waited := now.Sub(d.at).Seconds() - (d.expected - d.queue)
	r.recent.add(waited, now)
	e.recent.add(waited, now)
	r.learn(e, d, now)
}

// learn corrects the service's calibration slowly and the endpoint's slowness
// fast, so that a slow endpoint differs from a slow service. Attempts that were
// to wait for most of the time say little about the speed of processing.
func (r *Router) learn(e *endpoint, d *dispatch, now time.Time) {
	const floor = 0.01 // seconds below which a ratio is mostly noise
	const weight, low, high = 0.01, 0.1, 10
	ratio := (now.Sub(d.at).Seconds() + floor) / (d.expected/d.slow + floor)
	if d.queue < d.expected/2 {
		// Towards the median: a few attempts that met a queue don't count for more.
		r.calibration *= 1 + weight*math.Copysign(1, ratio-1)
		r.calibration = min(max(r.calibration, low), high)
	}
	e.learn(ratio, now)
}

// RecordEnd records the end of an attempt.
func (r *Router) RecordEnd(name, attempt string, outcome Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.find(name, attempt)
	if d == nil {
		return
	}
	if !d.answered {
		r.pending -= d.tokens / r.config.PrefillRate
	}
	e.end(d)
	switch outcome {
	case Succeeded:
		r.succeeded(e, d, now)
	case Canceled:
		e.health.abandoned(attempt)
	case AnsweredOldVersion:
		e.health.abandoned(attempt)
		e.versionAt = now
	case Failed:
		r.failed(e, attempt, 1, now)
	case Crashed, Unreachable:
		r.failed(e, attempt, r.config.FailuresToEject, now)
	}
}

func (r *Router) succeeded(e *endpoint, d *dispatch, now time.Time) {
	const weight = 0.02
	if e.health.ejected() {
		r.ejected--
		event.EndpointRestored.Log(r.config.Log, r.endpointAttr(e))
	}
	e.health.succeeded()
	r.hold = (1-weight)*r.hold + weight*now.Sub(d.at).Seconds()
}

// failed counts so many failures of an endpoint.
func (r *Router) failed(e *endpoint, attempt string, count int, now time.Time) {
	was := e.health.ejected()
	mayEject := float64(r.ejected+1) <= r.config.MaxEjectedShare*float64(len(r.byName))
	if e.health.failed(attempt, count, &r.config, mayEject, now, r.jitter) && !was {
		r.ejected++
		event.EndpointEjected.Log(r.config.Log, r.endpointAttr(e))
	}
}

func (r *Router) endpointAttr(e *endpoint) slog.Attr {
	return slog.Group("endpoint", slog.String("service", r.config.Service), slog.String("name", e.spec.Name))
}

func (r *Router) find(name, attempt string) (*endpoint, *dispatch) {
	e, ok := r.byName[name]
	if !ok {
		return nil, nil
	}
	return e, e.inFlight[attempt]
}

// orOne is the slowness of a choice that was not made by Choose.
func orOne(slow float64) float64 {
	if slow == 0 {
		return 1
	}
	return slow
}
