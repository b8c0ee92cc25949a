package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Registered holds an instance's copy of the sets that are registered, by service. It is
// safe for concurrent use.
//
// Invariant: the position of a service never goes back while its set is known.
type Registered struct {
	mu       sync.Mutex
	services map[string]*registeredSet
}

// registeredSet is the copy of one service's set.
type registeredSet struct {
	set      Set
	position int64                 // at which the store wrote it, 0 if it holds none
	since    map[Version]time.Time // since when the versions are known to be in the set, or to be retired
	// lackingSince is since when no listed endpoint has had a registered version, zero if
	// one has.
	lackingSince time.Time
}

// NewRegistered returns a Registered that knows no sets.
func NewRegistered() *Registered { return &Registered{services: map[string]*registeredSet{}} }

// service returns the copy of a service's set, which it creates if necessary. The caller
// holds mu.
func (r *Registered) service(name string) *registeredSet {
	s := r.services[name]
	if s == nil {
		s = &registeredSet{}
		r.services[name] = s
	}
	return s
}

// Put records a set that the store has written at a position, unless a later one is known.
func (r *Registered) Put(service string, set Set, position int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if position <= s.position {
		return
	}
	since := map[Version]time.Time{}
	for _, v := range set.All() {
		since[v] = now
		if slices.Contains(s.set.All(), v) && slices.Contains(s.set.Retired, v) == slices.Contains(set.Retired, v) {
			since[v] = s.since[v]
		}
	}
	s.set, s.position, s.since = set, position, since
}

// Since returns since when the versions of a service are known to be registered, or retired.
func (r *Registered) Since(service string) map[Version]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.service(service).since)
}

// PutInvalid records that the store holds a value at a position that is no set. The versions
// that were registered stay so, but they may not be all.
func (r *Registered) PutInvalid(service string, position int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.service(service); position > s.position {
		s.set.Complete, s.position = false, position
	}
}

// Remove records that the store holds no set of a service.
func (r *Registered) Remove(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.set, s.position, s.since = Set{}, 0, nil
}

// Set returns the set that is registered for a service, and the position at which the store
// wrote it, 0 if there is none.
func (r *Registered) Set(service string) (Set, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	return s.set, s.position
}

// unregisteredGrace is how long resumable streams wait for one of the listed versions to be
// registered if none is. It is longer than the leader, or in its absence another instance,
// takes to write the set and the store to report it, and below the time for which requests
// wait for an endpoint.
const unregisteredGrace = 600 * time.Millisecond

// MayBegin returns those of the listed versions at which resumable streams may begin: the
// registered ones. If none is, streams may begin at all of them after unregisteredGrace,
// which unregistered reports.
//
// Load pattern: the first endpoint of a release gets a stream before any other instance
// knows of its version. If all instances end then, nobody knows that the stream is not of
// the other version.
func (r *Registered) MayBegin(service string, listed []Version, now time.Time) (allowed []Version, unregistered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	for _, v := range listed {
		if slices.Contains(s.set.Versions, v) {
			allowed = append(allowed, v)
		}
	}
	switch {
	case len(allowed) > 0 || len(listed) == 0:
		s.lackingSince = time.Time{}
		return allowed, false
	case s.lackingSince.IsZero():
		s.lackingSince = now
		return nil, false
	case now.Sub(s.lackingSince) < unregisteredGrace:
		return nil, false
	}
	return listed, true
}

// Lacking reports whether a service has endpoints, none of which has a registered version.
func (r *Registered) Lacking() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		if !s.lackingSince.IsZero() {
			return true
		}
	}
	return false
}

// Ambiguous returns the versions whose streams can't be told apart without a record: those
// of the services that have two or more, or whose sets are not complete.
//
// Load pattern: all instances end a second time before they know that a service has had only
// one version for longer than streams last.
func (r *Registered) Ambiguous() map[Version]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := map[Version]bool{}
	for _, s := range r.services {
		all := s.set.All()
		if len(all) < 2 && s.set.Complete {
			continue
		}
		for _, v := range all {
			versions[v] = true
		}
	}
	return versions
}
