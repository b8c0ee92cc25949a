package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
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

// Limiter limits the request rate of teams across all instances.
type Limiter interface {
	// Allow reports whether one more request of the team may run now and, if
	// not, after which time the caller should retry.
	Allow(t note.Team) (ok bool, retryAfter time.Duration)
}

// BlockKeeper stores the blocks of prompts outside the engines, so that they can be
// imported again for later requests with the same prompt prefix.
type BlockKeeper interface {
	// PlanBringBack returns the blocks of the prompt that can be brought back to an
	// engine.
	PlanBringBack(ctx context.Context, p Prompt) BringBack
	// RecordAnswer records that an endpoint has completed the answer to a prompt and
	// has its blocks in the cache. It does not block the caller.
	RecordAnswer(p Prompt, endpoint string)
}

// Prompt describes the prompt of a request and identifies its blocks.
type Prompt struct {
	Team    string
	Service string
	Class   contract.Class
	Model   note.Model
	Weights engine.Weights // weights that the keys name
	Keys    []string       // block keys of the full pieces, first to last
	Tokens  int            // estimated
}

// BringBack is the part of one prompt's blocks that is stored and can be brought
// back, that is, imported into an engine.
type BringBack interface {
	// Available reports whether any of the prompt's blocks are stored.
	Available() bool
	// ImportTime estimates the time to import blocks into an endpoint whose cache lacks
	// the last missingPieces pieces of the prompt. It returns false if nothing can be
	// imported.
	ImportTime(endpoint string, missingPieces int) (time.Duration, bool)
	// Import imports the blocks of the pieces that follow the first cachedPieces
	// pieces of the prompt into the endpoint. It stops when ctx ends.
	Import(ctx context.Context, endpoint string, cachedPieces int) error
}

// Suspects protects endpoints from requests that crash them.
type Suspects interface {
	// Begin returns a permit for an attempt of the request with fingerprint f, or a
	// *contract.Refusal.
	Begin(ctx context.Context, f suspect.Fingerprint, attemptID string, deadline time.Time, rng *rand.Rand) (*suspect.Permit, error)
}

// Options holds the dependencies and limits of a Server.
type Options struct {
	DataCentre   string
	State        func() *note.State // returns the configuration in force, nil before the first one
	Ready        func() bool        // reports whether the instance may accept requests
	OperatorHash string             // HashToken of the operators' token
	Services     *Services
	Limits       Limiter
	Keeper       BlockKeeper
	Suspects     Suspects
	Ledger       *ledger.Ledger
	Clients      *EndpointClients
	Logger       *slog.Logger

	MaxBodyBytes            int64         // maximum size of a request body
	MaxReplyBytes           int64         // maximum size of a plain service's answer
	BodyTimeout             time.Duration // for reading a whole request body
	StallTimeout            time.Duration // for the endpoint's next token after the first, and for writing a token to the caller
	FirstTokenTimeoutFactor float64       // time limit of the first token as a multiple of the expected time
	MaxAttempts             int           // maximum number of attempts of one request, including the first
}

// Server serves the callers of one entry instance. It is safe for concurrent use.
type Server struct {
	opts   Options
	auth   authenticator
	traces *traceStore

	stopEnd atomic.Pointer[time.Time] // when running requests are ended; nil before BeginStop
	ended   context.Context           // ends in End
	end     context.CancelCauseFunc

	mu              sync.Mutex
	draining        bool
	runningRequests sync.WaitGroup
}

// New returns a Server with the given options.
func New(o Options) *Server {
	s := &Server{opts: o, auth: authenticator{operatorHash: o.OperatorHash}, traces: newTraceStore()}
	s.ended, s.end = context.WithCancelCause(context.Background())
	return s
}

// RegisterRoutes registers the paths for callers on r.
func (s *Server) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", s.withTrace(s.serveChat)).Methods(http.MethodPost)
	r.PathPrefix("/svc/{service}/").HandlerFunc(s.withTrace(s.serveService))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownCall, "there is no such path"), "")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, contract.Refuse(http.StatusMethodNotAllowed, contract.ReasonUnknownCall, "the path has no such method"), "")
	})
}

// Drain makes the server refuse new requests and waits until the running requests
// have ended. It returns the error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.runningRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest adds a request to the running ones. It returns a *contract.Refusal
// if the server is draining.
func (s *Server) beginRequest() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return refusalOfStop(contract.NotRun)
	}
	s.runningRequests.Add(1)
	return nil
}

// Retry-after times of requests that this instance refuses because it cannot serve
// them now. They are short because another instance can serve the retry.
const (
	drainRetryAfter    = time.Second
	notReadyRetryAfter = 2 * time.Second
)

// handler serves one request. If it returns an error, it has written no response,
// and the error is written as a refusal.
type handler func(w http.ResponseWriter, r *http.Request, tr *Trace) error

// withTrace returns an HTTP handler that assigns an identifier to each request,
// calls handle, writes the refusal that handle returns, and stores the trace.
func (s *Server) withTrace(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tr := &Trace{Request: uuid.Must(uuid.NewV7()).String(), Started: time.Now()}
		w.Header().Set(HeaderRequestID, tr.Request)
		if err := s.beginRequest(); err != nil {
			writeRefusal(w, asRefusal(err), tr.Request)
			return
		}
		defer s.runningRequests.Done()
		if err := handle(w, r, tr); err != nil {
			tr.Refusal = asRefusal(err)
			writeRefusal(w, tr.Refusal, tr.Request)
			event.RequestRefused.Log(s.opts.Logger, slog.String("request", tr.Request), slog.String("reason", string(tr.Refusal.Reason)))
		}
		tr.Elapsed = time.Since(tr.Started)
		event.RequestEnded.Log(s.opts.Logger, slog.String("request", tr.Request), slog.String("service", tr.Service), slog.Duration("elapsed", tr.Elapsed))
		s.traces.add(tr)
	}
}

// authenticate returns the configuration in force and the team that sent r. It
// returns a *contract.Refusal if the instance is not ready or the token is not
// valid.
func (s *Server) authenticate(r *http.Request) (*note.State, note.Team, error) {
	state := s.opts.State()
	if state == nil || !s.opts.Ready() {
		return nil, note.Team{}, contract.Unavailable(contract.ReasonNotReady, notReadyRetryAfter, "this instance has no configuration yet")
	}
	team, err := s.auth.authenticateTeam(r, state)
	return state, team, err
}

// service returns the Service of that name. It returns a *contract.Refusal if a
// service that has just been configured has no router yet.
func (s *Server) service(name string) (*Service, error) {
	if svc := s.opts.Services.Get(name); svc != nil {
		return svc, nil
	}
	return nil, contract.Unavailable(contract.ReasonNotReady, notReadyRetryAfter, "this instance is taking up the service "+name)
}

// checkTeamLimit counts a request of the team and returns a *contract.Refusal with
// status 429 if the team is above its limit.
func (s *Server) checkTeamLimit(t note.Team) error {
	ok, after := s.opts.Limits.Allow(t)
	if ok {
		return nil
	}
	r := contract.Unavailable(contract.ReasonTeamLimit, after, "the team is above its limit")
	r.Status = http.StatusTooManyRequests
	return r
}

// engineClient returns a client for the engine at an endpoint.
func (s *Server) engineClient(endpoint string) *engine.Client {
	return engine.NewClient(s.opts.Services.EndpointURL(endpoint), s.opts.Clients.Shared)
}
