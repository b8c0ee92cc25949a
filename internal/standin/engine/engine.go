package enginestandin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"redwingknot/engine"
)

// BlockMover copies blocks between the engine's cache and a store.
type BlockMover interface {
	Put(ctx context.Context, storeURL string, ref engine.BlockRef, content []byte, rate int64) error
	Get(ctx context.Context, storeURL string, ref engine.BlockRef, rate int64) ([]byte, error)
}

// Options are the properties of a stand-in engine.
type Options struct {
	Model, Version string
	Slots          int           // answers generated at once
	PrefillRate    int           // prompt tokens a second of an engine that runs one prompt
	TokenInterval  time.Duration // time between generated tokens
	AnswerTokens   int           // length of every answer
	PieceTokens    int           // prompt tokens in a cache piece
	CachePieces    int           // pieces that the cache holds
	BlockBytes     int           // size of an exported block
	LoadTime       time.Duration // time to load weights
	ChecksFencing  bool
	ReportLag      time.Duration
	Mover          BlockMover
	Crash          func() // called by a prompt that contains CrashWord
}

// CrashWord in a prompt crashes the engine that runs it.
const CrashWord = "CRASH-THE-ENGINE"

// Server is a stand-in engine; it implements http.Handler.
type Server struct {
	o      Options
	epoch  string
	router *mux.Router
	slots  chan struct{}
	// prefill is held by the one prompt being processed.
	prefill chan struct{}

	mu       sync.Mutex
	version  string
	loading  string
	adapters []string
	role     string
	fence    int64
	running  int
	waiting  int
	queued   int
	leaving  bool
	cache    *cache
	cancels  map[string]context.CancelFunc
	reports  []engine.Report
	runs     []string
}

// New returns a stand-in engine that has Options.Version loaded.
func New(o Options) *Server {
	s := &Server{
		o: o, epoch: uuid.NewString(), version: o.Version,
		slots: make(chan struct{}, max(o.Slots, 1)), prefill: make(chan struct{}, 1),
		cache: newCache(o.CachePieces), cancels: map[string]context.CancelFunc{},
	}
	s.router = mux.NewRouter()
	s.router.HandleFunc("/report", s.serveReport).Methods(http.MethodGet)
	s.router.HandleFunc("/events", s.serveEvents).Methods(http.MethodGet)
	s.router.HandleFunc("/order", s.serveOrder).Methods(http.MethodPost)
	s.router.HandleFunc("/cancel", s.serveCancel).Methods(http.MethodPost)
	s.router.HandleFunc("/export", s.serveExport).Methods(http.MethodPost)
	s.router.HandleFunc("/import", s.serveImport).Methods(http.MethodPost)
	s.router.HandleFunc("/leave", s.serveLeave).Methods(http.MethodPost)
	s.router.HandleFunc("/evict", s.serveEvict).Methods(http.MethodPost)
	s.router.HandleFunc("/runs", s.serveRuns).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/chat/completions", s.serveGenerate).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Report{
		Epoch: s.epoch, Model: s.o.Model, Version: s.version, Loading: s.loading, Adapters: s.adapters,
		Role: s.role, Fence: s.fence, Running: s.running, Waiting: s.waiting, QueuedTokens: s.queued,
		Leaving: s.leaving, At: time.Now(),
	}
}

// serveReport answers with the newest report that is at least ReportLag old.
func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	now := s.report()
	if s.o.ReportLag > 0 {
		now = s.lagged(now)
	}
	writeJSON(w, http.StatusOK, now)
}

func (s *Server) lagged(now engine.Report) engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, now)
	for len(s.reports) > 1 && time.Since(s.reports[1].At) >= s.o.ReportLag {
		s.reports = s.reports[1:]
	}
	return s.reports[0]
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.ChecksFencing && o.Fence < s.fence {
		writeJSON(w, http.StatusConflict, engine.FencedError{Fence: s.fence})
		return
	}
	s.fence = o.Fence
	s.role = o.Role
	s.adapters = o.Adapters
	s.load(o.Version)
	w.WriteHeader(http.StatusNoContent)
}

// load starts loading version; requires mu. Running answers keep their version.
func (s *Server) load(version string) {
	if version == "" || version == s.version || version == s.loading {
		return
	}
	s.loading = version
	time.AfterFunc(s.o.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.loading == version {
			s.version, s.loading = version, ""
		}
	})
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cancel := s.cancels[r.URL.Query().Get("attempt")]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.runs)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
