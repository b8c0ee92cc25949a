package serve

import "time"

const (
	// chainTTL is the least time for which a dispatch proves that a prompt's
	// blocks are in an engine's cache; twice that is the most.
	chainTTL = time.Minute
	// eventsTTL is the age up to which an engine's cache events count as current.
	eventsTTL = 5 * time.Second
)

// chainAt is a prompt's chain of blocks at an endpoint.
type chainAt struct {
	first    string // key of the chain's first block
	endpoint string
}

// recentChains remembers which chains were run where within chainTTL. It holds
// two generations, so that forgetting needs no times of its own. The owner's
// mutex guards it.
type recentChains struct {
	current, previous map[chainAt]struct{}
	rotated           time.Time
}

func (r *recentChains) add(c chainAt, now time.Time) {
	r.rotate(now)
	r.current[c] = struct{}{}
}

func (r *recentChains) has(c chainAt, now time.Time) bool {
	r.rotate(now)
	_, inCurrent := r.current[c]
	_, inPrevious := r.previous[c]
	return inCurrent || inPrevious
}

func (r *recentChains) rotate(now time.Time) {
	age := now.Sub(r.rotated)
	if r.current != nil && age < chainTTL {
		return
	}
	r.previous = r.current
	if age >= 2*chainTTL {
		r.previous = nil
	}
	r.current = map[chainAt]struct{}{}
	r.rotated = now
}

// RecordEventsRead records that an engine's cache events were read up to now.
func (s *Service) RecordEventsRead(endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsAt[endpoint] = now
}

// ran records that a prompt was run at an endpoint, which then holds its blocks.
func (s *Service) ran(keys []string, endpoint string, now time.Time) {
	if len(keys) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chains.add(chainAt{keys[0], endpoint}, now)
}

// doubtsCache reports whether the blocks of a prompt that the router takes for
// cached may have been evicted meanwhile: nothing was run there lately, and the
// engine's events, which would tell, are behind.
func (s *Service) doubtsCache(keys []string, endpoint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.eventsAt[endpoint]) < eventsTTL {
		return false
	}
	return !s.chains.has(chainAt{keys[0], endpoint}, now)
}
