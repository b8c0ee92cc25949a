package relay

import (
	"slices"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/origin"
)

// beginsStream reports whether a request may begin a stream that callers may take up.
func (c *callerRequest) beginsStream() bool {
	return c.route.Kind == fleet.KindStream && c.route.Resumable && !c.call.Resumes()
}

// software returns the identifier of the endpoint's software version.
func (e *endpoint) software() origin.Version {
	if e.softwareName != e.spec.SoftwareVersion {
		e.softwareName, e.softwareID = e.spec.SoftwareVersion, softwareOf(e.spec)
	}
	return e.softwareID
}

// syncRegistered marks the endpoints at which no resumable stream may begin, because their
// software version is not registered. The caller holds mu.
func (e *Endpoints) syncRegistered() {
	listed, allowed, unregistered := map[string][]origin.Version{}, map[string][]origin.Version{}, map[string]int64{}
	for _, ep := range e.byKey {
		if v := ep.software(); !slices.Contains(listed[ep.spec.Service], v) {
			listed[ep.spec.Service] = append(listed[ep.spec.Service], v)
		}
	}
	e.forgetNumbering(listed)
	for service, versions := range listed {
		allowed[service] = e.origins.MayBegin(service, versions)
	}
	for _, ep := range e.byKey {
		if ep.unregistered = !slices.Contains(allowed[ep.spec.Service], ep.software()); ep.unregistered {
			unregistered[ep.spec.Service]++
		}
	}
	for service := range listed {
		metric.Gauge("endpoints_unregistered", "service", service).Update(unregistered[service])
	}
}

// SyncRegistered takes over which software versions are registered, and wakes the requests
// that wait for an endpoint.
func (e *Endpoints) SyncRegistered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncView()
	e.syncRegistered()
	close(e.changed)
	e.changed = make(chan struct{})
}
