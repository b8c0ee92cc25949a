package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"redwingknot/datacentre"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/drainlistener"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/relay"
	"redwingknot/slots"
	"redwingknot/suspect"
	"redwingknot/tunnel"
	"redwingknot/wire"
)

// Options configure a Gateway. Package platform fills them in, because the
// gateway itself knows no names of the platform that it runs on.
type Options struct {
	Instance    string // name of this instance
	DataCentre  string
	FrontAddr   string // listen address for callers
	ReadyAddr   string // listen address for readiness checks
	ReadyPath   string
	MetricsAddr string // listen address for metrics, empty for none
	PeerAddr    string // listen address for other instances

	Relay     relay.Options
	KV        metastore.KV
	Schema    Schema
	Endpoints EndpointClient
	// Caches is the client of the cache stores whose content Relay.Cache tracks.
	Caches CacheStoreClient

	Grace             time.Duration // from the request to stop until the process is killed
	ApplyTime         time.Duration // within which a configuration must be in force
	EvacuationTime    time.Duration // within which nothing more is sent to an evacuated data centre; 0 if not required
	EndpointExpiry    time.Duration // of silence after which the entry of an endpoint is removed
	LeaderChangeDelay time.Duration // minimum time between orders of two leaders
	MinLease          time.Duration // shortest lease that the metadata store grants
	MaxHeaderBytes    int           // maximum size of a request's header in bytes
	// Callers bounds what callers, and those who ask for readiness and metrics, can make the
	// instance hold.
	Callers drainlistener.Limits

	FirstStart bool    // the whole system starts for the first time, so that no stream is in progress
	Cores      float64 // processor time of the machine, in cores; 0 if not known
}

// Schema decodes entries of the metadata store and applies them to a view.
type Schema interface {
	// OperatorRange returns the range of the operator's keys.
	OperatorRange() (from, to string)
	// OperatorKeys returns the keys that the operator may write and that have an effect on
	// what s holds.
	OperatorKeys(s *fleet.Snapshot) []string
	// RemoveOperator applies the removal of an entry of the operator to v at now and reports
	// whether v changed. restored says that the entry is missing in an older copy from which
	// the metadata store has come back.
	RemoveOperator(v *fleet.View, key string, restored bool, now time.Time) (changed bool)
	// EndpointRange returns the range of the endpoints' entries.
	EndpointRange() (from, to string)
	// ApplyOperator applies an entry of the operator to v and reports whether v
	// changed.
	ApplyOperator(v *fleet.View, e metastore.Entry) (changed bool, err error)
	// ApplyEndpoint applies an endpoint's entry to v. An entry that can't be
	// decoded removes the endpoint and is reported as an error.
	ApplyEndpoint(v *fleet.View, e metastore.Entry, now time.Time) error
	// EndpointID returns the identifier of the endpoint whose entry has the key.
	EndpointID(key string) string
}

// Gateway is an instance of the relay. Run must be called only once.
type Gateway struct {
	opts          Options
	log           *slog.Logger
	kv            metastore.KV // serves all watches from one
	view          *fleet.View
	heldEntries   heldEntries
	confirmations *confirmations
	relay         *relay.Server
	elector       *datacentre.LeaderElector
	registration  *registration
	wire          *wire.Server
	exchange      *peers.Exchange
	suspects      *suspectStore
	origins       *origins
	software      *softwareStore
	originBatches *originBatches
	firstReads    *firstReads
	tunnels       *tunnel.Server
	slots         *slots.Server
	slotClient    *slots.Client
	era           int64 // of the metadata store at the last read of the operator's range; used only by its watcher
	draining      atomic.Bool
	suspension    *suspensionWatch
	started       time.Time
	memberCount   atomic.Int64 // registered instances, 0 before they are known
	rank          atomic.Int64 // position of this instance among them by name, from 0 on
}

// New returns a Gateway that does nothing until Run is called.
func New(o Options) *Gateway {
	g := &Gateway{opts: o, era: unknownEra, log: o.Relay.Log, kv: metastore.NewWatchMux(o.KV), view: o.Relay.View, suspension: newSuspensionWatch(time.Now()), started: o.Relay.Now()}
	g.confirmations = newConfirmations(g.view, o.Relay.Now)
	g.opts.Relay.OtherLoads = peers.NewTable()
	g.opts.Relay.MembersConfirmedAt = g.membersConfirmedAt
	g.opts.Relay.Suspects = suspect.NewReplica(suspect.Config{CompanyCrashLimit: maxCrashesInCompany, Log: g.log}, o.Relay.Now)
	g.suspects = newSuspectStore(g.kv, g.opts.Relay.Suspects, o.Relay.Now, g.leads, g.log)
	g.opts.Relay.SendPlacements = func(list []peers.Placement) { g.exchange.QueuePlacements(list) }
	g.origins = &origins{Local: origin.NewLocal(o.Relay.Now), gateway: g}
	g.opts.Relay.Origins = g.origins
	g.software = newSoftwareStore(g)
	g.firstReads = newFirstReads(g.started)
	detours := &detours{}
	g.opts.Relay.Detours = detours
	g.setUpSlots()
	g.relay = relay.NewServer(g.opts.Relay)
	g.registration = &registration{kv: o.KV, instance: o.Instance, address: o.PeerAddr, ttl: max(memberTTL, o.MinLease), revokeTime: time.Duration(lastCallFraction * float64(o.Grace)), coordinates: o.Cores >= minCoordinatorCores}
	g.setUpPeerExchange()
	g.originBatches = newOriginBatches(g)
	detours.exchange = g.exchange
	g.tunnels = tunnel.NewServer(g.relay.Endpoints().DialDirect)
	g.tunnels.Register(g.wire)
	g.slots.Register(g.wire)
	g.elector = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: g.kv, DataCentre: electionScope, InstanceID: o.Instance, TTL: max(leaderLeaseTTL, o.MinLease), Now: o.Relay.Now, Logger: g.log,
		IsCandidate: func() bool {
			return !g.draining.Load() && g.view.Snapshot().Config != nil && !g.relay.Endpoints().IsCutOff()
		},
		// A leader that reaches endpoints only through others gives no orders.
		MustResign:   g.relay.Endpoints().IsCutOff,
		StandbyDelay: g.standbyDelay,
	})
	return g
}

// maxCrashesInCompany is the number of endpoints that a request may crash before gateways
// refuse it.
const maxCrashesInCompany = 3

// unknownEra stands for the era of the metadata store before its first answer.
const unknownEra = -1

const (
	// electionScope stands for the data centre in the election, so that the whole
	// fleet has one leader.
	electionScope = "fleet"
	// promptCandidates is the number of instances that campaign as soon as the leader
	// is lost. The others follow one after the other, each standbyStep later, and from
	// maxStandbyDelay on all together. minStandbyDelay is longer than an instance takes
	// to hear of a new leader, whose watch pauses between two changes.
	promptCandidates = 2
	minStandbyDelay  = 400 * time.Millisecond
	standbyStep      = 20 * time.Millisecond
	maxStandbyDelay  = 1200 * time.Millisecond
	// leaderLeaseTTL is the time after which the leader lease expires if it is not
	// renewed. Together with the minimum time between orders of two leaders it stays
	// below the time within which wanted weights must be loaded, 6 s.
	leaderLeaseTTL = 1500 * time.Millisecond
)

// standbyDelay returns how long this instance leaves the leadership to others while
// there is no leader. While the instances register, their ranks say little.
func (g *Gateway) standbyDelay() time.Duration {
	rank := g.rank.Load()
	switch {
	case g.opts.Relay.Now().Sub(g.started) < settleTime:
		return minStandbyDelay + rand.N(maxStandbyDelay-minStandbyDelay)
	case rank < promptCandidates:
		return 0
	}
	return min(minStandbyDelay+time.Duration(rank)*standbyStep, maxStandbyDelay)
}

// Run serves until ctx ends. It then drains the instance and returns when all
// requests are answered or the grace period is nearly over. It returns early with
// the error of a component that fails.
func (g *Gateway) Run(ctx context.Context) error {
	front, err := drainlistener.Listen("tcp4", g.opts.FrontAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	front.SetLimits(g.opts.Callers)
	// An instance that others can't reach must not become ready.
	peerListener, err := net.Listen("tcp4", g.opts.PeerAddr)
	if err != nil {
		front.Close()
		return errors.Wrap(err, "listen for other instances")
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	server := g.frontServer(front)
	group.Go(func() error { return ignoreClosed(server.Serve(front)) })
	if err := g.serveReadinessAndMetrics(workCtx, group); err != nil {
		return err
	}
	g.startControlLoops(ctx, workCtx, group)
	group.Go(func() error { return g.wire.Serve(workCtx, peerListener) })
	event.ProcessStarted.Log(g.log, slog.String("instance", g.opts.Instance), slog.String("dataCentre", g.opts.DataCentre))
	select {
	case <-ctx.Done():
		g.drain(server, front)
		stop()
	case <-workCtx.Done():
		server.Close()
	}
	return group.Wait()
}

// startControlLoops starts the loops that keep the view up to date and order
// endpoints to load weights. The election and the orders end with ctx, before the
// instance drains; all loops end with workCtx, so that the process ends if a component fails.
func (g *Gateway) startControlLoops(ctx, workCtx context.Context, group *errgroup.Group) {
	leadCtx := untilEither(ctx, workCtx)
	for _, w := range g.newWatchers(workCtx) {
		group.Go(func() error { return w.run(workCtx) })
	}
	group.Go(func() error { return g.suspension.run(workCtx) })
	group.Go(func() error { return g.registration.run(workCtx) })
	group.Go(func() error { return g.endSettling(workCtx) })
	group.Go(func() error { return g.suspects.run(workCtx) })
	group.Go(func() error { return g.software.run(workCtx, g.relay.Endpoints().ObserveSoftware) })
	group.Go(func() error { return g.originBatches.run(workCtx) })
	group.Go(func() error { return g.relay.Run(workCtx) })
	group.Go(func() error { return g.elector.Run(leadCtx) })
	group.Go(func() error { return g.runOrders(leadCtx) })
	group.Go(func() error { return g.expireEndpoints(workCtx) })
	group.Go(func() error { return g.exchange.Run(workCtx) })
	group.Go(func() error { return g.slots.Run(workCtx) })
	group.Go(func() error { return g.runCacheStores(workCtx) })
}

// untilEither returns a context that ends with either of two.
func untilEither(ctx, other context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(other, cancel)
	return ctx
}

// leads reports whether this instance holds the leader lease.
func (g *Gateway) leads() bool {
	_, leads := g.elector.FencingToken()
	return leads
}

// headerTimeout and idleTimeout are above all limits that configurations set, so
// that a caller within its configured limits is never cut off.
const (
	headerTimeout = 15 * time.Second
	idleTimeout   = 60 * time.Second
)

func (g *Gateway) frontServer(front *drainlistener.Listener) *http.Server {
	return &http.Server{
		Handler: g.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: g.opts.MaxHeaderBytes, ConnContext: relay.WithCallerConn, ConnState: front.RecordState, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

// serveReadinessAndMetrics starts the servers for readiness checks and metrics,
// which end with ctx.
func (g *Gateway) serveReadinessAndMetrics(ctx context.Context, group *errgroup.Group) error {
	routes := mux.NewRouter()
	routes.HandleFunc(g.opts.ReadyPath, g.serveReady).Methods(http.MethodGet)
	if err := g.serveProbes(ctx, group, g.opts.ReadyAddr, routes); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if g.opts.MetricsAddr == "" {
		return nil
	}
	return errors.Wrap(g.serveProbes(ctx, group, g.opts.MetricsAddr, g.metricsRoutes()), "listen for metrics")
}

// Limits of the servers for readiness checks and metrics, which few clients use.
const (
	maxProbeConns       = 64
	maxProbeHeaderBytes = 4 << 10
)

// withoutBody answers requests without waiting for their bodies, which net/http would read first.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only if the connection is closed
		}
		h.ServeHTTP(w, r)
	})
}

// serveProbes serves readiness checks or metrics at an address until ctx ends.
func (g *Gateway) serveProbes(ctx context.Context, group *errgroup.Group, address string, h http.Handler) error {
	l, err := drainlistener.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l.SetLimits(drainlistener.Limits{MaxConns: maxProbeConns, Heads: g.opts.Callers.Heads})
	s := &http.Server{
		Handler: withoutBody(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes, ConnState: l.RecordState,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	group.Go(func() error { return ignoreClosed(s.Serve(l)) })
	context.AfterFunc(ctx, func() { s.Close() })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady answers the balancer's check whether this instance should get new
// connections: with status 503 while it drains, has no configuration or no endpoints, or has
// not read what outlives all instances.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := g.view.Snapshot()
	if g.draining.Load() || s.Config == nil || len(s.Endpoints) == 0 || !g.firstReads.suffice(g.opts.Relay.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Timing of a shutdown. The balancer notices after two readiness checks, one second
// apart, that the process is not ready; callers' idle connections are closed only
// after that.
const (
	balancerNoticeTime = 3 * time.Second
	// drainGraceFraction is the fraction of the grace period after which pending
	// requests are cut off: work that endpoints have not finished in the last sixth
	// of the grace period can't be waited for.
	drainGraceFraction = 0.9
)

// lastAnswerFraction is the fraction of the grace period in which requests that were pending at
// its end are answered. It takes some milliseconds, on a busy machine some tens.
const lastAnswerFraction = 0.04

// lastCallFraction is the fraction of the grace period for the last call to the metadata store,
// after the pending requests have been answered.
const lastCallFraction = 0.03

// stopTimes returns the times of a stop that began at a time.
func (g *Gateway) stopTimes(began time.Time) relay.StopTimes {
	drainTime := time.Duration(drainGraceFraction * float64(g.opts.Grace))
	return relay.StopTimes{Began: began, Unrouted: began.Add(min(balancerNoticeTime, drainTime/2)), End: began.Add(drainTime)}
}

// drain reports the instance as not ready, waits until the balancer has noticed,
// closes the listener and waits until the pending requests are answered.
func (g *Gateway) drain(server *http.Server, front *drainlistener.Listener) {
	// While the process is suspended, the grace period goes on, and readiness checks fail.
	times := g.stopTimes(g.suspension.signalSent(time.Now()))
	event.ProcessDraining.Log(g.log)
	g.draining.Store(true)
	g.relay.Drain(times)
	g.tunnels.Drain()
	g.slots.Drain()
	time.Sleep(time.Until(times.Unrouted))
	ctx, cancel := context.WithDeadline(context.Background(), times.End)
	defer cancel()
	front.Stop()
	pending := front.Retire(ctx)
	if pending > 0 {
		event.RequestsCutOff.Log(g.log, slog.Int("connections", pending))
	}
	// A process that stood still until the end may have yet to accept the last connections.
	if pending > 0 || !front.HasEnded() {
		g.endPending(front)
	}
	server.Close()
	if !g.tunnels.Wait(ctx) {
		event.ProcessFailed.Log(g.log, slog.String("error", "connections of other instances were cut off near the end of the grace period"))
	}
}

// endPending ends the pending requests, and waits a moment for their callers to be answered.
func (g *Gateway) endPending(front *drainlistener.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(lastAnswerFraction*float64(g.opts.Grace)))
	defer cancel()
	g.relay.Stop()
	front.Retire(ctx)
}

// endpointExpiryInterval is the interval of checks for endpoints whose entries
// did not reappear after an outage of the metadata store, or came back with an older copy of it.
const endpointExpiryInterval = 200 * time.Millisecond

func (g *Gateway) expireEndpoints(ctx context.Context) error {
	return timer.Every(ctx, endpointExpiryInterval, func() {
		g.checkEndpoints()
		g.expireEvacuations()
	})
}

// checkEndpoints removes and lists endpoints whose time after the return of the metadata store is
// over.
func (g *Gateway) checkEndpoints() {
	g.view.ExpireLapsed(g.opts.Relay.Now())
	g.listHeldEndpoints()
}
