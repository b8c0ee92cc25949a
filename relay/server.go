package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/promptcache"
)

// Options are what a Server needs.
type Options struct {
	View           *fleet.View
	Dialect        Dialect
	DataCentre     string
	Log            *slog.Logger
	Cache          *promptcache.Directory  // nil without cache stores
	OtherLoads     *peers.Table            // what other instances have under way
	SendPlacements func([]peers.Placement) // tells them where prompts went; nil for none

	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Time
	// RevokeTime is how long a withdrawn token may still be honoured; 0 for no
	// limit.
	RevokeTime time.Duration
	// OldWeightsTime is how long endpoints may run old weights after new ones were
	// named.
	OldWeightsTime time.Duration
	RetryRatio     float64
	RetrySpan      time.Duration
	RetrySlack     float64
	// MaxBodyBytes bounds the request bodies in memory at one time.
	MaxBodyBytes int64
}

// Server relays requests. It implements http.Handler.
type Server struct {
	o         Options
	endpoints *Endpoints
	bodies    atomic.Int64 // bytes of request bodies in memory
	active    sync.WaitGroup
	draining  atomic.Bool
}

// NewServer returns a Server.
func NewServer(o Options) *Server {
	return &Server{o: o, endpoints: newEndpoints(o)}
}

// Endpoints returns what the server keeps of endpoints.
func (s *Server) Endpoints() *Endpoints { return s.endpoints }

// pruneInterval is the time between closings of old idle connections.
const pruneInterval = time.Second

// Run keeps the connections in order until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return timer.Every(ctx, pruneInterval, func() {
		s.endpoints.prune()
		s.measure()
	})
}

// measure updates the gauges of what the server holds and how old it is.
func (s *Server) measure() {
	metric.Gauge("confirmed_age_ms").Update(s.confirmedAge().Milliseconds())
	metric.Gauge("request_body_bytes").Update(s.bodies.Load())
	snapshot := s.o.View.Snapshot()
	for name, list := range snapshot.ByService {
		metric.Gauge("endpoints", "service", name).Update(int64(len(list)))
	}
	for name, l := range s.endpoints.sums() {
		metric.Gauge("requests_running", "service", name).Update(int64(l.Running))
		metric.Gauge("prompt_tokens_pending", "service", name).Update(int64(l.PendingTokens))
	}
}

// Drain makes every answer from now on ask its caller for another connection.
func (s *Server) Drain() { s.draining.Store(true) }

// freshness is the age of the last confirmation up to which a request may be
// turned away for a route or token that the configuration lacks: twice the
// interval of confirmations, so that one lost read changes nothing.
const freshness = 2 * time.Second

// revokeMargin is kept from RevokeTime for the way to the endpoint.
const revokeMargin = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Done()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &run{server: s, w: w, arrived: time.Now(), lastEvent: -1}
	if refusal := q.accept(r); refusal != nil {
		q.refuse(refusal)
		return
	}
	if !q.readBody(r) {
		return
	}
	defer s.bodies.Add(-int64(len(q.body)))
	q.do(r.Context())
}

// accept finds the route and the team of a request.
func (q *run) accept(r *http.Request) *contract.Refusal {
	s := q.server
	var err error
	if q.call, err = s.o.Dialect.ParseCall(r.Header); err != nil {
		return contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, err.Error())
	}
	cfg := s.o.View.Snapshot().Config
	if cfg == nil {
		return contract.Overloaded(contract.ReasonNotReady, notReadyRetry, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	q.route = cfg.Match(hostName(r.Host), path)
	if q.route == nil {
		return q.doubtful(contract.Refuse(http.StatusNotFound, contract.ReasonUnknownService, "no route matches"))
	}
	if refusal := q.authenticate(cfg); refusal != nil {
		return refusal
	}
	q.method, q.target, q.host = r.Method, r.RequestURI, r.Host
	q.header = r.Header
	q.bodyLimit = int64(cfg.Limits.BodyBytes)
	if r.ContentLength > q.bodyLimit && q.bodyLimit > 0 {
		return contract.Refuse(http.StatusRequestEntityTooLarge, contract.ReasonTooLarge, "the body is too large")
	}
	q.limitTime()
	service := pickShare(q.route, q.call.AttemptID)
	if s := cfg.Services[service]; s == nil || s.Engine == nil {
		q.call.Prompt = nil // only engines have weights and cached parts
	}
	q.query = newQuery(&q.call, q.route, service)
	q.query.team = q.team
	return nil
}

// notReadyRetry is when a caller should ask again an instance that has just
// started: its first read of the store takes some tens of milliseconds.
const notReadyRetry = 300 * time.Millisecond

// doubtful softens a final refusal to a temporary one while the configuration
// in force may be old.
func (q *run) doubtful(r *contract.Refusal) *contract.Refusal {
	if q.server.confirmedAge() <= freshness {
		return r
	}
	return contract.Overloaded(contract.ReasonPlatformUnreached, notReadyRetry, "the configuration could not be confirmed of late")
}

func (s *Server) confirmedAge() time.Duration { return s.o.View.ConfirmedAge(s.o.Now()) }

// authenticate finds the caller's team in cfg.
func (q *run) authenticate(cfg *fleet.Config) *contract.Refusal {
	if q.route.Public || !cfg.AuthRequired {
		return nil
	}
	q.team = cfg.Teams[q.call.Token]
	if q.team == nil {
		return q.doubtful(contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token is unknown"))
	}
	return q.authorized()
}

// authorized checks that the caller's token can't have been withdrawn too long
// ago. It is repeated right before each attempt.
func (q *run) authorized() *contract.Refusal {
	s := q.server
	if q.team == nil || s.o.RevokeTime == 0 {
		return nil
	}
	if s.confirmedAge() > s.o.RevokeTime-revokeMargin {
		return contract.Overloaded(contract.ReasonPlatformUnreached, notReadyRetry, "tokens can't be confirmed at present")
	}
	if cfg := s.o.View.Snapshot().Config; cfg.AuthRequired && cfg.Teams[q.call.Token] == nil {
		return contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token was withdrawn")
	}
	return nil
}

// limitTime sets the deadline: what the caller waits or the route allows.
func (q *run) limitTime() {
	limit := q.route.Timeout
	if q.call.Budget > 0 && q.call.Budget < limit {
		limit = q.call.Budget
	}
	q.deadline = q.arrived.Add(limit)
}

// readBody reads the body whole. It reports whether the request goes on.
func (q *run) readBody(r *http.Request) bool {
	if r.ContentLength == 0 {
		return true
	}
	limit := q.bodyLimit
	if limit == 0 {
		limit = q.server.o.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.refuse(contract.Refuse(http.StatusRequestEntityTooLarge, contract.ReasonTooLarge, "the body is too large"))
		return false
	case err != nil:
		q.refuse(contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, "the body could not be read"))
		return false
	}
	if q.server.bodies.Add(int64(len(body))) > q.server.o.MaxBodyBytes {
		q.server.bodies.Add(-int64(len(body)))
		q.refuse(contract.Overloaded(contract.ReasonOverload, notReadyRetry, "too many request bodies are in memory"))
		return false
	}
	q.body = body
	return true
}

// hostName returns a Host header's name without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse answers with a failure of the system's own.
func (q *run) refuse(r *contract.Refusal) {
	metric.Refused(r.Reason)
	event.RelayRefused.Log(q.server.o.Log, append(q.attrs(),
		slog.Int("status", r.Status), slog.String("reason", string(r.Reason)), slog.String("ran", string(r.Ran)),
		slog.Duration("retryAfter", r.RetryAfter))...)
	h := q.w.Header()
	if r.RetryAfter > 0 {
		q.server.o.Dialect.SetRetryAfter(h, r.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	q.w.WriteHeader(r.Status)
	// A caller that is gone can't be told.
	_, _ = io.WriteString(q.w, string(r.Reason)+": "+r.Detail+"\n")
}

// attrs are the inputs of a request's decisions.
func (q *run) attrs() []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", q.call.AttemptID),
		slog.Duration("took", time.Since(q.arrived)),
		slog.Duration("confirmedAge", q.server.confirmedAge()),
	}
	if cfg := q.server.o.View.Snapshot().Config; cfg != nil {
		attrs = append(attrs, slog.Int64("config", cfg.Version))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.Int("sends", q.sends))
	}
	if q.team != nil {
		attrs = append(attrs, slog.String("team", q.team.Name))
	}
	if q.last != nil {
		attrs = append(attrs, slog.String("endpoint", q.last.ID), slog.String("cacheplan", q.plan))
	}
	if q.cause != nil {
		attrs = append(attrs, slog.String("cause", q.cause.Error()))
	}
	return attrs
}
