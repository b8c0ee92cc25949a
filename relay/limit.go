package relay

import (
	"log/slog"
	"slices"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
)

// endpointLimit is what is known about the limit that an incarnation of an endpoint has
// named, and this instance's share of it.
type endpointLimit struct {
	limit      fleet.RateLimit
	observedAt time.Time // when the latest response that says so arrived, at any instance
	share      place.LimitShare
}

// endedLimitTime is how long it is remembered that a limit has ended. Reports that still
// name it have arrived by then.
const endedLimitTime = 10 * time.Second

// SetInstances sets the names of the live instances, of which self is this one.
func (e *Endpoints) SetInstances(self string, names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == self && slices.Equal(e.instances, names) {
		return
	}
	e.instance, e.instances = self, names
	e.members.Set(names, e.now())
	for incarnation, l := range e.limits {
		e.updateShare(incarnation, l)
	}
	e.wakeAllQueues(causeView)
}

// updateShare sets this instance's share of a limit. The caller holds mu.
func (e *Endpoints) updateShare(incarnation uint64, l *endpointLimit) {
	holders, holds := place.ShareHolders(incarnation, e.instances, e.instance, l.limit.PerSecond)
	perSecond := 0.0
	if holds {
		perSecond = l.limit.PerSecond / float64(holders)
	}
	l.share.Set(perSecond, e.now())
}

// recordLimit records what the response to a request that was sent at sentAt says about a
// limit. A response that names none ends a limit only if the request was sent after the
// limit was named: responses may overtake each other. The caller holds mu.
func (e *Endpoints) recordLimit(ep *endpoint, limit fleet.RateLimit, sentAt time.Time) {
	known := e.limits[ep.incarnationHash]
	if !limit.Named && (known == nil || sentAt.Before(known.observedAt)) {
		return
	}
	if known == nil || known.limit != limit {
		event.EndpointLimited.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service),
			slog.Bool("limited", limit.Named), slog.Float64("perSecond", limit.PerSecond))
		metric.Counter("endpoint_limits_total", "service", ep.spec.Service).Inc(1)
	}
	e.setLimit(ep.incarnationHash, limit, e.now())
}

// setLimit sets the limit of an incarnation of an endpoint as observed at a time. The
// caller holds mu.
func (e *Endpoints) setLimit(incarnation uint64, limit fleet.RateLimit, observedAt time.Time) {
	known := e.limits[incarnation]
	if known == nil {
		known = &endpointLimit{}
		e.limits[incarnation] = known
	}
	changed := known.limit != limit
	known.limit, known.observedAt = limit, observedAt
	known.share.Heard(observedAt)
	if changed {
		e.updateShare(incarnation, known)
	}
}

// RecordLimits implements peers.LimitSource: it records what other instances have learned
// about limits, as far as that is newer than what this one knows.
func (e *Endpoints) RecordLimits(list []peers.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range list {
		if known := e.limits[l.Target]; known == nil || l.ObservedAt.After(known.observedAt) {
			e.setLimit(l.Target, l.Limit, l.ObservedAt)
		}
	}
	e.wakeAllQueues(causeReport)
}

// Limits implements peers.LimitSource: it returns the limits that this instance knows, with
// those that have ended lately. It forgets those of endpoints that are gone and those that
// ended before.
func (e *Endpoints) Limits() []peers.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.limits) == 0 {
		return nil
	}
	live := map[uint64]bool{}
	for _, ep := range e.byKey {
		live[ep.incarnationHash] = true
	}
	var list []peers.Limit
	for incarnation, l := range e.limits {
		if e.now().Sub(l.observedAt) > endedLimitTime && !(l.limit.Named && live[incarnation]) {
			delete(e.limits, incarnation)
			continue
		}
		list = append(list, peers.Limit{Target: incarnation, Limit: l.limit, ObservedAt: l.observedAt})
	}
	return list
}

// limitOf returns the limit that an endpoint has named, nil if there is none. The caller
// holds mu.
func (e *Endpoints) limitOf(ep *endpoint) *endpointLimit {
	if len(e.limits) == 0 {
		return nil
	}
	if l := e.limits[ep.incarnationHash]; l != nil && l.limit.Named {
		return l
	}
	return nil
}

// admitsByLimit reports whether this instance may send a request to an endpoint under its
// limit. The caller holds mu.
func (e *Endpoints) admitsByLimit(ep *endpoint, now time.Time) bool {
	l := e.limitOf(ep)
	return l == nil || l.share.Admits(now)
}

// takeFromLimit counts a request to an endpoint that has named a limit. The caller holds
// mu.
func (e *Endpoints) takeFromLimit(ep *endpoint, now time.Time) {
	if l := e.limitOf(ep); l != nil {
		metric.Counter("limited_endpoint_requests_total", "service", ep.spec.Service).Inc(1)
		l.share.Take(now)
	}
}

// noShareDelay is the delay stated to a caller if all endpoints that could run its request
// name limits, are cold or ramped up, and this instance holds no share of any. Other instances hold the shares.
const noShareDelay = time.Second

// limitWait returns how long q has to wait until an endpoint admits it whose limit or whose
// rate while it is cold or ramped up is used up, and whether there is such an endpoint. The first time it counts q as waiting, behind
// the requests that wait already. The caller holds mu.
func (e *Endpoints) limitWait(s *fleet.Snapshot, q *placementQuery, now time.Time) (time.Duration, bool) {
	var shortest time.Duration
	perSecond, limited, noShare := 0.0, false, noShareDelay
	cold := coldService(s, q.service)
	for _, spec := range s.Serving[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !q.mayTry(spec) {
			continue
		}
		share, atMost := e.blockingShare(cold, ep, now)
		if share == nil {
			continue
		}
		limited = true
		if share.PerSecond() == 0 {
			noShare = min(noShare, atMost)
			continue
		}
		if wait := share.Wait(now); perSecond == 0 || wait < shortest {
			shortest = wait
		}
		perSecond += share.PerSecond()
	}
	if !limited || perSecond == 0 {
		return noShare, limited
	}
	if q.waitsForLimit {
		return shortest, true
	}
	service := e.service(q.service)
	ahead := service.waitingForLimit
	q.waitsForLimit = true
	service.waitingForLimit++
	return shortest + place.Duration(float64(ahead)/perSecond), true
}

// endWaits ends the waits of q that decide, limitWait and placeWait have begun.
func (e *Endpoints) endWaits(q *placementQuery) {
	if !q.waitsForLimit && !q.waitsForPlace && q.waiter == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveQueue(q)
	service := e.service(q.service)
	if q.waitsForLimit {
		service.waitingForLimit--
	}
	if q.waitsForPlace {
		service.waitingForPlace--
	}
	q.waitsForLimit, q.waitsForPlace = false, false
}
