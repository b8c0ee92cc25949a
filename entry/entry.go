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
	"redwingknot/internal/drainlistener"
	"redwingknot/ledger"
	"redwingknot/membudget"
	"redwingknot/metastore"
	"redwingknot/note"
	"redwingknot/serve"
	"redwingknot/suspect"
	"redwingknot/wire"
)

const (
	// noteFollowers is the number of instances of a data centre that read the log of notes
	// and are candidates for its leader. The other instances get the notes from them.
	noteFollowers = 2
	// followerKey is the key by which the instances are ranked as followers.
	followerKey = "follower"
	// headerTimeout bounds the time in which a request's header has to arrive.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed.
	idleTimeout = 2 * time.Minute
	// maxCachedBlocks bounds the cached blocks of engines that the routers of all services
	// track together.
	maxCachedBlocks = 1 << 17
	// claimShards and claimWindow must be the same in all instances at all times, because
	// otherwise a key could be claimed twice. For this reason they are not settings.
	claimShards = 16
	claimWindow = time.Hour
	// incarnationSeparator separates an instance's identifier from its incarnation in the
	// name of a process.
	incarnationSeparator = "#"
)

// Entry is an entry instance. Its components are safe for concurrent use. Run may be
// called only once.
type Entry struct {
	opts          Options
	log           *slog.Logger
	kv            metastore.KV
	peers         peers
	members       *instance.Membership
	book          *note.Book
	elector       *datacentre.LeaderElector
	replicator    *datacentre.NoteReplicator
	endpointView  *endpoint.View
	orders        *endpoint.Orders
	ledger        *ledger.Ledger
	suspects      *suspect.Client
	teamLimits    *limits
	platformLists *platformLists
	blocks        *blockManager
	services      *serve.Services
	server        *serve.Server
	clients       *serve.EndpointClients
	wire          *wire.Server
	appliedHead   atomic.Uint64 // number of the last note in force in this instance
	ready         atomic.Bool
	draining      atomic.Bool
}

// New assembles an instance from its options. The instance does nothing until Run is
// called.
func New(opts Options, log *slog.Logger) (*Entry, error) {
	e := &Entry{opts: opts, log: log, wire: wire.NewServer([]byte(opts.SharedKey)), clients: serve.NewEndpointClients()}
	e.kv = metastore.NewClient(metastore.ClientOptions{
		URLs: opts.Platform,
		Budget: metastore.NewBudget(metastore.BudgetOptions{
			ReadsPerSecond: opts.PlatformReads, ReadBurst: int(opts.PlatformReads),
			WritesPerSecond: opts.PlatformWrites, WriteBurst: int(opts.PlatformWrites),
		}),
	})
	e.platformLists = &platformLists{kv: e.kv}
	e.services = serve.NewServices(serve.ServicesOptions{PrefillRate: opts.PrefillRate, MaxCachedBlocks: maxCachedBlocks})
	if err := e.newMembership(); err != nil {
		return nil, err
	}
	e.book = note.NewBook(note.BookOptions{KV: e.kv, Writer: e.processName(), Logger: log})
	e.newEndpointControl()
	e.newLedger()
	e.newSuspectClient()
	e.blocks = newBlockManager(e)
	e.teamLimits = newLimits(opts.ID, e.platformLists, e.members)
	e.teamLimits.limiter.Register(e.wire)
	e.newServer()
	e.registerHead()
	return e, nil
}

// newMembership creates the membership and the callers of the other instances.
func (e *Entry) newMembership() (err error) {
	e.members, err = instance.New(instance.Config{
		Self: instance.Member{
			ID: e.opts.ID, Incarnation: uint64(time.Now().UnixNano()),
			DataCentre: e.opts.DataCentre, Addr: e.opts.PeerAdvertise,
		},
		Seeds: e.opts.Seeds, Key: []byte(e.opts.SharedKey), PlatformList: e.platformLists.readInstances, Logger: e.log,
	})
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	e.peers = peers{members: e.members, server: e.wire}
	e.members.Register(e.wire)
	return nil
}

// newEndpointControl creates the leader election, the replication of notes, and the view of
// the endpoints and the orders to them.
func (e *Entry) newEndpointControl() {
	e.elector = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: e.kv, DataCentre: e.opts.DataCentre, InstanceID: e.opts.ID, Logger: e.log,
		IsCandidate: func() bool { return e.isNoteFollower() && !e.draining.Load() },
	})
	e.replicator = datacentre.NewNoteReplicator(datacentre.NoteReplicatorConfig{Notes: e.book, Members: e.members, Logger: e.log})
	e.replicator.Register(e.wire)
	e.endpointView = endpoint.NewView(endpoint.ViewConfig{
		Members: e.members, State: e.book.State, Engine: e.engineClient, PlatformList: e.platformLists.endpointReader(e.opts.DataCentre),
	})
	e.endpointView.Register(e.wire)
	e.orders = endpoint.NewOrders(endpoint.OrdersConfig{
		View: e.endpointView, Leader: e.elector, KV: e.kv, Self: e.opts.DataCentre, State: e.book.State, Engine: e.engineClient, Logger: e.log,
	})
}

// newLedger creates the ledger of non-idempotent calls.
func (e *Entry) newLedger() {
	e.ledger = ledger.New(ledger.Config{
		Shards: claimShards, WriteInterval: e.opts.ClaimInterval, Window: claimWindow,
		OpenLog:  e.openClaimLog,
		Instance: e.processName(),
		Alive:    e.mayBeRunning,
		Owner:    e.claimShardOwner,
		Remote:   ledger.WireRemote{Client: e.peers.callerOf},
		Logger:   e.log,
	})
	e.ledger.Register(e.wire)
}

// newSuspectClient creates the client with which the data path checks for suspect
// requests, and this instance's server for the clients of all instances.
func (e *Entry) newSuspectClient() {
	server := suspect.NewServer(suspect.Config{}, nil)
	server.Register(e.wire)
	e.suspects = suspect.NewClient(suspect.ClientConfig{
		Instance: e.opts.ID, DataCentre: e.opts.DataCentre, Members: e.peers.suspectMembers, Dial: e.peers.callerAt, Local: server,
	})
}

// newServer creates the data path.
func (e *Entry) newServer() {
	e.server = serve.New(serve.Options{
		DataCentre: e.opts.DataCentre,
		State:      e.book.State, Ready: e.ready.Load, OperatorHash: e.opts.OperatorHash,
		Services: e.services, Limits: e.teamLimits, Keeper: e.blocks.keeper, Suspects: e.suspects, Ledger: e.ledger,
		Clients: e.clients, Logger: e.log,
		MaxBodyBytes: int64(e.opts.MaxBodyKiB) << 10, MaxReplyBytes: int64(e.opts.MaxReplyKiB) << 10,
		BodyTimeout: e.opts.BodyTimeout, StallTimeout: e.opts.StallTimeout, FirstTokenTimeoutFactor: e.opts.FirstTokenFactor, MaxAttempts: e.opts.Attempts,
	})
}

// processName returns the name of this process: the instance's identifier and incarnation.
// No later process has the same name.
func (e *Entry) processName() string {
	return e.opts.ID + incarnationSeparator + strconv.FormatUint(e.members.Self().Incarnation, 10)
}

// openClaimLog opens the log of claims of a shard, whose entries are applied to f.
func (e *Entry) openClaimLog(shard int, f metastore.StateMachine) metastore.Log {
	return metastore.OpenLog(e.kv, metastore.LogOptions{
		Name: claimLogPrefix + strconv.Itoa(shard), StateMachine: f, Writer: e.processName(), Purpose: purposeClaims, Logger: e.log,
	})
}

// mayBeRunning reports whether the process with the given name may still be running. This
// is so if a live member has the identifier and the incarnation in the name.
func (e *Entry) mayBeRunning(process string) bool {
	id, incarnation, _ := strings.Cut(process, incarnationSeparator)
	for _, m := range e.members.Members() {
		if m.ID == id {
			return strconv.FormatUint(m.Incarnation, 10) == incarnation
		}
	}
	return false
}

// claimShardOwner returns the instance that batches the claims of a shard, and whether this
// instance writes to the shard's log itself, because it is the owner or there is none. The
// owner is one of the instances of all data centres in contact, so that the number of writes
// does not grow with the number of data centres.
func (e *Entry) claimShardOwner(shard int) (string, bool) {
	var ready []instance.Member
	for _, m := range e.members.Members() {
		if m.Ready && !m.Leaving {
			ready = append(ready, m)
		}
	}
	owner := instance.Owner(fmt.Sprintf("claims/%d", shard), ready)
	return owner.ID, owner.ID == "" || owner.ID == e.opts.ID
}

// isNoteFollower reports whether this instance reads the log of notes.
func (e *Entry) isNoteFollower() bool { return e.members.RanksAmongFirst(followerKey, noteFollowers) }

// engineClient returns a client of the engine at an endpoint.
func (e *Entry) engineClient(ep note.Endpoint) engine.Engine {
	return engine.NewClient(ep.URL, e.clients.Shared)
}

// engineClientByName returns a client of the engine at the endpoint with the given name in
// the configuration in force.
func (e *Entry) engineClientByName(name string) engine.Engine {
	return engine.NewClient(e.services.EndpointURL(name), e.clients.Shared)
}

// Run serves until ctx ends, a server fails or the instance is superseded, and then
// drains: requests that end in time finish, others are refused or ended, the outcomes of
// claims are written, and the leader lease is given up if the instance holds it.
func (e *Entry) Run(ctx context.Context) error {
	callerListener, err := drainlistener.Listen("tcp", e.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	callerListener.SetLimits(drainlistener.Limits{
		MaxConns: drainlistener.MaxConns(drainlistener.Descriptors()), Heads: membudget.New(int64(headShare * float64(e.opts.MemoryMiB) * (1 << 20))),
	})
	peerListener, err := net.Listen("tcp", e.opts.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	server := e.httpServer(callerListener)
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	componentCtx, stopComponents := context.WithCancel(serveCtx)
	defer stopComponents()
	g, serveCtx := errgroup.WithContext(serveCtx)
	g.Go(func() error { return e.wire.Serve(serveCtx, peerListener) })
	g.Go(func() error { return ignoreClosed(server.Serve(callerListener)) })
	for _, c := range e.components() {
		g.Go(func() error { return supervise(componentCtx, c, e.log) })
	}
	event.ProcessStarted.Log(e.log, slog.String("instance", e.opts.ID), slog.String("data_centre", e.opts.DataCentre), slog.String("listen", callerListener.Addr().String()))
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
	}
	e.drain(server, callerListener)
	stopComponents()
	stopServing()
	return g.Wait()
}

// headShare is the fraction of the memory limit that the heads of callers' requests may use.
const headShare = 0.1

// httpServer returns the server for callers and operators. Its limits bound the memory and
// the idle connections that a caller can make the instance hold.
func (e *Entry) httpServer(l *drainlistener.Listener) *http.Server {
	return &http.Server{
		Handler: e.closing(e.routes()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: e.server.BaseContext, ConnState: l.RecordState,
		MaxHeaderBytes: e.opts.MaxHeaderKiB << 10,
		ErrorLog:       slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
}

// ignoreClosed returns err, or nil if err is http.ErrServerClosed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// components returns the parts of the instance that run in the background.
func (e *Entry) components() []component {
	f := e.newFeed()
	list := []component{
		{"membership", e.members.Run},
		{"notes", e.followNotes},
		{"configuration", e.applyConfig},
		{"spread", e.replicator.Run},
		{"lead", e.elector.Run},
		{"view", e.endpointView.Run},
		{"orders", e.orders.Run},
		{"reports", f.runReports},
		{"events", f.runEvents},
		{"limits", e.teamLimits.runFunc(e.peers)},
		{"lists", e.platformLists.run},
		{"spill", f.runSpill},
		{"marks", e.markInForce},
	}
	return append(list, e.blocks.components()...)
}

// newFeed returns the feed of the routers.
func (e *Entry) newFeed() *feed {
	return &feed{
		state: e.book.State, view: e.endpointView, services: e.services, engineClient: e.engineClient,
		dataCentre: e.opts.DataCentre, lastReportAt: map[string]time.Time{}, lastEventSeq: map[string]uint64{},
		byteBudget: rate.NewLimiter(eventBytesPerSecond, eventBurstBytes),
	}
}
