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

// Options hold the service to its rates.
type Options struct {
	WritesPerSecond float64       // 0 is no limit
	ReadsPerSecond  float64       // 0 is no limit
	MaxWait         time.Duration // a call that would wait longer for its turn is refused
	Delay           time.Duration // of every call
	Seed            uint64        // of the draws of lost answers
}

// Fault is the body of POST /fault, which replaces the faults in force.
type Fault struct {
	Down            bool          `json:"down"`       // connections are closed without an answer
	Delay           time.Duration `json:"delay"`      // added to every call, in nanoseconds
	LostAnswerRate  float64       `json:"loseAnswer"` // share of writes whose answer is lost after the effect
	LoseNextAnswers int           `json:"loseNext"`   // number of next writes whose answer is lost after the effect
}

// Calls counts what the service has carried out; GET /calls returns it.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

const defaultMaxWait = time.Second

// Server implements http.Handler.
type Server struct {
	store  *metastoretest.Store
	mux    *http.ServeMux
	o      Options
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	fault  Fault
	calls  Calls
	random *rand.Rand
	backup *metastoretest.Backup
}

// New returns a server over an empty store.
func New(o Options) *Server {
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	s := &Server{
		store:  metastoretest.NewStore(time.Now),
		mux:    http.NewServeMux(),
		o:      o,
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
		random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.route()
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond/10))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

func (s *Server) route() {
	read := func(h http.HandlerFunc) http.HandlerFunc { return s.limited(false, h) }
	write := func(h http.HandlerFunc) http.HandlerFunc { return s.limited(true, h) }
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

// Store returns the store behind the server.
func (s *Server) Store() *metastoretest.Store { return s.store }

// SetFault replaces the faults in force.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	s.store.SetDown(f.Down) // ends the watches
}

// Calls returns the counts of what was carried out.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// limited holds a call to the rate of its kind and applies the faults.
func (s *Server) limited(write bool, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.dropIfDown()
		if !s.wait(r, write) {
			s.count(func(c *Calls) { c.Refused++ })
			fail(w, http.StatusTooManyRequests, codeResourceExhausted, "too many requests")
			return
		}
		s.dropIfDown()
		lose := write && s.losesAnswer()
		s.count(func(c *Calls) {
			if write {
				c.Writes++
			} else {
				c.Reads++
			}
		})
		if lose {
			h(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// dropIfDown ends the request without an answer during an outage.
func (s *Server) dropIfDown() {
	s.mu.Lock()
	down := s.fault.Down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) wait(r *http.Request, write bool) bool {
	l := s.reads
	if write {
		l = s.writes
	}
	turn := l.Reserve()
	if turn.Delay() > s.o.MaxWait {
		turn.Cancel()
		return false
	}
	s.mu.Lock()
	delay := s.o.Delay + s.fault.Delay
	s.mu.Unlock()
	select {
	case <-time.After(turn.Delay() + delay):
		return true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseNextAnswers > 0 {
		s.fault.LoseNextAnswers--
		return true
	}
	return s.random.Float64() < s.fault.LostAnswerRate
}

func (s *Server) count(add func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.calls)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	s.SetFault(f)
	reply(w, struct{}{})
}

func (s *Server) serveBackup(w http.ResponseWriter, _ *http.Request) {
	c := s.store.Backup()
	s.mu.Lock()
	s.backup = &c
	s.mu.Unlock()
	reply(w, struct{}{})
}

func (s *Server) serveRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.backup
	s.mu.Unlock()
	if c == nil {
		fail(w, http.StatusBadRequest, codeInvalidArgument, "no backup was taken")
		return
	}
	s.store.Restore(*c)
	reply(w, struct{}{})
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Calls())
}

// discard is the writer of an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// The gRPC status codes of failures.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	const maxBody = 4 << 20
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err != nil {
		fail(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
	}
	return err == nil
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that has left needs no answer
}

func fail(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failure{Error: message, Code: code, Message: message})
}

// refuse answers with the failure of the store.
func refuse(w http.ResponseWriter, err error) {
	var refused *metastore.RefusedError
	if errors.As(err, &refused) && refused.Cause == metastore.CauseLeaseExpired {
		fail(w, http.StatusNotFound, codeNotFound, "requested lease not found")
		return
	}
	fail(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
}
