package relay

import (
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
)

// coldState is this instance's share of the rate of requests that a cold endpoint bears. It is
// guarded by the mutex of Endpoints.
type coldState struct {
	active bool // the endpoint was cold when it was last looked at
	share  place.PacedShare
	basis  shareBasis
}

// shareBasis is what a share was computed from. It is computed again when that changes, because
// it costs a hash for each instance.
type shareBasis struct {
	epoch     int // of the lists of live instances
	confirmed bool
	rate      place.PacedRate
}

// reportedCold is until when an endpoint is cold according to other instances.
type reportedCold struct {
	startMillis int64 // of the incarnation that is cold
	until       time.Time
}

// coldService returns the service if its cold endpoints bear only a limited rate, else nil.
func coldService(s *fleet.Snapshot, name string) *fleet.Service {
	if s.Config == nil {
		return nil
	}
	if service := s.Config.Services[name]; service != nil && service.ColdPerSecond > 0 {
		return service
	}
	return nil
}

// entryColdUntil returns until when an endpoint is cold by what this instance has read in the
// metadata store: by its entry, and because it started during traffic.
func entryColdUntil(service *fleet.Service, spec *fleet.Endpoint) time.Time {
	until := spec.ColdUntil
	if service.ColdStart > 0 && !spec.ListedAt.IsZero() {
		if started := spec.ListedAt.Add(service.ColdStart); started.After(until) {
			until = started
		}
	}
	return until
}

// coldUntil returns until when an endpoint of a service is cold. The caller holds mu.
func (e *Endpoints) coldUntil(service *fleet.Service, ep *endpoint) time.Time {
	until := entryColdUntil(service, ep.spec)
	if r, ok := e.reportedCold[ep.idHash]; ok && r.startMillis >= ep.spec.StartMillis && r.until.After(until) {
		until = r.until
	}
	return until
}

// isCold reports whether an endpoint is cold, and updates this instance's share if it is.
// service is that of the endpoint, nil if its endpoints bear any rate. The caller holds mu.
func (e *Endpoints) isCold(service *fleet.Service, ep *endpoint, now time.Time) bool {
	if service == nil {
		return false
	}
	until := e.coldUntil(service, ep)
	if !now.Before(until) {
		ep.cold.active = false
		return false
	}
	if !ep.cold.active {
		ep.cold.active, ep.cold.basis = true, shareBasis{}
		ep.cold.share.Set(0, 0, now) // the next request is not admitted before that of a new share
		if !e.explains {
			event.EndpointCold.Log(e.log, slog.String("endpoint", ep.spec.ID), slog.String("service", ep.spec.Service), slog.Duration("for", until.Sub(now)))
			metric.Counter("endpoints_cold_total", "service", ep.spec.Service).Inc(1)
		}
	}
	rate := place.ColdRate(service.ColdPerSecond, e.coldOver, e.coldSlack)
	basis := shareBasis{epoch: e.members.Epoch(now), confirmed: e.membersConfirmed(now), rate: rate}
	if basis == ep.cold.basis {
		return true
	}
	ep.cold.basis = basis
	perSecond, phase := 0.0, 0.0
	if basis.confirmed {
		perSecond, phase = rate.Share(ep.incarnationHash, &e.members, e.instance, now)
	}
	ep.cold.share.Set(perSecond, phase, now)
	return true
}

// membersConfirmed reports whether the list of live instances has been confirmed of late. The
// caller holds mu.
func (e *Endpoints) membersConfirmed(now time.Time) bool {
	return e.membersConfirmedAt == nil || now.Sub(e.membersConfirmedAt()) <= place.MaxMemberAge
}

// admitsCold reports whether this instance may send a request to an endpoint as far as that
// depends on its being cold. The caller holds mu.
func (e *Endpoints) admitsCold(service *fleet.Service, ep *endpoint, now time.Time) bool {
	return !e.isCold(service, ep, now) || ep.cold.share.Admits(now)
}

// takeCold counts a request to an endpoint that may be cold. The caller holds mu.
func (e *Endpoints) takeCold(service *fleet.Service, ep *endpoint, now time.Time) {
	if e.isCold(service, ep, now) {
		metric.Counter("cold_endpoint_requests_total", "service", ep.spec.Service).Inc(1)
		ep.cold.share.Take(now)
	}
}

// rateShare is this instance's share of a rate of requests to an endpoint.
type rateShare interface {
	PerSecond() float64
	Wait(now time.Time) time.Duration
}

// blockingShare returns the share that keeps this instance from sending a request to an
// endpoint now, nil if none does, and how long that can last if the share is 0. The caller
// holds mu.
func (e *Endpoints) blockingShare(service *fleet.Service, ep *endpoint, now time.Time) (share rateShare, atMost time.Duration) {
	if !e.admitsByLimit(ep, now) {
		return &e.limitOf(ep).share, noShareDelay
	}
	if !e.admitsCold(service, ep, now) {
		return &ep.cold.share, min(noShareDelay, e.coldUntil(service, ep).Sub(now))
	}
	if !e.admitsRamp(ep, now) {
		return &e.activeRamp(ep).share, noShareDelay
	}
	return nil, 0
}

// Cold implements peers.ColdSource: it returns which endpoints are cold by what this instance
// has read itself. What others have reported is not passed on: the time that each report takes
// would prolong it, without end between two instances.
func (e *Endpoints) Cold() []peers.Cold {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.view.Snapshot(), e.now()
	if !s.LimitsCold() {
		return nil
	}
	var list []peers.Cold
	for _, ep := range e.byKey {
		if service := coldService(s, ep.spec.Service); service != nil {
			if left := entryColdUntil(service, ep.spec).Sub(now); left > 0 {
				list = append(list, peers.Cold{Target: ep.idHash, StartMillis: ep.spec.StartMillis, For: left})
			}
		}
	}
	return list
}

// RecordCold implements peers.ColdSource: it records which endpoints are cold by what another
// instance has read. An instance out of contact with the store learns of it in no other way.
func (e *Endpoints) RecordCold(list []peers.Cold) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for hash, r := range e.reportedCold {
		if !now.Before(r.until) {
			delete(e.reportedCold, hash)
		}
	}
	for _, c := range list {
		known, ok := e.reportedCold[c.Target]
		until := now.Add(c.For)
		switch {
		case ok && (c.StartMillis < known.startMillis || c.StartMillis == known.startMillis && !until.After(known.until)):
		case !ok && len(e.reportedCold) >= maxReportedCold:
		default:
			e.reportedCold[c.Target] = reportedCold{startMillis: c.StartMillis, until: until}
		}
	}
}

// maxReportedCold bounds the memory for reports of cold endpoints. It is above the number of
// endpoints of the largest deployment.
const maxReportedCold = 4096
