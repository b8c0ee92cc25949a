package relay

import (
	"log/slog"
	"strconv"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
)

const (
	// rampStartTime is the time after an incarnation was first listed in which its first
	// ramp-up may begin.
	rampStartTime = 2 * time.Second
	// minRefusalsInRow is the number of requests that an endpoint must have refused in a row
	// to count as refusing all.
	minRefusalsInRow = 3
	// endedRampTime is how long the end of a ramp-up is reported, and how long the ramp-up of
	// an endpoint is kept that is not listed.
	endedRampTime = 10 * time.Second
	// maxRamps bounds the memory for ramp-ups that others report.
	maxRamps = 4096
	// usualSampleWeight is the weight of a new sample in serviceState.usualSeconds.
	usualSampleWeight = 0.05
)

// rampState is the ramp-up of an incarnation of an endpoint, and this instance's share of its
// rate. It is guarded by the mutex of Endpoints.
type rampState struct {
	ramp      place.Ramp
	share     place.PacedShare
	changedAt time.Time // when the step last changed
	basis     shareBasis
}

// troubleState is since when an endpoint has answered no instance, as far as this one knows.
type troubleState struct {
	refusalsInRow int       // requests of this instance that it has refused since it last answered one
	since         time.Time // zero while it answers
	cause         string
}

// rampsUp reports whether endpoints of a service that have started or recovered are ramped up:
// their configuration says that they start cold, or this instance does so for all services.
func (e *Endpoints) rampsUp(s *fleet.Snapshot, service string) bool {
	if e.rampUpAll || s.Config == nil {
		return e.rampUpAll
	}
	c := s.Config.Services[service]
	return c != nil && c.ColdStart > 0
}

// activeRamp returns the ramp-up of an endpoint, nil if there is none, or if the endpoint is
// cold, in which case its lower rate counts. The caller holds mu.
func (e *Endpoints) activeRamp(ep *endpoint) *rampState {
	if len(e.ramps) == 0 || ep.cold.active {
		return nil
	}
	if r := e.ramps[ep.incarnationHash]; r != nil && r.ramp.Active() {
		return r
	}
	return nil
}

// admitsRamp reports whether this instance may send a request to an endpoint as far as that
// depends on its ramp-up. The caller holds mu.
//
// Load pattern: a whole deployment starts, or most endpoints of a service return together. The
// load that their ramp-ups hold back has nowhere else to go.
func (e *Endpoints) admitsRamp(ep *endpoint, now time.Time) bool {
	r := e.activeRamp(ep)
	return r == nil || e.service(ep.spec.Service).mostRamp || r.share.Admits(now)
}

// takeRamp counts a request to an endpoint that may be ramped up. The caller holds mu.
func (e *Endpoints) takeRamp(ep *endpoint, now time.Time) {
	if r := e.activeRamp(ep); r != nil {
		metric.Counter("ramp_requests_total", "service", ep.spec.Service).Inc(1)
		r.share.Take(now)
	}
}

// beginRamp begins the ramp-up of an endpoint unless one is under way. The caller holds mu.
func (e *Endpoints) beginRamp(ep *endpoint, cause string, now time.Time) {
	r := e.ramps[ep.incarnationHash]
	if r == nil {
		r = &rampState{}
		e.ramps[ep.incarnationHash] = r
	}
	if !r.ramp.Begin(now) {
		return
	}
	r.changedAt = now
	event.RampBegun.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service), slog.String("cause", cause))
	metric.Counter("ramps_total", "service", ep.spec.Service, "cause", cause).Inc(1)
	e.updateRampShare(ep, r, now)
}

// stepRamps begins the ramp-ups of endpoints that have started or recovered, and judges those
// that are under way.
func (e *Endpoints) stepRamps() {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.syncView(), e.now()
	live := map[uint64]bool{}
	for service, list := range s.ByService {
		limited, rampsUp := coldService(s, service), e.rampsUp(s, service)
		if limited == nil && !rampsUp && len(e.ramps) == 0 {
			continue
		}
		active := int64(0)
		for _, spec := range list {
			ep := e.byKey[spec.Key()]
			if ep == nil {
				continue
			}
			cold := e.isCold(limited, ep, now)
			if rampsUp {
				e.checkRecovery(ep, cold, now)
			}
			if r := e.ramps[ep.incarnationHash]; r != nil {
				live[ep.incarnationHash] = true
				if r.ramp.Active() {
					active++
					e.judgeRamp(s, ep, r, cold, now)
				}
			}
		}
		metric.Gauge("endpoints_ramping", "service", service).Update(active)
		e.service(service).mostRamp = 2*active > int64(len(s.Serving[service]))
	}
	for incarnation, r := range e.ramps {
		if !live[incarnation] && now.Sub(r.changedAt) > endedRampTime {
			delete(e.ramps, incarnation)
		}
	}
}

// checkRecovery begins the ramp-up of an endpoint that has started, has turned cold or answers
// again. The caller holds mu.
func (e *Endpoints) checkRecovery(ep *endpoint, cold bool, now time.Time) {
	r := e.ramps[ep.incarnationHash]
	listedAt := ep.spec.ListedAt
	if r == nil && !listedAt.IsZero() && now.Sub(listedAt) < rampStartTime {
		e.beginRamp(ep, "started", now)
		return
	}
	if cold {
		e.beginRamp(ep, "cold", now)
		return
	}
	cause := e.troubleOf(ep, now)
	switch {
	case cause != "" && ep.trouble.since.IsZero():
		ep.trouble.since, ep.trouble.cause = now, cause
	case cause == "" && !ep.trouble.since.IsZero():
		// Another instance may have seen it answer earlier and have begun the ramp-up.
		if r == nil || r.ramp.Begun().Before(ep.trouble.since) {
			e.beginRamp(ep, ep.trouble.cause, now)
		}
		ep.trouble.since = time.Time{}
	}
}

// troubleOf returns why an endpoint answers no instance, empty if it answers any or if that is
// not known. What it does to one instance alone says nothing: in a full service, each is
// refused or asked for a pause now and then, and one may be cut off. The caller holds mu.
func (e *Endpoints) troubleOf(ep *endpoint, now time.Time) string {
	others := e.otherLoads.Load(ep.idHash)
	switch {
	case ep.health.Reached(now) || others.Reached > 0:
		ep.trouble.refusalsInRow = 0
		return ""
	case ep.pause.Active(now):
		return "paused"
	case ep.health.Unreachable(now) && (others.Unreachable > 0 || len(e.instances) <= 1):
		return "unreachable"
	case ep.trouble.refusalsInRow >= minRefusalsInRow:
		return "refusing"
	}
	return ""
}

// judgeRamp moves a ramp-up to its next step if its responses say so, and updates this
// instance's share. The caller holds mu.
func (e *Endpoints) judgeRamp(s *fleet.Snapshot, ep *endpoint, r *rampState, cold bool, now time.Time) {
	load := e.otherLoads.Load(rampStepHash(ep.incarnationHash, r.ramp.Step()))
	others := place.RampResponses{OnTime: load.Reached, Bad: load.Unreachable}
	before := r.ramp.Step()
	full := place.RampFullRate(ep.spec.Slots, e.service(ep.spec.Service).usualSeconds)
	if r.ramp.Judge(others, cold || !ep.trouble.since.IsZero(), e.rampBase(s, ep), full, now) {
		r.changedAt = now
		direction := "up"
		if r.ramp.Step().Generation > before.Generation {
			direction = "down"
		}
		metric.Counter("ramp_steps_total", "service", ep.spec.Service, "direction", direction).Inc(1)
		if !r.ramp.Active() {
			e.recordRampEnded(ep, r, now)
		}
	}
	e.updateRampShare(ep, r, now)
}

func (e *Endpoints) recordRampEnded(ep *endpoint, r *rampState, now time.Time) {
	took := now.Sub(r.ramp.Begun())
	event.RampEnded.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service), slog.Duration("took", took))
	metric.Histogram("ramp_ms", "service", ep.spec.Service).Update(took.Milliseconds())
}

// rampBase returns the rate at which the ramp-up of an endpoint begins.
func (e *Endpoints) rampBase(s *fleet.Snapshot, ep *endpoint) float64 {
	coldPerSecond := 0.0
	if service := coldService(s, ep.spec.Service); service != nil {
		coldPerSecond = service.ColdPerSecond
	}
	return place.RampBase(coldPerSecond, ep.spec.Slots)
}

// updateRampShare sets this instance's share of the rate of a ramp-up. The caller holds mu.
func (e *Endpoints) updateRampShare(ep *endpoint, r *rampState, now time.Time) {
	if !r.ramp.Active() {
		r.share.Set(0, 0, now)
		r.basis = shareBasis{}
		return
	}
	rate := r.ramp.Rate(e.rampBase(e.view.Snapshot(), ep))
	basis := shareBasis{epoch: e.members.Epoch(now), rate: rate}
	if basis == r.basis {
		return
	}
	r.basis = basis
	perSecond, phase := rate.RecentShare(ep.incarnationHash, &e.members, e.instance, now)
	r.share.Set(perSecond, phase, now)
}

// recordRampAnswer records that the first data of a response to an attempt arrived after took,
// ratio times as long as is usual for its service. The caller holds mu.
func (e *Endpoints) recordRampAnswer(p *pick, ratio float64, took time.Duration) {
	s := e.service(p.spec.Service)
	if s.usualSeconds == 0 {
		s.usualSeconds = took.Seconds()
	}
	s.usualSeconds += usualSampleWeight * (took.Seconds() - s.usualSeconds)
	p.endpoint.trouble.refusalsInRow = 0
	if r := e.activeRamp(p.endpoint); r != nil {
		r.ramp.RecordResponse(took, ratio, p.chosenAt)
	}
}

// recordRampBad records that an attempt was refused, lost or failed. The caller holds mu.
func (e *Endpoints) recordRampBad(p *pick, refused bool) {
	if refused {
		p.endpoint.trouble.refusalsInRow++
	}
	if r := e.activeRamp(p.endpoint); r != nil {
		r.ramp.RecordBad(p.chosenAt)
	}
}

// rampStepHash returns the target under which the responses in a step of a ramp-up are in the
// loads that instances report: those on time as Reached, the bad ones as Unreachable.
func rampStepHash(incarnation uint64, step place.RampStep) uint64 {
	return place.Hash("ramp\x00" + strconv.FormatUint(incarnation, 16) + "\x00" + strconv.FormatUint(uint64(step.Generation), 16) + "\x00" + strconv.FormatUint(uint64(step.Level), 16))
}

// addRampLoads adds the responses to this instance's requests in the steps that hold to its
// loads, so that all instances judge a step by the responses of all. The caller holds mu.
func (e *Endpoints) addRampLoads(loads map[uint64]peers.Load) {
	for incarnation, r := range e.ramps {
		if own := r.ramp.Own(); r.ramp.Active() && own != (place.RampResponses{}) {
			loads[rampStepHash(incarnation, r.ramp.Step())] = peers.Load{Reached: own.OnTime, Unreachable: own.Bad}
		}
	}
}

// Ramps implements peers.RampSource: it returns the steps of the ramp-ups that are under way
// or have ended lately.
func (e *Endpoints) Ramps() []peers.Ramp {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []peers.Ramp
	for incarnation, r := range e.ramps {
		if r.ramp.Active() || e.now().Sub(r.changedAt) < endedRampTime {
			step := r.ramp.Step()
			list = append(list, peers.Ramp{Target: incarnation, Generation: step.Generation, Level: step.Level})
		}
	}
	return list
}

// RecordRamps implements peers.RampSource: it records the steps that another instance knows.
func (e *Endpoints) RecordRamps(list []peers.Ramp) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, reported := range list {
		r := e.ramps[reported.Target]
		if r == nil {
			if len(e.ramps) >= maxRamps {
				continue
			}
			r = &rampState{changedAt: now}
		}
		step := place.RampStep{Generation: reported.Generation, Level: reported.Level}
		if !step.Valid(r.ramp.Step()) {
			metric.Counter("peer_ramps_invalid_total").Inc(1)
			continue
		}
		e.ramps[reported.Target] = r
		e.mergeRamp(reported.Target, r, step, now)
	}
}

// mergeRamp records a step of a ramp-up that another instance knows. The caller holds mu.
func (e *Endpoints) mergeRamp(incarnation uint64, r *rampState, step place.RampStep, now time.Time) {
	wasActive := r.ramp.Active()
	if !r.ramp.Merge(step, now) {
		return
	}
	r.changedAt = now
	for _, ep := range e.byKey {
		if ep.incarnationHash != incarnation {
			continue
		}
		if wasActive && !r.ramp.Active() {
			e.recordRampEnded(ep, r, now)
		}
		e.updateRampShare(ep, r, now)
	}
}
