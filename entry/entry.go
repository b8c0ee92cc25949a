package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"redwingknot/datacentre"
	"redwingknot/endpoint"
	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/instance"
	"redwingknot/ledger"
	"redwingknot/metastore"
	"redwingknot/note"
	"redwingknot/serve"
	"redwingknot/suspect"
	"redwingknot/wire"
)

const (
	// followers is the number of instances of a data centre that read the log
	// of notes and stand for its lead; the others hear of notes from them.
	followers   = 2
	followerKey = "follower"
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxRememberedBlocks bounds what the routers remember of engines' caches.
	maxRememberedBlocks = 1 << 17
	// claimShards and claimWindow must be the same in all instances at all times,
	// or a key could be claimed twice; hence they are no settings.
	claimShards = 16
	claimWindow = time.Hour
	// epochSeparator stands between an instance's name and its incarnation.
	epochSeparator = "#"
)

// Entry is an entry instance. Its parts are safe for concurrent use; Run is
// called once.
type Entry struct {
	o        Options
	log      *slog.Logger
	kv       metastore.KV
	peers    peers
	members  *instance.Membership
	book     *note.Book
	lead     *datacentre.LeaderElector
	spread   *datacentre.NoteReplicator
	view     *endpoint.View
	orders   *endpoint.Orders
	ledger   *ledger.Ledger
	suspects *suspect.Client
	limits   *limits
	lists    *lists
	blocks   *blocks
	services *serve.Services
	serve    *serve.Server
	clients  *serve.EndpointClients
	wire     *wire.Server
	applied  atomic.Uint64 // head in force in this instance
	ready    atomic.Bool
	draining atomic.Bool
}

// New assembles an instance; it does nothing before Run.
func New(o Options, log *slog.Logger) (*Entry, error) {
	e := &Entry{o: o, log: log, wire: wire.NewServer([]byte(o.SharedKey)), clients: serve.NewEndpointClients()}
	e.kv = metastore.NewClient(metastore.ClientOptions{
		URLs: o.Platform,
		Budget: metastore.NewBudget(metastore.BudgetOptions{
			ReadsPerSecond: o.PlatformReads, ReadBurst: int(o.PlatformReads),
			WritesPerSecond: o.PlatformWrites, WriteBurst: int(o.PlatformWrites),
		}),
	})
	e.lists = &lists{kv: e.kv}
	e.services = serve.NewServices(serve.ServicesOptions{PrefillRate: o.PrefillRate, MaxCachedBlocks: maxRememberedBlocks})
	if err := e.newMembership(); err != nil {
		return nil, err
	}
	e.book = note.NewBook(note.BookOptions{KV: e.kv, Writer: e.processName(), Logger: log})
	e.newEndpoints()
	e.newLedger()
	e.newSuspects()
	e.blocks = newBlocks(e)
	e.limits = newLimits(o.ID, e.lists, e.members)
	e.limits.limiter.Register(e.wire)
	e.newServe()
	e.registerHead()
	return e, nil
}

func (e *Entry) newMembership() (err error) {
	e.members, err = instance.New(instance.Config{
		Self: instance.Member{
			ID: e.o.ID, Incarnation: uint64(time.Now().UnixNano()),
			DataCentre: e.o.DataCentre, Addr: e.o.PeerAdvertise,
		},
		Seeds: e.o.Seeds, Key: []byte(e.o.SharedKey), PlatformList: e.lists.instanceList, Logger: e.log,
	})
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	e.peers = peers{members: e.members, server: e.wire}
	e.members.Register(e.wire)
	return nil
}

func (e *Entry) newEndpoints() {
	e.lead = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: e.kv, DataCentre: e.o.DataCentre, InstanceID: e.o.ID, Logger: e.log,
		IsCandidate: func() bool { return e.follows() && !e.draining.Load() },
	})
	e.spread = datacentre.NewNoteReplicator(datacentre.NoteReplicatorConfig{Notes: e.book, Members: e.members, Logger: e.log})
	e.spread.Register(e.wire)
	e.view = endpoint.NewView(endpoint.ViewConfig{
		Members: e.members, State: e.book.State, Engine: e.engine, PlatformList: e.lists.endpointList(e.o.DataCentre),
	})
	e.view.Register(e.wire)
	e.orders = endpoint.NewOrders(endpoint.OrdersConfig{
		View: e.view, Lead: e.lead, KV: e.kv, Self: e.o.DataCentre, State: e.book.State, Engine: e.engine, Logger: e.log,
	})
}

func (e *Entry) newLedger() {
	e.ledger = ledger.New(ledger.Config{
		Shards: claimShards, WriteInterval: e.o.ClaimInterval, Window: claimWindow,
		OpenLog:  e.openClaimLog,
		Instance: e.processName(),
		Alive:    e.isAlive,
		Owner:    e.claimOwner,
		Remote:   ledger.WireRemote{Client: e.peers.named},
		Logger:   e.log,
	})
	e.ledger.Register(e.wire)
}

func (e *Entry) newSuspects() {
	k := suspect.NewServer(suspect.Config{}, nil)
	k.Register(e.wire)
	e.suspects = suspect.NewClient(suspect.ClientConfig{
		Instance: e.o.ID, DataCentre: e.o.DataCentre, Members: e.peers.suspects, Dial: e.peers.at, Local: k,
	})
}

func (e *Entry) newServe() {
	e.serve = serve.New(serve.Options{
		DataCentre: e.o.DataCentre,
		State:      e.book.State, Ready: e.ready.Load, OperatorHash: e.o.OperatorHash,
		Services: e.services, Limits: e.limits, Keeper: e.blocks.keeper, Suspects: e.suspects, Ledger: e.ledger,
		Clients: e.clients, Logger: e.log,
		MaxBodyBytes: int64(e.o.MaxBodyKiB) << 10, MaxReplyBytes: int64(e.o.MaxReplyKiB) << 10,
		BodyTimeout: e.o.BodyTimeout, StallTimeout: e.o.StallTimeout, FirstTokenTimeoutFactor: e.o.FirstTokenFactor, MaxAttempts: e.o.Attempts,
	})
}

// processName is the name of this process, which no later one bears.
func (e *Entry) processName() string {
	return e.o.ID + epochSeparator + strconv.FormatUint(e.members.Self().Incarnation, 10)
}

// openClaimLog opens the log of a shard of claims.
func (e *Entry) openClaimLog(shard int, f metastore.StateMachine) metastore.Log {
	return metastore.OpenLog(e.kv, metastore.LogOptions{
		Name: claimLog + strconv.Itoa(shard), StateMachine: f, Writer: e.processName(), Purpose: purposeClaims, Logger: e.log,
	})
}

// isAlive reports whether the process of that name may still run.
func (e *Entry) isAlive(process string) bool {
	id, epoch, _ := strings.Cut(process, epochSeparator)
	for _, m := range e.members.Members() {
		if m.ID == id {
			return strconv.FormatUint(m.Incarnation, 10) == epoch
		}
	}
	return false
}

// claimOwner returns the instance that batches the claims of a shard: one of
// all data centres in contact, so that the writes don't grow with them.
func (e *Entry) claimOwner(shard int) (string, bool) {
	var ready []instance.Member
	for _, m := range e.members.Members() {
		if m.Ready && !m.Leaving {
			ready = append(ready, m)
		}
	}
	owner := instance.Owner(fmt.Sprintf("claims/%d", shard), ready)
	return owner.ID, owner.ID == "" || owner.ID == e.o.ID
}

// follows reports whether this instance reads the log of notes.
func (e *Entry) follows() bool { return e.members.IsAmongFirst(followerKey, followers) }

func (e *Entry) engine(ep note.Endpoint) engine.Engine {
	return engine.NewClient(ep.URL, e.clients.Shared)
}

// engineNamed returns the engine of that name in the configuration in force.
func (e *Entry) engineNamed(name string) engine.Engine {
	return engine.NewClient(e.services.EndpointURL(name), e.clients.Shared)
}

// Run serves until ctx ends and then drains: no new requests, running ones end,
// the lead and the outcomes of claims are handed over.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	others, err := net.Listen("tcp", e.o.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	server := e.httpServer()
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	control, stopControl := context.WithCancel(life)
	defer stopControl()
	g, life := errgroup.WithContext(life)
	g.Go(func() error { return e.wire.Serve(life, others) })
	g.Go(func() error { return ignoreClosed(server.Serve(callers)) })
	for _, c := range e.components() {
		g.Go(func() error { return supervise(control, c, e.log) })
	}
	event.ProcessStarted.Log(e.log, slog.String("instance", e.o.ID), slog.String("data_centre", e.o.DataCentre), slog.String("listen", callers.Addr().String()))
	select {
	case <-ctx.Done():
	case <-life.Done():
	}
	e.drain(server)
	stopControl()
	stop()
	return g.Wait()
}

// httpServer bounds what a caller can make the instance hold.
func (e *Entry) httpServer() *http.Server {
	return &http.Server{
		Handler: e.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: e.o.MaxHeaderKiB << 10,
		ErrorLog:       slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain ends the instance's work within the drain timeout. Other instances
// learn first, so that they stop using this one while it still answers.
func (e *Entry) drain(server *http.Server) {
	event.ProcessDraining.Log(e.log)
	e.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.o.DrainTimeout)
	defer cancel()
	e.members.Leave(ctx)
	e.logDrain("requests", e.serve.Drain(ctx))
	e.logDrain("claims", e.ledger.Drain(ctx))
	e.suspects.Wait()
	e.logDrain("connections", server.Shutdown(ctx))
	e.ledger.Close()
}

func (e *Entry) logDrain(part string, err error) {
	if err != nil {
		event.ComponentFailed.Log(e.log, slog.String("component", "drain "+part), slog.Any("error", err))
	}
}

// components are the parts that run in the background.
func (e *Entry) components() []component {
	f := e.newFeed()
	list := []component{
		{"membership", e.members.Run},
		{"notes", e.followNotes},
		{"configuration", e.applyConfig},
		{"spread", e.spread.Run},
		{"lead", e.lead.Run},
		{"view", e.view.Run},
		{"orders", e.orders.Run},
		{"reports", f.runReports},
		{"events", f.runEvents},
		{"limits", e.limits.run(e.peers)},
		{"lists", e.lists.run},
		{"spill", f.runSpill},
		{"marks", e.markInForce},
	}
	return append(list, e.blocks.components()...)
}

func (e *Entry) newFeed() *feed {
	return &feed{
		state: e.book.State, view: e.view, services: e.services, engine: e.engine,
		local: e.o.DataCentre, seen: map[string]time.Time{}, events: map[string]uint64{},
		budget: rate.NewLimiter(eventBytesPerSecond, eventBurstBytes),
	}
}
