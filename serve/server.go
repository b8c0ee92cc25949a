package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/ledger"
	"redwingknot/note"
	"redwingknot/suspect"
)

// Limiter bounds the requests of teams over all instances.
type Limiter interface {
	// Allow says whether one more request of the team may run now, and if not,
	// when it should come back.
	Allow(t note.Team) (ok bool, retryAfter time.Duration)
}

// BlockKeeper keeps blocks of prompts for their return.
type BlockKeeper interface {
	// PlanBringBack returns what can be brought back for a prompt with these block keys.
	PlanBringBack(ctx context.Context, p Prompt) BringBack
	// RecordAnswer tells that a prompt's answer ended at an endpoint, which now
	// holds its blocks. It does not block.
	RecordAnswer(p Prompt, endpoint string)
}

// Prompt identifies the blocks of a request.
type Prompt struct {
	Team    string
	Service string
	Class   contract.Class
	Model   note.Model
	Keys    []string // block keys of the full pieces, first to last
	Tokens  int
}

// BringBack is what a store keeps of one prompt.
type BringBack interface {
	// Available reports whether a store keeps any of the prompt's blocks.
	Available() bool
	// ImportTime estimates the time to bring the missing last pieces to an endpoint.
	ImportTime(endpoint string, missing int) (time.Duration, bool)
	// Import brings back what the endpoint lacks; it ends with ctx.
	Import(ctx context.Context, endpoint string, cached int) error
}

// Suspects guards endpoints against requests that crash them.
type Suspects interface {
	Begin(ctx context.Context, f suspect.Fingerprint, run string, deadline time.Time, rng *rand.Rand) (*suspect.Permit, error)
}

// Options are the parts that a Server joins and its limits.
type Options struct {
	DataCentre   string
	State        func() *note.State // configuration in force, nil before the first
	Ready        func() bool        // whether the instance may take requests
	OperatorHash string             // hash of the operators' token
	Services     *Services
	Limits       Limiter
	Keeper       BlockKeeper
	Suspects     Suspects
	Ledger       *ledger.Ledger
	Clients      *EndpointClients
	Logger       *slog.Logger

	MaxBodyBytes            int64         // of a request
	MaxReplyBytes           int64         // of a plain service's answer
	BodyTimeout             time.Duration // for a whole body to arrive
	StallTimeout            time.Duration // between two tokens of an attempt
	FirstTokenTimeoutFactor float64       // first token is awaited for this multiple of what is expected
	MaxAttempts             int           // of one request, including the first
}

// Server is the data path of one entry instance. It is safe for concurrent use.
type Server struct {
	o      Options
	auth   authenticator
	traces *traces

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
}

// New returns a server.
func New(o Options) *Server {
	return &Server{o: o, auth: authenticator{operatorHash: o.OperatorHash}, traces: newTraces()}
}

// Routes adds the callers' paths to r.
func (s *Server) Routes(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", s.tracked(s.serveChat)).Methods(http.MethodPost)
	r.PathPrefix("/svc/{service}/").HandlerFunc(s.tracked(s.serveService))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownCall, "there is no such path"), "")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, contract.Refuse(http.StatusMethodNotAllowed, contract.ReasonUnknownCall, "the path has no such method"), "")
	})
}

// Drain refuses new requests from now on and waits until the running ones have
// ended or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a request in unless the instance is draining.
func (s *Server) enter() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return contract.Unavailable(contract.ReasonDraining, drainRetry, "this instance is stopping")
	}
	s.running.Add(1)
	return nil
}

// The times after which a caller refused by one instance comes back: another
// instance answers it.
const (
	drainRetry    = time.Second
	notReadyRetry = 2 * time.Second
)

// handler serves one request; a *contract.Refusal that it returns is the answer.
type handler func(w http.ResponseWriter, r *http.Request, tr *Trace) error

// tracked gives a request its identity, keeps its trace and writes its refusal.
func (s *Server) tracked(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tr := &Trace{Request: uuid.Must(uuid.NewV7()).String(), Started: time.Now()}
		w.Header().Set(HeaderRequestID, tr.Request)
		if err := s.enter(); err != nil {
			writeRefusal(w, asRefusal(err), tr.Request)
			return
		}
		defer s.running.Done()
		if err := h(w, r, tr); err != nil {
			tr.Refusal = asRefusal(err)
			writeRefusal(w, tr.Refusal, tr.Request)
			event.RequestRefused.Log(s.o.Logger, slog.String("request", tr.Request), slog.String("reason", string(tr.Refusal.Reason)))
		}
		tr.Elapsed = time.Since(tr.Started)
		event.RequestEnded.Log(s.o.Logger, slog.String("request", tr.Request), slog.String("service", tr.Service), slog.Duration("elapsed", tr.Elapsed))
		s.traces.add(tr)
	}
}

// caller authenticates a request against the configuration in force.
func (s *Server) caller(r *http.Request) (*note.State, note.Team, error) {
	state := s.o.State()
	if state == nil || !s.o.Ready() {
		return nil, note.Team{}, contract.Unavailable(contract.ReasonNotReady, notReadyRetry, "this instance has no configuration yet")
	}
	team, err := s.auth.team(r, state)
	return state, team, err
}

// service returns what this instance keeps for a service. A service that has
// just been configured may have no router yet.
func (s *Server) service(name string) (*Service, error) {
	if svc := s.o.Services.Get(name); svc != nil {
		return svc, nil
	}
	return nil, contract.Unavailable(contract.ReasonNotReady, notReadyRetry, "this instance is taking up the service "+name)
}

// limit applies the team's limit.
func (s *Server) limit(t note.Team) error {
	ok, after := s.o.Limits.Allow(t)
	if ok {
		return nil
	}
	r := contract.Unavailable(contract.ReasonTeamLimit, after, "the team is above its limit")
	r.Status = http.StatusTooManyRequests
	return r
}

// engineOf returns the client of an endpoint.
func (s *Server) engineOf(endpoint string) *engine.Client {
	return engine.NewClient(s.o.Services.EndpointURL(endpoint), s.o.Clients.Shared)
}
