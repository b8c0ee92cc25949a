package relay

import "sync"

// attemptSet counts the requests in progress by the identifiers that their callers gave them.
// Engines know a run by that identifier alone, so that a run whose identifier another one has
// too can't be named. The zero value is an empty set. It is safe for concurrent use.
type attemptSet struct {
	mu    sync.Mutex
	count map[string]int
}

// add adds a request and returns a function that removes it.
func (s *attemptSet) add(id string) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == nil {
		s.count = map[string]int{}
	}
	s.count[id]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.count[id]--; s.count[id] == 0 {
			delete(s.count, id)
		}
	}
}

// isUnique reports whether at most one request has the identifier.
func (s *attemptSet) isUnique(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id] <= 1
}
