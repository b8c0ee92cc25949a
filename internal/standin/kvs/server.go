package kvs

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// Options configures the service.
type Options struct {
	WritesPerSecond float64       // limit of write calls, 0 for none
	ReadsPerSecond  float64       // limit of read calls, 0 for none
	MaxWait         time.Duration // a call that the rate limit would delay longer is refused; 0 for one second
	Delay           time.Duration // time added to every call
	Seed            uint64        // seed of the random choice of lost answers
}

// Fault describes the injected faults. It is the body of POST /fault, which
// replaces the current faults.
type Fault struct {
	Down            bool          `json:"down"`       // connections are closed without an answer
	Delay           time.Duration `json:"delay"`      // added to every call, in nanoseconds
	LostAnswerRate  float64       `json:"loseAnswer"` // fraction of writes whose answer is lost after they take effect
	LoseNextAnswers int           `json:"loseNext"`   // number of following writes whose answer is lost after they take effect
}

// Calls holds the numbers of calls that the service has carried out or refused.
// GET /calls returns it.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"` // over the rate limit
}

const defaultMaxWait = time.Second

// Server serves the HTTP API of the key-value service. It implements http.Handler
// and is safe for concurrent use.
type Server struct {
	store        *metastoretest.Store
	mux          *http.ServeMux
	options      Options
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu     sync.Mutex
	fault  Fault
	calls  Calls
	rng    *rand.Rand
	backup *metastoretest.Backup // taken by the latest POST /backup, nil before
}

// New returns a server with an empty store.
func New(o Options) *Server {
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	s := &Server{
		store:        metastoretest.NewStore(time.Now),
		mux:          http.NewServeMux(),
		options:      o,
		readLimiter:  newLimiter(o.ReadsPerSecond),
		writeLimiter: newLimiter(o.WritesPerSecond),
		rng:          rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.registerRoutes()
	return s
}

// newLimiter returns a limiter of perSecond calls with bursts of a tenth of a
// second's calls. A perSecond of 0 or less is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond/10))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

func (s *Server) registerRoutes() {
	read := func(h http.HandlerFunc) http.HandlerFunc { return s.withLimitsAndFaults(false, h) }
	write := func(h http.HandlerFunc) http.HandlerFunc { return s.withLimitsAndFaults(true, h) }
	s.mux.HandleFunc("POST /v3/kv/range", read(s.serveRange))
	s.mux.HandleFunc("POST /v3/kv/txn", write(s.serveTxn))
	s.mux.HandleFunc("POST /v3/kv/deleterange", write(s.serveDeleteRange))
	s.mux.HandleFunc("POST /v3/lease/grant", write(s.serveGrant))
	s.mux.HandleFunc("POST /v3/lease/keepalive", write(s.serveKeepAlive))
	s.mux.HandleFunc("POST /v3/lease/revoke", write(s.serveRevoke))
	s.mux.HandleFunc("POST /v3/watch", read(s.serveWatch))
	s.mux.HandleFunc("POST /fault", s.serveFault)
	s.mux.HandleFunc("POST /backup", s.serveBackup)
	s.mux.HandleFunc("POST /restore", s.serveRestore)
	s.mux.HandleFunc("GET /calls", s.serveCalls)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Store returns the store that holds the server's data.
func (s *Server) Store() *metastoretest.Store { return s.store }

// SetFault replaces the injected faults. Fault.Down also ends the watches.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	s.store.SetDown(f.Down) // ends the watches
}

// Calls returns the numbers of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// withLimitsAndFaults returns a handler that applies the rate limit for writes or
// reads and the injected faults before it calls h.
func (s *Server) withLimitsAndFaults(isWrite bool, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.dropIfDown()
		if !s.waitForRate(r, isWrite) {
			s.updateCalls(func(c *Calls) { c.Refused++ })
			writeError(w, http.StatusTooManyRequests, codeResourceExhausted, "too many requests")
			return
		}
		s.dropIfDown()
		loseAnswer := isWrite && s.shouldLoseAnswer()
		s.updateCalls(func(c *Calls) {
			if isWrite {
				c.Writes++
			} else {
				c.Reads++
			}
		})
		if loseAnswer {
			h(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// dropIfDown aborts the request without an answer while Fault.Down is set.
func (s *Server) dropIfDown() {
	s.mu.Lock()
	down := s.fault.Down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// waitForRate waits until the rate limit allows the call, plus the configured and
// injected delays. It reports false at once if the rate limit would delay the
// call for more than MaxWait.
func (s *Server) waitForRate(r *http.Request, isWrite bool) bool {
	limiter := s.readLimiter
	if isWrite {
		limiter = s.writeLimiter
	}
	reservation := limiter.Reserve()
	if reservation.Delay() > s.options.MaxWait {
		reservation.Cancel()
		return false
	}
	s.mu.Lock()
	delay := s.options.Delay + s.fault.Delay
	s.mu.Unlock()
	select {
	case <-time.After(reservation.Delay() + delay):
		return true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// shouldLoseAnswer reports whether the answer to the current write is to be lost.
// It counts down Fault.LoseNextAnswers.
func (s *Server) shouldLoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseNextAnswers > 0 {
		s.fault.LoseNextAnswers--
		return true
	}
	return s.rng.Float64() < s.fault.LostAnswerRate
}

func (s *Server) updateCalls(update func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.calls)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decodeBody(w, r, &f) {
		return
	}
	s.SetFault(f)
	writeJSON(w, struct{}{})
}

func (s *Server) serveBackup(w http.ResponseWriter, _ *http.Request) {
	backup := s.store.Backup()
	s.mu.Lock()
	s.backup = &backup
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Server) serveRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	backup := s.backup
	s.mu.Unlock()
	if backup == nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "no backup was taken")
		return
	}
	s.store.Restore(*backup)
	writeJSON(w, struct{}{})
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Calls())
}

// discardWriter is the http.ResponseWriter of an answer that is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// The gRPC status codes in error answers.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// decodeBody decodes the JSON body of r into dst. If it fails, it answers with an
// error and reports false.
func decodeBody(w http.ResponseWriter, r *http.Request, dst any) bool {
	const maxBodyBytes = 4 << 20
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(dst)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // an error means that the client has disconnected
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: message, Code: code, Message: message})
}

// writeStoreError answers with an error of the store.
func writeStoreError(w http.ResponseWriter, err error) {
	var refused *metastore.RefusedError
	if errors.As(err, &refused) && refused.Cause == metastore.CauseLeaseExpired {
		writeError(w, http.StatusNotFound, codeNotFound, "requested lease not found")
		return
	}
	writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
}
