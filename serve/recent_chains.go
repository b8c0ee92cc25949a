package serve

import "time"

const (
	// chainTTL is the shortest time for which a prompt's blocks are assumed to
	// stay in an engine's cache after the prompt was run there. The longest time
	// is twice that.
	chainTTL = time.Minute
	// eventsTTL is the time for which an engine's cache events are considered
	// up to date after they were read.
	eventsTTL = 5 * time.Second
)

// endpointChain identifies the block chain of a prompt at an endpoint.
type endpointChain struct {
	firstKey string // key of the first block of the chain
	endpoint string
}

// recentChains is the set of chains that were run at an endpoint recently: within
// chainTTL or, at most, twice that. It consists of two generations, the older of
// which expires as a whole, so that no time is stored per chain. It is not safe
// for concurrent use; Service.mu guards it.
type recentChains struct {
	current, previous map[endpointChain]struct{}
	rotatedAt         time.Time // when current was started
}

func (r *recentChains) add(chain endpointChain, now time.Time) {
	r.rotate(now)
	r.current[chain] = struct{}{}
}

func (r *recentChains) has(chain endpointChain, now time.Time) bool {
	r.rotate(now)
	_, inCurrent := r.current[chain]
	_, inPrevious := r.previous[chain]
	return inCurrent || inPrevious
}

// rotate starts a new generation if the current one is at least chainTTL old.
func (r *recentChains) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if r.current != nil && age < chainTTL {
		return
	}
	r.previous = r.current
	if age >= 2*chainTTL {
		r.previous = nil
	}
	r.current = map[endpointChain]struct{}{}
	r.rotatedAt = now
}

// RecordEventsRead records that all cache events of an engine up to now have been read.
func (s *Service) RecordEventsRead(endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsReadAt[endpoint] = now
}

// recordRun records that the prompt with these block keys was run at an endpoint,
// which therefore has its blocks in the cache.
func (s *Service) recordRun(keys []string, endpoint string, now time.Time) {
	if len(keys) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chains.add(endpointChain{keys[0], endpoint}, now)
}

// cacheUncertain reports whether the endpoint may have evicted blocks of a prompt
// that the router takes for cached. This is so if the prompt was not run there
// recently and the engine's cache events, which would report an eviction, are not
// up to date. keys must not be empty.
func (s *Service) cacheUncertain(keys []string, endpoint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.eventsReadAt[endpoint]) < eventsTTL {
		return false
	}
	return !s.chains.has(endpointChain{keys[0], endpoint}, now)
}
