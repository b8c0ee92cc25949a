package relay

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/place"
)

// callerPauses measures the pauses between the events that a caller gets, over all attempts of
// its request. It is used only by the goroutine that serves the request.
type callerPauses struct {
	objective time.Duration     // longest pause for the stream to count as on time, 0 if there is none
	pauses    metrics.Histogram // of the route, nil before the first event
	longest   time.Duration
	lastEvent time.Time // when the latest event was sent to the caller
}

// recordEvent records that events were sent to the caller at now. A pause above the objective
// is counted once per stream.
func (c *callerPauses) recordEvent(route *fleet.Route, now time.Time) {
	if c.pauses == nil {
		c.pauses = metric.Histogram("stream_pause_ms", "route", route.Name)
		c.lastEvent = now
		return
	}
	pause := now.Sub(c.lastEvent)
	c.lastEvent = now
	c.pauses.Update(pause.Milliseconds())
	if c.objective > 0 && pause > c.objective && c.longest <= c.objective {
		metric.Counter("streams_paused_total", "route", route.Name).Inc(1)
	}
	c.longest = max(c.longest, pause)
}

// finish records the longest pause of a stream that has ended or will not go on.
func (c *callerPauses) finish(route *fleet.Route) {
	if c.pauses != nil {
		metric.Histogram("stream_longest_pause_ms", "route", route.Name).Update(c.longest.Milliseconds())
	}
}

// enginePauses measures the pauses that one attempt's stream has at its engine. The time in
// which events are sent to the caller does not count. It is used only by the goroutine that
// relays the stream.
type enginePauses struct {
	endpoints *Endpoints
	pick      *pick
	ready     time.Time // when the relay was ready for the next event, zero before the first
}

// recordEvent records that events of the engine were complete at now.
func (s *enginePauses) recordEvent(now time.Time) {
	if s.pick.reserved.HeldTokens == 0 {
		return // not a prompt
	}
	if s.ready.IsZero() {
		s.endpoints.beginStream(s.pick)
		s.ready = now
		return
	}
	s.endpoints.recordPause(s.pick, now.Sub(s.ready))
}

// waitFrom records that the relay waits for the next event from now on.
func (s *enginePauses) waitFrom(now time.Time) {
	if !s.ready.IsZero() {
		s.ready = now
	}
}

// end records the end of the attempt's stream.
func (s *enginePauses) end() {
	if !s.ready.IsZero() {
		s.endpoints.endStream(s.pick)
	}
}

// beginStream records the first event of an attempt's stream.
func (e *Endpoints) beginStream(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.endpoint.noise.Begin(e.now())
}

// endStream records the end of a stream that beginStream recorded.
func (e *Endpoints) endStream(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.endpoint.noise.End()
}

// recordPause records a pause between two events of a stream at its engine.
func (e *Endpoints) recordPause(p *pick, pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	ep, s := p.endpoint, e.service(p.spec.Service)
	pending := e.totalLoad(ep).PendingTokens
	if expected := s.streams.Interval(pending, 1); expected > 0 && s.streams.Measured() {
		ratio := float64(pause) / float64(expected)
		ep.speed.Observe(ratio)
		ep.noise.Observe(ratio/ep.speed.Speed(), now)
	}
	s.streams.Observe(pause, pending, ep.speed.Speed())
}

// noiseOf returns the NoiseTracker's level of an engine, 1 while the model is not measured. The
// caller holds mu.
func (e *Endpoints) noiseOf(ep *endpoint, s *serviceState, now time.Time) float64 {
	if !s.streams.Measured() || ep.noise.Idle() {
		return 1
	}
	return ep.noise.Noise(s.streams.Interval(e.totalLoad(ep).PendingTokens, ep.speed.Speed()), now)
}

// isNoisy reports whether this instance measures that an engine is noisy. The caller holds mu.
func (e *Endpoints) isNoisy(ep *endpoint, s *serviceState, now time.Time) bool {
	return e.noiseOf(ep, s, now) >= s.streams.NoisyLevel()
}

// reportedNoise is the noise assumed of an engine that other instances report as noisy: the
// level from which they do so, and a little more.
const reportedNoise = 2

// totalNoise returns the noise of an engine that is noisy as this instance or at least two others
// measure it, else 1. One other alone may be slow itself. The caller holds mu.
func (e *Endpoints) totalNoise(ep *endpoint, s *serviceState, now time.Time) float64 {
	noise := e.noiseOf(ep, s, now)
	if noise < s.streams.NoisyLevel() {
		noise = 1
	}
	if ep.others.Noisy >= 2 {
		noise = max(noise, reportedNoise)
	}
	return noise
}

// surroundings returns what a decision on q knows beside the engines. It is valid until the next
// decision. The caller holds mu.
func (e *Endpoints) surroundings(q *placementQuery, s *serviceState) *place.Surroundings {
	s.around = place.Surroundings{
		Streams: &s.streams, Rate: &s.prefillRate, ServiceObjective: s.pauseObjective, Objective: q.pauses.objective,
		Target: q.target, Rank: q.priority, Separate: e.separate && s.prefillSet.size > 0,
	}
	return &s.around
}

// percent converts a ratio for a gauge or a histogram, which hold integers.
func percent(ratio float64) int64 { return int64(100 * ratio) }

// updateEngineMetrics exports what is known of the engines of each service: the model and its
// error, and of each engine with streams here how long they pause relative to what the model
// expects.
func (e *Endpoints) updateEngineMetrics() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for name, s := range e.services {
		if !s.streams.Measured() {
			continue
		}
		e.updatePrefillSet(name, now)
		for _, pending := range []int{0, 8_000, 32_000} {
			metric.Gauge("engine_event_interval_us", "service", name, "pending", strconv.Itoa(pending)).Update(s.streams.Interval(pending, 1).Microseconds())
		}
		metric.Gauge("engine_prefill_tokens_per_second", "service", name).Update(int64(s.prefillRate.TokensPerSecond()))
		metric.Gauge("engine_model_error_percent", "service", name, "of", "pause").Update(percent(s.streams.Error()))
		metric.Gauge("engine_model_error_percent", "service", name, "of", "first-event").Update(percent(s.firstEventError))
		noisy, slow := int64(0), int64(0)
		for _, ep := range e.listedOf(name) {
			if e.isNoisy(ep, s, now) {
				noisy++
			}
			if ep.noise.Streams() > 0 {
				metric.Histogram("engine_pause_ratio_percent", "service", name).Update(percent(e.noiseOf(ep, s, now)))
			}
			if ep.speed.Speed() > 1 {
				slow++
			}
		}
		metric.Gauge("engines_slow", "service", name).Update(slow)
		metric.Gauge("engines_noisy", "service", name).Update(noisy)
	}
}
