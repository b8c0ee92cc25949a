package origin

import (
	"sync"
	"time"
)

// History knows which software versions the endpoints of each service have had, and for how
// long that is known. With it, the version of a stream of which there is no record follows if
// the service has had only one for longer than streams last. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*serviceHistory
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	since time.Time // from when on all versions are known
	seen  map[Version]time.Time
}

// NewHistory returns a History that knows nothing.
func NewHistory() *History { return &History{services: map[string]*serviceHistory{}} }

// Observe records the versions that a service's endpoints have at now, 0 for an endpoint that
// does not name its own.
func (h *History) Observe(service string, versions []Version, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service, now)
	for _, v := range versions {
		s.seen[v] = now
	}
}

// service returns the history of a service, which begins at now if it is new. The caller
// holds mu.
func (h *History) service(name string, now time.Time) *serviceHistory {
	s := h.services[name]
	if s == nil {
		s = &serviceHistory{since: now, seen: map[Version]time.Time{}}
		h.services[name] = s
	}
	return s
}

// Only returns the only version that the endpoints of a service have had from the given
// time on, and whether that is known.
func (h *History) Only(service string, from time.Time) (Version, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil || s.since.After(from) {
		return 0, false
	}
	var versions []Version
	for v, at := range s.seen {
		if !at.Before(from) {
			versions = append(versions, v)
		}
	}
	if len(versions) != 1 || versions[0] == 0 {
		return 0, false
	}
	return versions[0], true
}

// Service returns what is known about the versions of a service, and whether anything is.
func (h *History) Service(name string) (ServiceRecord, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return ServiceRecord{}, false
	}
	rec := ServiceRecord{Service: name, Since: s.since}
	for v, at := range s.seen {
		rec.Seen = append(rec.Seen, Seen{Version: v, At: at})
	}
	return rec, true
}

// SeenSince returns the versions that the endpoints of a service have had from the given time
// on, as far as they are known.
func (h *History) SeenSince(service string, from time.Time) []Version {
	rec, _ := h.Service(service)
	var versions []Version
	for _, seen := range rec.Seen {
		if !seen.At.Before(from) {
			versions = append(versions, seen.Version)
		}
	}
	return versions
}

// Seen is when the endpoints of a service were last seen to have a version.
type Seen struct {
	Version Version
	At      time.Time
}

// ServiceRecord is what an instance knows about the versions of a service.
type ServiceRecord struct {
	Service string
	Since   time.Time // from when on all versions are known
	Seen    []Seen
}

// forgetAfter is how long a version that is no longer seen is kept. It is above the time that
// any stream lasts.
const forgetAfter = 10 * time.Minute

// Records returns what is known.
func (h *History) Records(now time.Time) []ServiceRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []ServiceRecord
	for name, s := range h.services {
		rec := ServiceRecord{Service: name, Since: s.since}
		for v, at := range s.seen {
			if now.Sub(at) > forgetAfter {
				delete(s.seen, v)
				continue
			}
			rec.Seen = append(rec.Seen, Seen{Version: v, At: at})
		}
		list = append(list, rec)
	}
	return list
}

// Merge records what another instance knows, so that an instance that has just started knows
// what was before. The records must reach up to the time at which this instance began to
// observe.
func (h *History) Merge(records []ServiceRecord, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rec := range records {
		s := h.service(rec.Service, now)
		if rec.Since.Before(s.since) {
			s.since = rec.Since
		}
		for _, seen := range rec.Seen {
			if seen.At.After(s.seen[seen.Version]) {
				s.seen[seen.Version] = seen.At
			}
		}
	}
}
