package relay

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/place"
)

const (
	// pauseSpread is the longest time that an instance adds to a pause at random.
	pauseSpread = 250 * time.Millisecond
	// drainMargin is subtracted from the time for which leaving endpoints may be used, to
	// allow for the transfer of the request, and because the endpoint may have announced
	// that it leaves before this instance first got a response from it.
	drainMargin = time.Second
)

// noticeState is what an incarnation of an endpoint has said of itself that holds for
// further requests. It outlives the endpoint's entry in the metadata store, which may
// vanish and come back while the endpoint runs. It is guarded by the mutex of Endpoints.
type noticeState struct {
	pause           place.Pause
	leavingSince    time.Time // when this instance learned that it has announced to leave, zero if it has not
	endPlannedSince time.Time // when this instance first learned, by its announcement, its entry or the removal of that, that it leaves
	listedAt        time.Time // when the incarnation was last known to be listed
}

// recordEndPlanned records that the endpoint leaves or is not listed, so that its process
// will end.
func (n *noticeState) recordEndPlanned(now time.Time) {
	if n.endPlannedSince.IsZero() {
		n.endPlannedSince = now
	}
}

const (
	// noticeTime is how long the notices of an endpoint that is not listed are kept. It is
	// well above the time for which an endpoint that leaves goes on serving.
	noticeTime = 10 * time.Minute
	// maxNotices bounds the memory for notices. Below it, none is forgotten before its time.
	maxNotices = 8192
)

// noticesOf returns the notices of an incarnation, empty ones if it is new. The caller
// holds mu.
func (e *Endpoints) noticesOf(key fleet.EndpointKey) *noticeState {
	n := e.notices[key]
	if n == nil {
		n = &noticeState{}
		e.notices[key] = n
	}
	return n
}

// syncNotices updates which endpoints leave by their entries, and forgets the notices of
// incarnations that have not been listed for noticeTime, and of those without any. The
// caller holds mu and has updated byKey.
func (e *Endpoints) syncNotices() {
	now := e.now()
	for key, n := range e.notices {
		ep := e.byKey[key]
		switch {
		case ep == nil || ep.spec.Leaving:
			n.recordEndPlanned(now)
		case n.leavingSince.IsZero():
			n.endPlannedSince = time.Time{} // its entry has come back
		}
		if ep != nil {
			n.listedAt = now
			continue
		}
		said := !n.leavingSince.IsZero() || n.pause.Active(now)
		if !said || now.Sub(n.listedAt) > noticeTime || len(e.notices) > maxNotices {
			delete(e.notices, key)
		}
	}
}

// incarnationHash returns the hash that stands for an incarnation of an endpoint in
// reports to other instances.
func incarnationHash(k fleet.EndpointKey) uint64 {
	return place.Hash(k.ID + "\x00" + strconv.FormatInt(k.StartMillis, 10))
}

// RecordNotice records what a response of an endpoint to a call of this instance outside
// of requests says about further calls. It does not end a limit: only the responses to
// requests are known to name it.
func (e *Endpoints) RecordNotice(key fleet.EndpointKey, n fleet.Notice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.byKey[key]
	if ep == nil {
		return
	}
	e.recordNotice(ep, n)
	if n.Limit.Named {
		e.recordLimit(ep, n.Limit, e.now())
	}
}

// recordReplyNotice records the notice in the response to an attempt that was sent at
// sentAt. The response concerns the endpoint that it names, which is another one than p's
// if the address was reused.
func (e *Endpoints) recordReplyNotice(p *pick, r Reply, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := p.endpoint
	if r.EndpointID != "" && r.EndpointID != p.spec.ID {
		if ep = e.endpointByID(r.EndpointID); ep == nil {
			return
		}
	}
	e.recordNotice(ep, r.Notice)
	e.recordLimit(ep, r.Notice.Limit, sentAt)
}

// endpointByID returns the endpoint with the given identifier, nil if there is none. The
// caller holds mu.
func (e *Endpoints) endpointByID(id string) *endpoint {
	spec := e.view.Snapshot().Endpoints[id]
	if spec == nil {
		return nil
	}
	return e.byKey[spec.Key()]
}

// recordNotice records a notice of ep. The caller holds mu.
func (e *Endpoints) recordNotice(ep *endpoint, n fleet.Notice) {
	now := e.now()
	e.recordBrittle(ep, n.Brittle, now)
	if n.Leaving {
		e.recordLeaving(ep, now)
	}
	if n.Pause > 0 {
		if !ep.pause.Active(now) {
			event.EndpointPaused.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.Duration("pause", n.Pause))
		}
		metric.Counter("endpoint_pauses_total", "service", ep.spec.Service).Inc(1)
		ep.pause.Extend(now, n.Pause, rand.N(pauseSpread))
	}
}

// recordLeaving records that an endpoint announced that it leaves. That holds for its
// incarnation, whatever its entry or later responses say. The caller holds mu.
func (e *Endpoints) recordLeaving(ep *endpoint, now time.Time) {
	if !ep.leavingSince.IsZero() {
		return
	}
	ep.leavingSince = now
	ep.recordEndPlanned(now)
	event.EndpointLeaving.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service))
	metric.Counter("endpoints_leaving_total", "service", ep.spec.Service).Inc(1)
}

// RecordReportedLeaving records which endpoints have told other instances that they
// leave, and which leave by their entries.
func (e *Endpoints) RecordReportedLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncView()
	now := e.now()
	for _, ep := range e.byKey {
		if ep.leavingSince.IsZero() && e.otherLoads.Load(ep.incarnationHash).Leaving > 0 {
			e.recordLeaving(ep, now)
		}
	}
}

// mayServeWhileLeaving reports whether an endpoint that announced that it leaves may still
// get requests if no other one can.
func (e *Endpoints) mayServeWhileLeaving(ep *endpoint, now time.Time) bool {
	return now.Before(ep.leavingSince.Add(e.drainTime - drainMargin))
}

// MayCall reports whether this instance may call an endpoint outside of requests: it has
// not asked for a pause.
func (e *Endpoints) MayCall(key fleet.EndpointKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.byKey[key]
	return ep == nil || !ep.pause.Active(e.now())
}
