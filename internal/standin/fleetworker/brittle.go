package fleetworker

import (
	"net/http"
	"strconv"
	"time"
)

// brittleNoticeTime is the time from the first response that says that the endpoint is
// brittle until fewer requests may wait there.
const brittleNoticeTime = 3 * time.Second

// SetBrittle sets how many requests the endpoint may turn away in a second for want of room
// before it falls over, and says so in all responses. 0 ends that.
func (s *Server) SetBrittle(refusals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle, s.brittleSince, s.turnedAway = refusals, time.Now(), nil
}

// announceBrittle sets the header that says whether the endpoint is brittle. The caller
// holds mu.
func (s *Server) announceBrittle(w http.ResponseWriter) {
	if s.brittle > 0 {
		w.Header().Set(headerBrittle, strconv.Itoa(s.brittle))
	}
}

// hasRoom reports whether another request may wait for a slot.
func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brittle == 0 || time.Since(s.brittleSince) < brittleNoticeTime || len(s.admitted) < s.options.Slots+s.options.MaxQueued/4
}

// recordTurnedAway records that a request was refused for want of room. A brittle endpoint
// falls over if there were too many of them in a second.
func (s *Server) recordTurnedAway() {
	s.mu.Lock()
	now := time.Now()
	kept := s.turnedAway[:0]
	for _, at := range s.turnedAway {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	s.turnedAway = append(kept, now)
	falls := s.brittle > 0 && time.Since(s.brittleSince) >= brittleNoticeTime && len(s.turnedAway) > s.brittle
	s.mu.Unlock()
	if falls && s.options.FallOver != nil {
		s.options.FallOver()
		panic(http.ErrAbortHandler)
	}
}
