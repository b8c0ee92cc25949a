package gateway

import (
	"context"
	"log/slog"
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
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/relay"
	"redwingknot/wire"
)

// Options are what a Gateway needs. They are the wiring's to fill: the gateway
// itself knows no names of the machines that it runs on.
type Options struct {
	Instance    string
	DataCentre  string
	FrontAddr   string // listen address for callers
	ReadyAddr   string // listen address for checks of readiness
	ReadyPath   string
	MetricsAddr string // listen address for metrics, empty for none
	PeerAddr    string // listen address for other instances

	Relay     relay.Options
	KV        metastore.KV
	Schema    Schema
	Endpoints EndpointClient
	// Caches reaches the stores of Relay.Cache.
	Caches CacheStoreClient

	Grace          time.Duration // from the request to stop until the process is killed
	ApplyTime      time.Duration // within which a configuration must be in force
	OrderLease     time.Duration // least time between orders of two holders
	MinLease       time.Duration // shortest lease of the metadata store
	MaxHeaderBytes int           // bytes of a request's header
}

// Schema turns keys of the metadata store into what the view holds.
type Schema interface {
	// OperatorRange returns the range of the operator's keys.
	OperatorRange() (from, to string)
	// EndpointRange returns the range of the endpoints' entries.
	EndpointRange() (from, to string)
	ApplyOperator(v *fleet.View, e metastore.Entry) (changed bool, err error)
	ApplyEndpoint(v *fleet.View, e metastore.Entry, now time.Time) error
	// EndpointID returns the identifier in a key of an endpoint.
	EndpointID(key string) string
}

// Gateway is an instance. Run is called once.
type Gateway struct {
	o        Options
	log      *slog.Logger
	view     *fleet.View
	relay    *relay.Server
	lead     *datacentre.LeaderElector
	members  *members
	wire     *wire.Server
	exchange *peers.Exchange
	draining atomic.Bool
	started  time.Time
}

// New returns a Gateway that does nothing before Run.
func New(o Options) *Gateway {
	g := &Gateway{o: o, log: o.Relay.Log, view: o.Relay.View, started: o.Relay.Now()}
	g.o.Relay.OtherLoads = peers.NewTable()
	g.o.Relay.SendPlacements = func(list []peers.Placement) { g.exchange.QueuePlacements(list) }
	g.relay = relay.NewServer(g.o.Relay)
	g.members = &members{kv: o.KV, self: o.Instance, address: o.PeerAddr, ttl: max(memberTTL, o.MinLease)}
	g.newExchange()
	g.lead = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: o.KV, DataCentre: leadScope, InstanceID: o.Instance, TTL: max(leadTTL, o.MinLease), Now: o.Relay.Now, Logger: g.log,
		IsCandidate: func() bool { return !g.draining.Load() && g.view.Snapshot().Config != nil },
	})
	return g
}

const (
	// leadScope names the one lead of the whole fleet.
	leadScope = "fleet"
	// leadTTL and the least time between holders together stay below the time
	// within which named weights must run, 6 s.
	leadTTL = 1500 * time.Millisecond
)

// Run serves until ctx ends, then hands over and returns when all requests are
// answered or the grace time is nearly over.
func (g *Gateway) Run(ctx context.Context) error {
	front, err := net.Listen("tcp4", g.o.FrontAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	server := g.frontServer()
	group.Go(func() error { return ignoreClosed(server.Serve(front)) })
	if err := g.serveAside(work, group); err != nil {
		return err
	}
	g.startControl(ctx, work, group)
	event.ProcessStarted.Log(g.log, slog.String("instance", g.o.Instance), slog.String("dataCentre", g.o.DataCentre))
	select {
	case <-ctx.Done():
		g.drain(server)
		stop()
	case <-work.Done():
		server.Close()
	}
	return group.Wait()
}

// startControl starts what keeps the view and orders engines. Orders end with
// ctx, the rest with work.
func (g *Gateway) startControl(ctx, work context.Context, group *errgroup.Group) {
	for _, f := range g.followers(work) {
		group.Go(func() error { return f.run(work) })
	}
	group.Go(func() error { return g.members.run(work) })
	group.Go(func() error { return g.relay.Run(work) })
	group.Go(func() error { return g.lead.Run(ctx) })
	group.Go(func() error { return g.runOrders(ctx) })
	group.Go(func() error { return g.expire(work) })
	group.Go(func() error { return g.servePeers(work) })
	group.Go(func() error { return g.exchange.Run(work) })
	group.Go(func() error { return g.runCaches(work) })
}

// headerTimeout and idleTimeout are above all limits that configurations set:
// who keeps to those is never cut off.
const (
	headerTimeout = 15 * time.Second
	idleTimeout   = 60 * time.Second
)

func (g *Gateway) frontServer() *http.Server {
	return &http.Server{
		Handler: g.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: g.o.MaxHeaderBytes, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

// serveAside serves readiness and metrics.
func (g *Gateway) serveAside(ctx context.Context, group *errgroup.Group) error {
	routes := mux.NewRouter()
	routes.HandleFunc(g.o.ReadyPath, g.serveReady).Methods(http.MethodGet)
	if err := serve(ctx, group, g.o.ReadyAddr, routes); err != nil {
		return errors.Wrap(err, "listen for checks")
	}
	if g.o.MetricsAddr == "" {
		return nil
	}
	return errors.Wrap(serve(ctx, group, g.o.MetricsAddr, metric.Handler()), "listen for metrics")
}

func serve(ctx context.Context, group *errgroup.Group, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
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

// serveReady tells the balancer whether this instance should get new
// connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := g.view.Snapshot()
	if g.draining.Load() || s.Config == nil || len(s.Endpoints) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stopping a process: the balancer notices after two checks a second apart that
// it is not ready; callers' idle connections are closed only after that.
const (
	noticeTime = 3 * time.Second
	// graceUsed is the part of the grace time after which answers are cut: what
	// endpoints still work on in its last sixth can't be waited for.
	graceUsed = 0.9
)

// drain takes no new connections and waits for the answers that are due.
func (g *Gateway) drain(server *http.Server) {
	started := time.Now()
	event.ProcessDraining.Log(g.log)
	g.draining.Store(true)
	g.relay.Drain()
	end := time.Duration(graceUsed * float64(g.o.Grace))
	time.Sleep(min(noticeTime, end/2))
	ctx, cancel := context.WithTimeout(context.Background(), end-time.Since(started))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		event.ProcessFailed.Log(g.log, slog.String("error", "answers were cut off at the end of the grace time: "+err.Error()))
		server.Close()
	}
}

// expireInterval is the time between looks for entries that did not come back.
const expireInterval = 200 * time.Millisecond

func (g *Gateway) expire(ctx context.Context) error {
	return timer.Every(ctx, expireInterval, func() { g.view.ExpireLapsed(g.o.Relay.Now()) })
}
