package fleetworker

import (
	"encoding/json"
	"net/http"
	"time"
)

// serveReport answers with the load report. Its sequence counts only the orders
// that are at least ReportLag old.
func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	visibleOrders := 0
	for _, o := range s.orders {
		if time.Since(o.At) >= s.options.ReportLag {
			visibleOrders++
		}
	}
	runs := [][]any{}
	for _, run := range s.live {
		runs = append(runs, []any{run.Attempt, 0, run.Events, 0})
	}
	body := map[string]any{
		"runs":  runs,
		"stage": "prefill_decode", "sequence": visibleOrders, "busy": isClosed(s.ordered),
		"models":  []any{map[string]any{"name": s.options.Model, "version": s.weightsVersion, "adapters": []any{}}},
		"running": len(s.slots), "waiting": max(len(s.admitted)-len(s.slots), 0), "born": s.startTime.UnixMilli(),
		"kv_used": s.parts.tokens, "kv_total": s.parts.capacity, "clock_ms": clockMillis(),
	}
	s.mu.Unlock()
	writeJSON(w, body)
}

// serveOrder handles an order to load weights.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.refuseIfMisdirected(w, r) {
		return
	}
	o.At = time.Now()
	if s.failOrder(o) {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(s.acceptOrder(o))
}

// OrderFault is a way in which an order gets no answer.
type OrderFault string

// The faults of orders.
const (
	OrderLate OrderFault = "orders-late" // it is carried out lateOrderTime later
	OrderLost OrderFault = "orders-lost" // it is not carried out
)

// lateOrderTime is how late an order is carried out that is late.
const lateOrderTime = 2500 * time.Millisecond

// SetOrderFault begins a fault of all orders, or ends one that began.
func (s *Server) SetOrderFault(f OrderFault, begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begins {
		s.orderFaults[f]++
	} else {
		s.orderFaults[f]--
	}
}

// failOrder reports whether an order gets no answer. It may be carried out later.
func (s *Server) failOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orderFaults[OrderLost] > 0 {
		return true
	}
	if s.orderFaults[OrderLate] == 0 {
		return false
	}
	time.AfterFunc(lateOrderTime, func() { s.acceptOrder(o) })
	return true
}

// The modes of orders, which say what becomes of the requests that run.
const (
	modeWait = "wait" // they end before the load begins
	modeCut  = "cut"  // their streams are reset
	modeKeep = "keep" // they go on, under the new version once it is loaded
)

// acceptOrder accepts or refuses an order and returns the HTTP status of the
// answer. It answers 409 Conflict while an order is in progress and if the number of orders
// accepted isn't the expected one.
func (s *Server) acceptOrder(o Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != int64(len(s.orders)), isClosed(s.ordered):
		return http.StatusConflict
	case o.Model != s.options.Model, o.Mode != modeWait && o.Mode != modeCut && o.Mode != modeKeep:
		return http.StatusBadRequest
	case o.Version == s.weightsVersion:
		return http.StatusOK
	}
	s.orders = append(s.orders, o)
	close(s.ordered)
	switch o.Mode {
	case modeWait:
		s.waiting = &o
		s.loadIfRunsEnded()
	case modeCut:
		for _, run := range s.live {
			run.cut = true
			run.cancel()
		}
		s.load(o)
	default:
		s.load(o)
	}
	return http.StatusAccepted
}

// loadIfRunsEnded begins the load of an order that waits for the runs if none is left. The caller
// holds mu.
func (s *Server) loadIfRunsEnded() {
	if o := s.waiting; o != nil && len(s.slots) == 0 {
		s.waiting = nil
		s.load(*o)
	}
}

// load loads the weights of an order, which takes LoadTime, and discards the cached parts. The
// caller holds mu.
func (s *Server) load(o Order) {
	time.AfterFunc(s.options.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.weightsVersion = o.Version
		s.parts.clear()
		s.ordered = make(chan struct{})
	})
}

// isCut reports whether an order has ended a run.
func (s *Server) isCut(run *liveRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return run.cut
}
