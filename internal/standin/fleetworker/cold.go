package fleetworker

import (
	"net/http"
	"time"
)

// SetCold makes the endpoint cold for d from now on. Its entry and its health responses say
// so; it must not get more than MostWhileCold requests in a second.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// coldLeft returns how much longer the endpoint stays cold. The caller holds mu.
func (s *Server) coldLeft() time.Duration { return max(time.Until(s.coldUntil), 0) }

// ArrivalsWhileCold returns the largest number of requests that have arrived within a second
// while the endpoint was cold, from a time on, and the number of all of them. Those that it
// refused as addressed to another endpoint do not count.
func (s *Server) ArrivalsWhileCold(from time.Time) (most, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivalsWhileCold(from)
}

// arrivalsWhileCold is ArrivalsWhileCold for callers that hold mu.
func (s *Server) arrivalsWhileCold(from time.Time) (most, all int) {
	var window []time.Time
	for _, a := range s.arrivals {
		if !a.Cold || a.At.Before(from) {
			continue
		}
		all++
		window = append(window, a.At)
		for a.At.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most, all
}

// fallOverIfCold ends the process if it has got too many requests while cold.
func (s *Server) fallOverIfCold() {
	s.mu.Lock()
	most, _ := s.arrivalsWhileCold(time.Now().Add(-2 * time.Second))
	falls := s.options.MostWhileCold > 0 && s.coldLeft() > 0 && most > s.options.MostWhileCold
	s.mu.Unlock()
	if falls && s.options.FallOver != nil {
		s.options.FallOver()
		panic(http.ErrAbortHandler)
	}
}
