package enginestandin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"redwingknot/engine"
)

// BlockMover copies blocks between the engine's cache and a store, at no more
// than rate bytes a second; 0 is no limit.
type BlockMover interface {
	// Put writes content to the store at storeURL as the block ref.
	Put(ctx context.Context, storeURL string, ref engine.BlockRef, content []byte, rate int64) error
	// Get returns the content of the block ref in the store at storeURL.
	Get(ctx context.Context, storeURL string, ref engine.BlockRef, rate int64) ([]byte, error)
}

// Options configures a fake engine.
type Options struct {
	Model, Version string
	Slots          int           // number of requests that run concurrently
	PrefillRate    int           // prompt tokens prefilled per second; prompts are prefilled one at a time
	TokenInterval  time.Duration // time to generate one token
	AnswerTokens   int           // number of tokens of every answer
	PieceTokens    int           // number of tokens of a piece, the part of a prompt that one cache block holds
	CachePieces    int           // capacity of the cache in blocks, one for each piece
	BlockBytes     int           // size of an exported block in bytes
	LoadTime       time.Duration // time to load weights
	ChecksFencing  bool          // refuse an order with a lower fencing token than the latest order
	IgnoresDemands bool          // run requests whose demanded weights are not those loaded
	ReportLag      time.Duration // minimum age of the report served
	Mover          BlockMover    // exports and imports blocks
	Crash          func()        // called for a prompt that contains CrashWord; nil to serve it normally
}

// CrashWord is the text in a prompt that makes the engine call Options.Crash.
const CrashWord = "CRASH-THE-ENGINE"

// Server is a fake engine. It implements http.Handler.
type Server struct {
	options Options
	epoch   string // changes with every start
	router  *mux.Router
	slots   chan struct{} // holds an element per request that occupies a slot
	// prefillSlot holds an element while a prompt is prefilled, so that prompts
	// are prefilled one at a time.
	prefillSlot chan struct{}

	mu              sync.Mutex
	model, version  string
	loadingVersion  string // version being loaded, empty for none
	loadingModel    string // model of loadingVersion
	adapters        []string
	role            string
	fencingToken    int64 // of the latest order accepted
	running         int   // requests whose answer is being generated
	waiting         int   // requests that wait for a slot or whose prompt is being prefilled
	queuedTokens    int   // prompt tokens of the waiting requests
	leaving         bool
	cache           *cache
	cancelByAttempt map[string]context.CancelFunc
	reportHistory   []engine.Report // the report that serveReport serves under ReportLag, and all newer ones
	attempts        []string        // identifiers of the admitted attempts, in order
	runs            map[string]run  // running answers by attempt
	foreignReads    int             // blocks of other weights that requests have used
}

// New returns a fake engine that has o.Version loaded.
func New(o Options) *Server {
	s := &Server{
		options: o, epoch: uuid.NewString(), model: o.Model, version: o.Version,
		slots: make(chan struct{}, max(o.Slots, 1)), prefillSlot: make(chan struct{}, 1),
		cache: newCache(o.CachePieces), cancelByAttempt: map[string]context.CancelFunc{}, runs: map[string]run{},
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

func (s *Server) currentReport() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Report{
		Epoch: s.epoch, Model: s.model, Version: s.version, Loading: s.loadingVersion, Adapters: s.adapters,
		Role: s.role, Fence: s.fencingToken, Running: s.running, Waiting: s.waiting, QueuedTokens: s.queuedTokens,
		Leaving: s.leaving, At: time.Now(),
	}
}

// serveReport answers with the newest report that is at least ReportLag old, or
// with the oldest report if none is old enough.
func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	report := s.currentReport()
	if s.options.ReportLag > 0 {
		report = s.delayedReport(report)
	}
	writeJSON(w, http.StatusOK, report)
}

// delayedReport adds current to the report history and returns the report to serve
// under ReportLag.
func (s *Server) delayedReport(current engine.Report) engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportHistory = append(s.reportHistory, current)
	for len(s.reportHistory) > 1 && time.Since(s.reportHistory[1].At) >= s.options.ReportLag {
		s.reportHistory = s.reportHistory[1:]
	}
	return s.reportHistory[0]
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFencing && order.Fence < s.fencingToken {
		writeJSON(w, http.StatusConflict, engine.FencedError{Fence: s.fencingToken})
		return
	}
	s.fencingToken = order.Fence
	s.role = order.Role
	s.adapters = order.Adapters
	s.startLoading(cmp.Or(order.Model, s.model), order.Version)
	w.WriteHeader(http.StatusNoContent)
}

// startLoading starts to load a weight version of a model, which takes LoadTime. Requests
// that are running go on, and the blocks that they have stay in the cache. The caller must
// hold s.mu.
func (s *Server) startLoading(model, version string) {
	isLoaded := model == s.model && version == s.version
	isLoading := model == s.loadingModel && version == s.loadingVersion
	if version == "" || isLoaded || isLoading {
		return
	}
	s.loadingModel, s.loadingVersion = model, version
	time.AfterFunc(s.options.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.loadingModel == model && s.loadingVersion == version {
			s.model, s.version = model, version
			s.loadingModel, s.loadingVersion = "", ""
		}
	})
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cancel := s.cancelByAttempt[r.URL.Query().Get("attempt")]
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
	writeJSON(w, http.StatusOK, s.attempts)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
