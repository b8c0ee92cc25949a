package fleetworker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"redwingknot/internal/timer"
)

// Options describe an endpoint. An empty Model makes it an application.
type Options struct {
	ID             string
	Service        string
	Slots          int
	MaxQueued      int // requests that wait beyond the slots
	Model          string
	WeightsVersion int64

	WorkTime     time.Duration // of an application's answer, and to an engine's first event
	EventGap     time.Duration // between the events of a stream
	StreamEvents int           // of a stream
	LoadTime     time.Duration // of weights
	ReportLag    time.Duration // age of reports
}

// Run is a request that the endpoint began to work on.
type Run struct {
	Attempt        string
	Method         string
	Path           string
	Team           string
	Authenticated  bool // a caller's credentials were passed on
	LastEvent      int  // last event that the caller has, -1 for none
	WeightsVersion int64
	StartedAt      time.Time
}

// Order is an order that the endpoint accepted.
type Order struct {
	Version  int64  `json:"version"`
	Model    string `json:"model"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fencing_token"`
	Expected *int64 `json:"expected"`
	At       time.Time
}

// Server is an endpoint. It implements http.Handler and is safe for concurrent
// use.
type Server struct {
	o     Options
	mux   *http.ServeMux
	slots chan struct{}
	queue chan struct{}

	mu        sync.Mutex
	born      time.Time
	weights   int64
	loadingTo time.Time
	slow      int
	leaving   bool
	runs      []Run
	orders    []Order // since the start
}

// New returns an endpoint that has just started.
func New(o Options) *Server {
	s := &Server{
		o: o, mux: http.NewServeMux(), weights: o.WeightsVersion, born: time.Now(), slow: 1,
		slots: make(chan struct{}, o.Slots), queue: make(chan struct{}, o.Slots+o.MaxQueued),
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /redwingknot/report", s.report)
	s.mux.HandleFunc("POST /redwingknot/order", s.order)
	s.mux.HandleFunc("/", s.run)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns what the endpoint began to work on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns the orders accepted since the last start.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// WeightsVersion returns the version in force.
func (s *Server) WeightsVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights
}

// SetSlowFactor multiplies the times that work takes.
func (s *Server) SetSlowFactor(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// SetLeaving makes the endpoint report that it leaves.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Entry returns the endpoint's entry in the metadata store.
func (s *Server) Entry(address, zone string, heartbeat int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.o.Service, "address": address, "zone": zone, "version": "v1", "slots": s.o.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": heartbeat, "born": s.born.UnixMilli(),
	}
	if s.o.Model != "" {
		entry["models"] = []any{map[string]any{"name": s.o.Model, "version": s.weights}}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // a map of plain values
	}
	return data
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.o.ID)
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pause waits for a part of the work; false if the caller is gone.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	s.mu.Lock()
	d *= time.Duration(s.slow)
	s.mu.Unlock()
	return timer.Sleep(r.Context(), d)
}
