package relay

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/place"
)

// brittleTime is how long a service counts as brittle after one of its endpoints has said so,
// as each does in all its responses.
const brittleTime = 5 * time.Second

// recordBrittle records what the response of an endpoint says about being brittle. All
// endpoints of its service are then treated so, also one that has just started. The caller
// holds mu.
func (e *Endpoints) recordBrittle(ep *endpoint, b fleet.Brittleness, now time.Time) {
	if !b.Named {
		return
	}
	s := e.service(ep.spec.Service)
	if !now.Before(s.brittleUntil) {
		event.ServiceBrittle.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service), slog.Float64("refusalsPerSecond", b.RefusalsPerSecond))
	}
	s.brittleUntil, s.brittleRefusals = now.Add(brittleTime), b.RefusalsPerSecond
}

// isBrittle reports whether the endpoints of a service are brittle. The caller holds mu.
func (e *Endpoints) isBrittle(service string, now time.Time) bool {
	return now.Before(e.service(service).brittleUntil)
}

// placeShare returns how many requests this instance may have at a brittle endpoint. The
// caller holds mu.
func (e *Endpoints) placeShare(ep *endpoint) int {
	return place.PlaceShare(ep.incarnationHash, e.instances, e.instance, ep.spec.Slots)
}

// hasPlace reports whether this instance may send a request to an endpoint, as far as that
// depends on its room. The caller holds mu.
func (e *Endpoints) hasPlace(ep *endpoint, now time.Time) bool {
	return !e.isBrittle(ep.spec.Service, now) || ep.ownLoad.Running < e.placeShare(ep)
}

// recordTurnedAway records that an endpoint has turned a request away for want of room. If it
// is brittle, this instance leaves it alone for a while. The caller holds mu.
func (e *Endpoints) recordTurnedAway(ep *endpoint, now time.Time) {
	if !e.isBrittle(ep.spec.Service, now) {
		return
	}
	metric.Counter("brittle_refusals_total", "service", ep.spec.Service).Inc(1)
	pause := place.RefusalPause(len(e.instances), e.service(ep.spec.Service).brittleRefusals)
	ep.pause.Extend(now, pause, rand.N(pauseSpread))
}

// noPlaceDelay is the delay stated to a caller if as many requests wait for this instance's
// places at brittle endpoints as there are places.
const noPlaceDelay = time.Second

// placeWait returns how long q has to wait at least for a place at a brittle endpoint, and
// whether there is one that has none left for this instance. The first time it counts q as
// waiting. No more requests wait than there are places. The caller holds mu.
func (e *Endpoints) placeWait(s *fleet.Snapshot, q *placementQuery, now time.Time) (time.Duration, bool) {
	if !e.isBrittle(q.service, now) {
		return 0, false
	}
	places, full := 0, false
	for _, spec := range s.Serving[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !q.mayTry(spec) {
			continue
		}
		places += e.placeShare(ep)
		full = full || !e.hasPlace(ep, now)
	}
	if !full || q.waitsForPlace {
		return unknownWait, full
	}
	service := e.service(q.service)
	if service.waitingForPlace >= places {
		return noPlaceDelay, true
	}
	q.waitsForPlace = true
	service.waitingForPlace++
	return unknownWait, true
}
