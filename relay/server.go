package relay

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/membudget"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/promptcache"
	"redwingknot/slots"
	"redwingknot/suspect"
)

// Options configure a Server.
type Options struct {
	View           *fleet.View
	Dialect        Dialect
	DataCentre     string
	Log            *slog.Logger
	Cache          *promptcache.Directory  // nil without cache stores
	OtherLoads     *peers.Table            // load of the other instances' requests
	SendPlacements func([]peers.Placement) // reports prompt placements to the other instances; may be nil
	Suspects       *suspect.Replica        // requests that may crash endpoints
	Origins        Origins                 // software versions that began streams
	Detours        Detours                 // connections to endpoints through other instances; nil without
	Slots          *slots.Client           // slots that coordinators grant; nil without

	// MoveStreams lets running streams move between the engines of services whose
	// configuration says that their engines can do that.
	MoveStreams bool
	// SeparatePrefill makes long prompts prefer the engines of the service's set of prefill
	// engines, and others avoid them. It is of use if streams move to other engines after
	// their prefill.
	SeparatePrefill bool

	// MembersConfirmedAt returns when the names given to Endpoints.SetInstances were last
	// confirmed to be those of the live instances; nil if they are always known.
	MembersConfirmedAt func() time.Time
	// ColdOver times its rate, and ColdSlack more, is how many requests a cold endpoint may
	// get in one second from all instances.
	ColdOver, ColdSlack float64
	// RampUp says that endpoints of all services are ramped up that have started or recovered,
	// not only of those whose endpoints start cold.
	RampUp bool

	// Now returns the time of a clock that also advances while the machine is
	// suspended.
	Now func() time.Time
	// RevokeTime is the maximum time for which a withdrawn token may still be
	// accepted; 0 means no limit.
	RevokeTime time.Duration
	// OldWeightsTime is how long endpoints may use old weights after a new wanted
	// version was set.
	OldWeightsTime time.Duration
	// DrainTime is how long an endpoint goes on serving after it has announced that it
	// leaves.
	DrainTime   time.Duration
	RetryRatio  float64       // retries allowed per request in RetryWindow
	RetryWindow time.Duration // sliding window in which retries are counted
	RetrySlack  float64       // retries allowed in RetryWindow in addition, shared by all instances
	// MaxBodyBytes is the maximum total size in bytes of the request bodies in memory
	// at one time.
	MaxBodyBytes int64
	// ResponseMemory bounds what is held in memory of endpoints' responses, nil for no limit.
	ResponseMemory *membudget.Budget
}

// Server relays requests to endpoints. It implements http.Handler.
type Server struct {
	opts           Options
	endpoints      *Endpoints
	bodyMemory     *membudget.Budget // for request bodies
	activeRequests sync.WaitGroup
	attempts       attemptSet // requests in progress that may move
	answerTimes    *answerTimes
	stop           atomic.Pointer[StopTimes] // nil before Drain
	stopping       *stopSignal
}

// NewServer returns a Server that relays to the endpoints of o.View.
func NewServer(o Options) *Server {
	return &Server{opts: o, bodyMemory: membudget.New(o.MaxBodyBytes), endpoints: newEndpoints(o), answerTimes: newAnswerTimes(), stopping: newStopSignal()}
}

// Endpoints returns the Endpoints from which the server chooses.
func (s *Server) Endpoints() *Endpoints { return s.endpoints }

// maintenanceInterval is the interval at which expired idle connections are
// closed and the gauges are updated.
const maintenanceInterval = time.Second

// Run closes expired idle connections and updates the gauges regularly until ctx
// ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	go timer.Every(ctx, probeCheckInterval, func() {
		s.endpoints.RecordReportedLeaving()
		s.endpoints.stepRamps()
		s.endpoints.takeBackLate()
		s.endpoints.probeUnreachable(ctx)
	})
	return timer.Every(ctx, maintenanceInterval, func() {
		s.endpoints.pruneConnections()
		s.endpoints.ObserveSoftware()
		s.updateGauges()
		s.endpoints.updateEngineMetrics()
	})
}

// updateGauges updates the gauges of the server's load and of the age of its
// configuration.
func (s *Server) updateGauges() {
	metric.Gauge("confirmed_age_ms").Update(s.confirmedAge().Milliseconds())
	metric.Gauge("request_body_bytes").Update(s.bodyMemory.Used())
	if s.opts.ResponseMemory != nil {
		metric.Gauge("response_bytes").Update(s.opts.ResponseMemory.Used())
	}
	snapshot := s.opts.View.Snapshot()
	if snapshot.Config != nil {
		metric.Gauge("config_version").Update(snapshot.Config.Version)
	}
	metric.Gauge("data_centres_evacuated").Update(int64(len(snapshot.Evacuated)))
	for name, list := range snapshot.ByService {
		metric.Gauge("endpoints", "service", name).Update(int64(len(list)))
	}
	s.endpoints.updateWaitGauges()
	for name, l := range s.endpoints.ownLoads() {
		metric.Gauge("requests_running", "service", name).Update(int64(l.Running))
		metric.Gauge("prompt_tokens_pending", "service", name).Update(int64(l.PendingTokens))
	}
}

// maxConfirmationAge is the maximum age of the last confirmation of the
// configuration at which a request is refused permanently because its route or
// token is not in the configuration. With an older confirmation, the refusal is
// temporary. The limit is twice the interval of confirmations, so that one failed
// read has no effect.
const maxConfirmationAge = 2 * time.Second

// revokeMargin is subtracted from RevokeTime to allow for the transfer of the
// request to the endpoint.
const revokeMargin = 500 * time.Millisecond

// ServeHTTP relays a request and writes the response. It implements
// http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Done()
	c := &callerRequest{server: s, w: w, conn: callerConnOf(r.Context()), arrivedAt: time.Now(), sequence: newEventSequence(-1)}
	c.recordArrival()
	c.limitBody(r)
	if !r.ProtoAtLeast(1, 1) {
		c.beforeAbort = func() { resetCallerConn(r.Context()) }
	}
	if refusal := c.accept(r); refusal != nil {
		c.refuse(refusal)
		return
	}
	memory := s.bodyMemory.Hold()
	defer memory.Release()
	if !c.readBody(r, &memory) {
		return
	}
	// A caller may not look for a refusal before it has sent the whole body.
	if refusal := c.refuseStopping(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if s.opts.MoveStreams && c.prompt != nil {
		defer s.attempts.add(c.call.AttemptID)()
	}
	c.serve(r.Context())
}

// unreadBodyTime bounds the wait for the body of a request that is refused before it is read:
// net/http reads what is left of a body before it sends the response.
const unreadBodyTime = time.Second

// limitBody limits the time for the body of a request that is refused early. For others, readBody
// sets the limit anew.
func (c *callerRequest) limitBody(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	c.conn.awaitBody(true)
	_ = http.NewResponseController(c.w).SetReadDeadline(c.arrivedAt.Add(unreadBodyTime)) // fails only if the connection is closed
}

// recordArrival records that the request has arrived on its connection.
func (c *callerRequest) recordArrival() {
	if c.conn != nil {
		c.conn.requests.Add(1)
	}
	if stop := c.server.stop.Load(); stop != nil {
		c.late = newLateArrival(c.conn, stop.Began, c.arrivedAt)
		metric.Counter("requests_during_stop_total", "connection", c.late.connection).Inc(1)
	}
}

// accept determines the route, team, deadline and service of a request. It
// returns a refusal if the request may not be relayed.
func (c *callerRequest) accept(r *http.Request) *contract.Refusal {
	s := c.server
	var err error
	if c.call, err = s.opts.Dialect.ParseCall(r.Header); err != nil {
		return contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, err.Error())
	}
	cfg := s.opts.View.Snapshot().Config
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if refusal := c.findRoute(cfg, r.Host, path); refusal != nil {
		return refusal
	}
	c.method, c.requestURI, c.host = r.Method, r.RequestURI, r.Host
	c.header = r.Header
	c.bodyLimit = int64(cfg.Limits.BodyBytes)
	if r.ContentLength > c.bodyLimit && c.bodyLimit > 0 {
		return contract.Refuse(http.StatusRequestEntityTooLarge, contract.ReasonTooLarge, "the body is too large")
	}
	c.prepareQuery(cfg)
	c.sequence = newEventSequence(c.call.LastEventID)
	return nil
}

// findRoute determines the route and the team of a request whose call is known. It returns a
// refusal if the request may not be relayed.
func (c *callerRequest) findRoute(cfg *fleet.Config, host, path string) *contract.Refusal {
	if cfg == nil {
		return contract.Unavailable(contract.ReasonNotReady, shortRetryAfter, "no configuration is known yet")
	}
	c.route = cfg.Match(hostName(host), path)
	if c.route == nil {
		return c.temporaryIfStale(contract.Refuse(http.StatusNotFound, contract.ReasonUnknownService, "no route matches"))
	}
	return c.authenticate(cfg)
}

// prepareQuery determines the deadline and the service of a request, and what its endpoint is
// chosen by.
func (c *callerRequest) prepareQuery(cfg *fleet.Config) {
	c.setDeadline()
	c.prompt = c.call.Prompt
	// For a stream that is taken up, the record of its origin goes first; see requireOrigin.
	c.useService(cfg, chooseService(c.route, cmp.Or(c.call.ResumedAttempt, c.call.AttemptID)))
}

// useService makes the endpoints of a service those that may run the request.
func (c *callerRequest) useService(cfg *fleet.Config, service string) {
	c.call.Prompt = nil
	if s := cfg.Services[service]; s != nil && s.Engine != nil {
		c.call.Prompt = c.prompt // only engines have weights and a prompt cache
	}
	c.query = newPlacementQuery(&c.call, c.route, service)
	c.query.team = c.team
}

// shortRetryAfter is the delay before a retry that is stated in refusals for reasons
// other than the endpoints' load. It is chosen for an instance that has just
// started: its first read of the metadata store takes some tens of milliseconds.
const shortRetryAfter = 300 * time.Millisecond

// temporaryIfStale returns the permanent refusal r if the configuration was
// confirmed recently enough, and a temporary refusal otherwise.
func (c *callerRequest) temporaryIfStale(r *contract.Refusal) *contract.Refusal {
	if c.server.confirmedAge() <= maxConfirmationAge {
		return r
	}
	return contract.Unavailable(contract.ReasonPlatformUnreached, shortRetryAfter, "the configuration could not be confirmed of late")
}

// confirmedAge returns the time since the configuration was last confirmed.
func (s *Server) confirmedAge() time.Duration { return s.opts.View.ConfirmedAge(s.opts.Now()) }

// authenticate determines the caller's team from its token. It returns a refusal
// if the route requires a team and the token belongs to none.
func (c *callerRequest) authenticate(cfg *fleet.Config) *contract.Refusal {
	if c.route.Public || !cfg.AuthRequired {
		return nil
	}
	c.team = cfg.Teams[c.call.Token]
	if c.team == nil {
		return c.temporaryIfStale(contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token is unknown"))
	}
	return c.checkAuthorization()
}

// checkAuthorization returns a refusal if the caller's token was withdrawn. It
// also returns one if the configuration was not confirmed within RevokeTime, less
// revokeMargin: the token may then have been withdrawn without this instance
// knowing. The check is repeated immediately before each attempt.
func (c *callerRequest) checkAuthorization() *contract.Refusal {
	s := c.server
	if c.team == nil || s.opts.RevokeTime == 0 {
		return nil
	}
	if s.confirmedAge() > s.opts.RevokeTime-revokeMargin {
		return contract.Unavailable(contract.ReasonPlatformUnreached, shortRetryAfter, "tokens can't be confirmed at present")
	}
	if cfg := s.opts.View.Snapshot().Config; cfg.AuthRequired && cfg.Teams[c.call.Token] == nil {
		return contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token was withdrawn")
	}
	return nil
}

// setDeadline sets the deadline from the caller's budget or the route's timeout,
// whichever is shorter.
func (c *callerRequest) setDeadline() {
	limit := c.route.Timeout
	if c.call.Budget > 0 && c.call.Budget < limit {
		limit = c.call.Budget
	}
	c.deadline = c.arrivedAt.Add(limit)
}

// Callers leave a stream that has had no event for the longest of these times: minPatience, and
// these multiples of the route's objective and of its pause objective.
const (
	minPatience       = 2 * time.Second
	targetPatience    = 4
	maxGapPatience    = 8
	patienceRemainder = 0.1 // share of that time within which the first event reaches the caller
)

// answerBy returns when the response to the request must have begun to be of use: before its
// deadline, and for a stream before its caller leaves for want of an event.
//
// Load pattern: for seconds, more prompts arrive than the engines can prefill. Prompts that wait
// for room until their deadline are prefilled for callers that have left.
func (c *callerRequest) answerBy() time.Time {
	if c.route.Kind != fleet.KindStream || c.headerSent {
		return c.deadline
	}
	patience := max(minPatience, targetPatience*c.route.TargetTime, maxGapPatience*c.route.MaxGap)
	leaves := c.arrivedAt.Add(time.Duration((1 - patienceRemainder) * float64(patience)))
	if leaves.Before(c.deadline) {
		return leaves
	}
	return c.deadline
}

// readBody reads the whole request body into memory. If that fails, a limit is
// exceeded, the deadline passes or the server stops, it responds with a refusal and returns false.
//
// Load pattern: many callers send the largest bodies at once. A body counts while it arrives, so
// that those for which there is no memory are refused before they are there.
func (c *callerRequest) readBody(r *http.Request, memory *membudget.Hold) bool {
	if r.ContentLength == 0 {
		return true
	}
	limit := c.bodyLimit
	if limit == 0 {
		limit = c.server.opts.MaxBodyBytes
	}
	reads := http.NewResponseController(c.w)
	_ = reads.SetReadDeadline(c.deadline) // fails only if the connection is closed
	wasStopped := c.server.stopping.endReads(c.w)
	size := limit + 1 // of the largest buffer; a read beyond the limit fails
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength+1)
	}
	body, err := memory.ReadAll(http.MaxBytesReader(c.w, r.Body, limit), int(size))
	var tooLarge *http.MaxBytesError
	var exceeded *membudget.ExceededError
	switch {
	case wasStopped():
		c.refuse(contract.Unavailable(contract.ReasonDraining, stopRetryAfter, errStopped.Error()))
		return false
	case errors.As(err, &tooLarge):
		c.refuse(contract.Refuse(http.StatusRequestEntityTooLarge, contract.ReasonTooLarge, "the body is too large"))
		return false
	case errors.As(err, &exceeded):
		c.refuse(contract.Unavailable(contract.ReasonOverload, shortRetryAfter, "too many request bodies are in memory"))
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(contract.Unavailable(contract.ReasonDeadline, shortRetryAfter, "the body did not arrive in time"))
		return false
	case err != nil:
		c.refuse(contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, "the body could not be read"))
		return false
	}
	_ = reads.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	c.conn.awaitBody(false)
	c.body = body
	return true
}

// hostName returns the host name of a Host header, without the port and in lower
// case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse responds with a refusal by the relay itself.
func (c *callerRequest) refuse(r *contract.Refusal) {
	metric.CountRefusal(r.Reason)
	event.RelayRefused.Log(c.server.opts.Log, append(c.logAttrs(),
		slog.Int("status", r.Status), slog.String("reason", string(r.Reason)), slog.String("ran", string(r.Ran)),
		slog.Duration("retryAfter", r.RetryAfter))...)
	h := c.w.Header()
	if r.RetryAfter > 0 {
		c.server.opts.Dialect.SetRetryAfter(h, r.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writeHeader(r.Status)
	// A write error means that the caller is gone; there is nobody to report it to.
	_, _ = io.WriteString(c.w, string(r.Reason)+": "+r.Detail+"\n")
}

// logAttrs returns log attributes with the data that the decisions on a request
// are based on.
func (c *callerRequest) logAttrs() []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.call.AttemptID),
		slog.Duration("took", time.Since(c.arrivedAt)),
		slog.Duration("confirmedAge", c.server.confirmedAge()),
	}
	if cfg := c.server.opts.View.Snapshot().Config; cfg != nil {
		attrs = append(attrs, slog.Int64("config", cfg.Version))
	}
	if c.route != nil {
		attrs = append(attrs, slog.String("route", c.route.Name), slog.Int("sends", c.sends))
	}
	if c.team != nil {
		attrs = append(attrs, slog.String("team", c.team.Name))
	}
	if c.lastEndpoint != nil {
		attrs = append(attrs, slog.String("endpoint", c.lastEndpoint.ID), slog.String("cacheplan", c.cachePlan))
	}
	if c.lastWeights != 0 {
		attrs = append(attrs, slog.Int64("weights", c.lastWeights))
	}
	if c.fetches != "" {
		attrs = append(attrs, slog.String("fetches", c.fetches))
	}
	if c.saves != "" {
		attrs = append(attrs, slog.String("saves", c.saves))
	}
	if c.lastErr != nil {
		attrs = append(attrs, slog.String("cause", c.lastErr.Error()))
	}
	if c.late != nil {
		attrs = append(attrs, c.late.logAttrs()...)
	}
	return attrs
}
