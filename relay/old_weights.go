package relay

import (
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
)

const (
	// oldWeightsMargin is the time before the end of OldWeightsTime from which outdated weights
	// are not used.
	oldWeightsMargin = 800 * time.Millisecond
	// onceWaitFactor is how many times longer than expected a request that can't be taken back
	// may wait at its engine.
	onceWaitFactor = 3
	// takeBackMargin is the time before the end of OldWeightsTime at which requests that have not
	// begun are taken back. It allows for the interval of the checks and the way to the engine.
	takeBackMargin = 300 * time.Millisecond
)

// oldWeightsLeft returns for how long an endpoint may begin requests with its version of a model's
// weights, if that is outdated.
func (e *Endpoints) oldWeightsLeft(s *fleet.Snapshot, model string, version int64, now time.Time) (left time.Duration, outdated bool) {
	since, outdated := s.OutdatedSince(model, version)
	return e.oldWeightsTime - now.Sub(since), outdated
}

// maySendTo reports whether requests may be sent to an endpoint with the given version of a model's
// weights.
func (e *Endpoints) maySendTo(s *fleet.Snapshot, model string, version int64, now time.Time) bool {
	left, outdated := e.oldWeightsLeft(s, model, version, now)
	return !outdated || left > oldWeightsMargin
}

// mayTakeBack reports whether an attempt that is sent now may be given up in favour of another one.
func (q *placementQuery) mayTakeBack() bool {
	return q.repeatable && len(q.mayHaveRun)+1 < q.maxAttempts
}

// dropLate removes the engines with outdated weights at which q would begin too late by their
// expected time to the first event: a request begins with that event, not when it is sent. The
// three lists belong together. The caller holds mu.
func (e *Endpoints) dropLate(s *fleet.Snapshot, q *placementQuery, now time.Time) {
	b, rate := &e.buffers, &e.service(q.service).prefillRate
	factor := 1.0
	if !q.mayTakeBack() {
		factor = onceWaitFactor
	}
	kept := 0
	for i, ep := range b.list {
		left, outdated := e.oldWeightsLeft(s, q.prompt.Model, ep.weightsVersion(q.prompt.Model), now)
		if outdated && rate.PrefillTime(int(factor*b.engines[i].Cost())) > left-takeBackMargin {
			continue
		}
		b.list[kept], b.engines[kept], b.plans[kept] = ep, b.engines[i], b.plans[i]
		kept++
	}
	b.list, b.engines, b.plans = b.list[:kept], b.engines[:kept], b.plans[:kept]
}

// takenBack says whether an attempt was given up before it began.
type takenBack struct {
	model string // of the request
	done  bool   // the attempt was given up
}

// awaitBeginning records that an attempt of q waits for its first event from now on, if it may be
// taken back. The returned function must be called at the end of the attempt.
func (e *Endpoints) awaitBeginning(q *placementQuery, p *pick) (end func()) {
	if q.prompt == nil || p.moveFrom != nil || !q.mayTakeBack() {
		return func() {}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.takenBack.model = q.prompt.Model
	e.awaited[p] = struct{}{}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.awaited, p)
	}
}

// takeBackLate gives up the attempts that have not begun although their engine's weights have been
// outdated for almost OldWeightsTime, as far as retries are allowed.
//
// Load pattern: new weights are set while the queues of engines are long, or faster than the
// engines load them. A request that is sent in time begins seconds later, on weights that were
// replaced long before.
func (e *Endpoints) takeBackLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.awaited) == 0 {
		return
	}
	s, now := e.view.Snapshot(), e.now()
	for p := range e.awaited {
		left, outdated := e.oldWeightsLeft(s, p.takenBack.model, p.weights, now)
		if !outdated || left > takeBackMargin || !e.service(p.spec.Service).retryWindow.Take(now, s.Instances) {
			continue
		}
		delete(e.awaited, p)
		p.takenBack.done = true
		p.cancel()
	}
}

// wasTakenBack reports whether an attempt was given up by takeBackLate.
func (e *Endpoints) wasTakenBack(p *pick) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.takenBack.done
}

// recordBegun records that an attempt has begun at its engine. From now on it is not taken back.
func (e *Endpoints) recordBegun(p *pick, q *placementQuery) {
	if q.prompt == nil || p.moveFrom != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.awaited, p)
	now := e.now()
	left, outdated := e.oldWeightsLeft(e.view.Snapshot(), q.prompt.Model, p.weights, now)
	if !outdated || left >= 0 {
		return
	}
	metric.Counter("old_weights_used_total", "service", q.service).Inc(1)
	event.OldWeightsUsed.Log(e.log, slog.String("endpoint", p.spec.ID), slog.String("model", q.prompt.Model), slog.Int64("weights", p.weights),
		slog.Duration("late", -left), slog.Duration("sinceChoice", now.Sub(p.chosenAt)))
}

// OutdatedWeightsError reports that an attempt was given up because it had not begun at an engine
// whose weights have been outdated for too long.
type OutdatedWeightsError struct{ Version int64 }

// Error implements error.
func (e *OutdatedWeightsError) Error() string {
	return "the request would begin on weights that were replaced too long ago"
}

// handleTakenBack ends an attempt that was given up by takeBackLate. Its retry is already taken
// from the budget.
func (c *callerRequest) handleTakenBack(p *pick) outcome {
	c.lastErr = &OutdatedWeightsError{Version: p.weights}
	c.query.excluded = append(c.query.excluded, p.spec.Key())
	c.retryTaken = true
	metric.Counter("attempts_taken_back_total", "service", c.query.service).Inc(1)
	event.AttemptTakenBack.Log(c.server.opts.Log, append(c.logAttrs(), slog.Int64("weights", p.weights))...)
	if c.headerSent {
		return outcomeTruncated
	}
	return outcomeUnknown
}
