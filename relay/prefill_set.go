package relay

import (
	"log/slog"
	"math"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/place"
)

const (
	// prefillSetInterval is the time between two computations of a service's set of prefill
	// engines, a little less than place.RecentTime, so that no long prompt is left out of the
	// measured demand.
	prefillSetInterval = 250 * time.Millisecond
	// prefillDemandWeight is the weight of a measurement after prefillSetInterval in the average of the
	// demand, which thus covers about two seconds: demand that varies over ten seconds is
	// followed, and single prompts change little.
	prefillDemandWeight = 0.125
	// maxDemandAge is the time in seconds after which a new measurement replaces the demand.
	maxDemandAge = 60
)

// prefillSet is the set of prefill engines of a service. It is guarded by the mutex of
// Endpoints.
type prefillSet struct {
	size       int
	demand     float64   // uncached tokens of long prompts per second, from all instances
	computedAt time.Time // zero before the first computation
}

// InPrefillSet reports whether the engine is one of those at which long prompts should be
// prefilled, while their streams go on elsewhere. It is false for endpoints that are not
// listed and for services without demand for long prompts.
func (e *Endpoints) InPrefillSet(key fleet.EndpointKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncView()
	ep := e.byKey[key]
	if ep == nil {
		return false
	}
	return e.inPrefillSet(ep)
}

// inPrefillSet is InPrefillSet for callers that hold mu.
func (e *Endpoints) inPrefillSet(ep *endpoint) bool {
	e.updatePrefillSet(ep.spec.Service, e.now())
	return ep.prefills
}

// updatePrefillSet computes the set of a service anew if that is due. Instances come to the same
// set, because the demand is that of all instances and place.PrefillSet has one order. The
// caller holds mu.
func (e *Endpoints) updatePrefillSet(service string, now time.Time) {
	s := e.service(service)
	set := &s.prefillSet
	elapsed := now.Sub(set.computedAt)
	if elapsed < prefillSetInterval {
		return
	}
	set.computedAt = now
	weight := 1 - math.Pow(1-prefillDemandWeight, min(elapsed.Seconds(), maxDemandAge)/prefillSetInterval.Seconds())
	e.readOtherLoads(service)
	tokens := 0
	var members []*endpoint
	var engines []place.PrefillEngine
	for _, ep := range e.listedOf(service) {
		tokens += ep.others.RecentPrefill + ep.recentPrefill.Sum(now)
		ep.prefills = false
		if !ep.spec.Leaving && ep.leavingSince.IsZero() && !ep.replaced {
			members = append(members, ep)
			engines = append(engines, place.PrefillEngine{Hash: ep.idHash, DataCentre: ep.spec.DataCentre})
		}
	}
	set.demand += weight * (float64(tokens)/place.RecentTime.Seconds() - set.demand)
	chosen := place.PrefillSet(engines, set.size, set.demand, s.prefillRate.TokensPerSecond())
	for _, i := range chosen {
		members[i].prefills = true
	}
	if !e.explains {
		metric.Gauge("prefill_set_engines", "service", service).Update(int64(len(chosen)))
		metric.Gauge("prefill_demand_tokens_per_second", "service", service).Update(int64(set.demand))
		if (len(chosen) == 0) != (set.size == 0) {
			event.PrefillSetChanged.Log(e.log, slog.String("service", service), slog.Int("engines", len(chosen)), slog.Int("of", len(engines)), slog.Float64("tokensPerSecond", set.demand))
		}
	}
	set.size = len(chosen)
}

// notePauseObjective records the pause objective of a request of a service: the tightest one
// of the routes that use it counts, until the configuration changes.
func (s *serviceState) notePauseObjective(objective time.Duration, config int64) {
	if s.pauseObjectiveConfig != config {
		s.pauseObjective, s.pauseObjectiveConfig = 0, config
	}
	if objective > 0 && (s.pauseObjective == 0 || objective < s.pauseObjective) {
		s.pauseObjective = objective
	}
}

// isLong reports whether prefilling the given number of tokens disturbs the streams of an
// engine of the service.
func (s *serviceState) isLong(tokens int) bool {
	return place.IsLongPrompt(s.prefillRate.PrefillTime(tokens), s.pauseObjective)
}
