package fleetworker

import (
	"encoding/json"
	"net/http"
	"time"
)

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	orders := 0
	for _, o := range s.orders {
		if time.Since(o.At) >= s.o.ReportLag {
			orders++
		}
	}
	body := map[string]any{
		"stage": "prefill_decode", "sequence": orders, "busy": time.Now().Before(s.loadingTo),
		"models":  []any{map[string]any{"name": s.o.Model, "version": s.weights, "adapters": []any{}}},
		"running": len(s.slots), "waiting": max(len(s.queue)-len(s.slots), 0), "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone can't be told.
	_ = json.NewEncoder(w).Encode(body)
}

// order loads weights. Running requests go on under the new version.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.misdirected(w, r) {
		return
	}
	w.WriteHeader(s.accept(o))
}

// accept takes an order and returns the status of its answer.
func (s *Server) accept(o Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.At = time.Now()
	switch {
	case o.Expected != nil && *o.Expected != int64(len(s.orders)), o.At.Before(s.loadingTo):
		return http.StatusConflict
	case o.Model != s.o.Model:
		return http.StatusBadRequest
	case o.Version == s.weights:
		return http.StatusOK
	}
	s.orders = append(s.orders, o)
	s.loadingTo = o.At.Add(s.o.LoadTime)
	time.AfterFunc(s.o.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.weights = o.Version
	})
	return http.StatusAccepted
}
