package fleet

import "time"

// LimitsCold reports whether the configuration has services whose cold endpoints bear only a
// limited rate of requests.
func (s *Snapshot) LimitsCold() bool {
	if s.Config == nil {
		return false
	}
	for _, service := range s.Config.Services {
		if service.ColdPerSecond > 0 {
			return true
		}
	}
	return false
}

// maxListed bounds the memory for incarnations that have been listed.
const maxListed = 16384

// MarkEndpointsRead records that all entries of endpoints were read. Incarnations that are
// listed from now on have started during traffic, as far as this process knows.
func (v *View) MarkEndpointsRead() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpointsRead = true
}

// withListedAt returns an endpoint that was read at its ListedAt with the time at which its
// incarnation was first listed, zero if that was at the start of this process. An incarnation
// whose entry vanishes and comes back is not a new one. The caller holds mu.
func (v *View) withListedAt(e *Endpoint) *Endpoint {
	listedAt, known := v.listedAt[e.Key()]
	if !known {
		listedAt = time.Time{}
		if v.endpointsRead {
			listedAt = e.ListedAt
		}
		if len(v.listedAt) >= maxListed {
			v.forgetUnlisted()
		}
		v.listedAt[e.Key()] = listedAt
	}
	if e.ListedAt.Equal(listedAt) {
		return e
	}
	changed := *e
	changed.ListedAt = listedAt
	return &changed
}

// forgetUnlisted forgets the incarnations that are not listed at present. The caller holds mu.
func (v *View) forgetUnlisted() {
	listed := v.current.Load().Endpoints
	for key := range v.listedAt {
		if e := listed[key.ID]; e == nil || e.Key() != key {
			delete(v.listedAt, key)
		}
	}
}
