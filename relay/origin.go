package relay

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/origin"
)

// Origins knows at which software versions streams began, at any instance. It is safe for
// concurrent use.
type Origins interface {
	// Begin records a stream that begins at this instance.
	Begin(origin.Record)
	// LookUp returns the version that began a stream, and whether it is known.
	LookUp(ctx context.Context, s origin.Stream) (origin.Version, bool)
	// Observe records the versions that a service's endpoints have at now.
	Observe(service string, versions []origin.Version, now time.Time)
	// Sole returns the version at which all resumable streams of a service have begun that
	// are in progress, and whether that is known of all instances up to the call. None of
	// them began before since.
	Sole(ctx context.Context, service string, since time.Time) (origin.Version, bool)
	// MayBegin returns those of the versions of a service's endpoints at which resumable
	// streams may begin.
	MayBegin(service string, listed []origin.Version) []origin.Version
}

// StreamLifetimes is the number of route timeouts for which a service must have had only one
// software version for streams of which nothing else is known to have begun at it: a caller
// takes a stream up within the time that it waits, which routes are made for.
const StreamLifetimes = 2

// softwareOf returns the identifier of an endpoint's software version, 0 if the endpoint has
// not named it.
func softwareOf(spec *fleet.Endpoint) origin.Version {
	if spec.SoftwareVersion == "" {
		return 0
	}
	return origin.NewVersion(spec.Service, spec.SoftwareVersion)
}

// streamID returns the identifier of the stream whose first event came with an attempt of
// the caller.
func (c *callerRequest) streamID(attempt string) origin.Stream {
	team := ""
	if c.team != nil {
		team = c.team.Name
	}
	return origin.NewStream(team, attempt)
}

// requireOrigin restricts a request that takes up a stream to the endpoints of the software
// version that began it, at the service that they belong to. It returns a refusal if the version
// is not known.
//
// Load pattern: the weights of a split change while streams are in progress, then an instance
// ends. The draw of the attempt that began a stream then names another service.
func (c *callerRequest) requireOrigin(ctx context.Context) *contract.Refusal {
	if c.route.Kind != fleet.KindStream || !c.call.Resumes() {
		return nil
	}
	version, known := c.lookUpOrigin(ctx)
	if !known {
		metric.Counter("streams_of_unknown_origin_total", "service", c.query.service).Inc(1)
		return contract.Unavailable(contract.ReasonUnknownOrigin, c.retryAfter(), "the software version that began the stream is not known")
	}
	if service, ok := c.server.endpoints.serviceOf(c.route, version); ok && service != c.query.service {
		metric.Counter("streams_kept_at_service_total", "service", service).Inc(1)
		c.useService(c.server.opts.View.Snapshot().Config, service)
	}
	c.query.software = version
	return nil
}

// serviceOf returns the service of a software version, which belongs to one service only, and
// whether the route leads there and the service has a listed endpoint of the version.
func (e *Endpoints) serviceOf(r *fleet.Route, version origin.Version) (string, bool) {
	s := e.view.Snapshot()
	for _, share := range r.Shares {
		if share.Weight > 0 && slices.ContainsFunc(s.ByService[share.Service], func(spec *fleet.Endpoint) bool { return softwareOf(spec) == version }) {
			return share.Service, true
		}
	}
	return "", false
}

// lookUpOrigin returns the software version that began the stream which the caller takes up,
// and whether it is known.
func (c *callerRequest) lookUpOrigin(ctx context.Context) (origin.Version, bool) {
	origins, attempt := c.server.opts.Origins, c.call.ResumedAttempt
	if attempt != "" {
		if version, known := origins.LookUp(ctx, c.streamID(attempt)); known {
			return version, true
		}
	}
	c.server.endpoints.ObserveSoftware()
	if !c.route.Resumable {
		return 0, false // such streams begin at versions that are not registered
	}
	version, known := origins.Sole(ctx, c.query.service, c.server.opts.Now().Add(-StreamLifetimes*c.route.Timeout))
	if known && attempt != "" {
		c.beginOrigin(attempt, version)
	}
	return version, known
}

// beginOrigin records the software version that began the stream whose first event came with
// an attempt of the caller.
func (c *callerRequest) beginOrigin(attempt string, version origin.Version) {
	waits := max(c.call.Budget, c.route.Timeout)
	c.server.opts.Origins.Begin(origin.Record{
		Stream: c.streamID(attempt), Version: version, Expires: c.server.opts.Now().Add(waits + originMargin),
	})
}

// recordOrigin records that the endpoint of p is about to begin the stream that the caller
// gets, if it is the first to do so. Further attempts must go on at its software version.
func (c *callerRequest) recordOrigin(p *pick) {
	if c.query.software != 0 || !c.route.Resumable {
		return
	}
	version := softwareOf(p.spec)
	if version == 0 {
		c.query.unresumable = true
		return
	}
	c.query.software = version
	c.beginOrigin(c.call.AttemptID, version)
}

// softwareRetryAfter is when a caller may return whose stream no endpoint can continue at
// present. An endpoint that has crashed is back after some seconds.
const softwareRetryAfter = time.Second

// refuseWithoutSoftware returns a refusal if no endpoint has the software version that must
// run the request.
func (c *callerRequest) refuseWithoutSoftware() *contract.Refusal {
	if !c.server.endpoints.lacksSoftware(c.query) {
		return nil
	}
	return contract.Unavailable(contract.ReasonNoEndpoint, softwareRetryAfter+c.retrySpread(), "no endpoint has the software version that began the stream")
}

// originMargin is added to the time for which a caller waits, because its clock began before.
const originMargin = time.Second

// logResumption logs that a stream of which the caller has got events is about to go on at
// the endpoint of p.
func (c *callerRequest) logResumption(p *pick) {
	after := c.sequence.last
	if after < 0 && !c.call.Resumes() {
		return
	}
	event.StreamResumed.Log(c.server.opts.Log, slog.String("request", c.call.AttemptID), slog.String("resumes", c.call.ResumedAttempt),
		slog.Int64("lastEvent", after), slog.String("endpoint", p.spec.ID), slog.String("software", p.spec.SoftwareVersion))
}

// lacksSoftware reports whether no listed endpoint of the service of q that is outside of
// evacuated data centres has the software version that must run it.
func (e *Endpoints) lacksSoftware(q *placementQuery) bool {
	if q.software == 0 {
		return false
	}
	return !slices.ContainsFunc(e.view.Snapshot().Serving[q.service], func(spec *fleet.Endpoint) bool { return softwareOf(spec) == q.software })
}

// observeSoftware records the software versions of the listed endpoints. The caller holds mu.
func (e *Endpoints) observeSoftware(s *fleet.Snapshot, now time.Time) {
	for service, list := range s.ByService {
		versions := make([]origin.Version, 0, len(list))
		for _, spec := range list {
			versions = append(versions, softwareOf(spec))
		}
		e.origins.Observe(service, versions, now)
	}
}

// ObserveSoftware records the software versions of the listed endpoints.
func (e *Endpoints) ObserveSoftware() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeSoftware(e.syncView(), e.now())
}
