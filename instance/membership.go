package instance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"redwingknot/event"
	"redwingknot/instance/instancepb"
	"redwingknot/metric"
	"redwingknot/wire"
)

// MethodHeartbeat is the wire method that handles heartbeats.
const MethodHeartbeat = "instance.heartbeat"

// platformListInterval is the time between two reads of the platform's list.
const platformListInterval = 10 * time.Second

// platformListReaders is the number of instances of a data centre that read the
// platform's list.
const platformListReaders = 2

// NumberKind is the kind of a value that heartbeats carry to other instances.
type NumberKind uint32

// Kinds of values that components publish.
const (
	// NumberNoteHead is the number of the last note in force.
	NumberNoteHead NumberKind = 1
)

// PlatformList returns the platform's list of instances, which may be out of
// date.
type PlatformList func(ctx context.Context) ([]ListedInstance, error)

// Config configures a Membership. Dial, Caller, PlatformList, Now, Rand and Logger
// are optional.
type Config struct {
	Self         Member   // this instance; ID, DataCentre and Addr are required
	Seeds        []string // addresses of some instances, to find the others
	Key          []byte   // the deployment's shared key
	Dial         wire.DialFunc
	Caller       Caller // used instead of connections made with Key and Dial
	PlatformList PlatformList
	Now          func() time.Time
	Rand         *rand.Rand
	Logger       *slog.Logger
}

// Membership runs the membership protocol for one instance and gives access to
// its view of all instances. It is safe for concurrent use.
type Membership struct {
	cfg    Config
	pool   *ConnectionPool // nil if the configuration gave a Caller
	caller Caller

	mu                 sync.Mutex
	view               *view
	notifiedGeneration uint64          // generation of the view at the last notification
	loggedMembers      map[string]bool // live members, by identifier, at the last logMemberChanges
	changeWaiters      []chan struct{} // closed at the next change of the view
	numberHandlers     []func(Member, NumberKind, uint64)
	callsInFlight      sync.WaitGroup
}

// New returns the membership of the instance cfg.Self. It sends no heartbeats
// before Run is called. If a required setting is missing, the error is a
// *ConfigError.
func New(cfg Config) (*Membership, error) {
	if err := cfg.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	m := &Membership{
		cfg:           cfg,
		caller:        cfg.Caller,
		view:          newView(cfg.Self, cfg.Seeds, cfg.Rand, cfg.Now()),
		loggedMembers: map[string]bool{},
	}
	if m.caller == nil {
		m.pool = NewConnectionPool(cfg.Key, cfg.Dial, cfg.Now)
		m.caller = m.pool
	}
	return m, nil
}

// checkAndSetDefaults returns a *ConfigError if a required field of Self is empty,
// and sets the defaults of Now, Rand and Logger.
func (c *Config) checkAndSetDefaults() error {
	switch {
	case c.Self.ID == "":
		return &ConfigError{Setting: "ID"}
	case c.Self.DataCentre == "":
		return &ConfigError{Setting: "DataCentre"}
	case c.Self.Addr == "":
		return &ConfigError{Setting: "Addr"}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(RendezvousScore("seed", c.Self.ID), c.Self.Incarnation))
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return nil
}

// Register adds the handler of MethodHeartbeat to s.
func (m *Membership) Register(s *wire.Server) {
	wire.Handle(s, MethodHeartbeat, m.HandleHeartbeat)
}

// HandleHeartbeat handles a heartbeat of another instance and returns the answer.
// It fails with wire.FailureMalformed if the sender's record is invalid.
func (m *Membership) HandleHeartbeat(_ context.Context, req *instancepb.Heartbeat) (*instancepb.Heartbeat, error) {
	if decodeRecord(req.From) == nil {
		return nil, wire.Fail(wire.FailureMalformed, "heartbeat without sender")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.view.handleRequest(m.cfg.Now(), req)
	m.notify(req)
	return answer, nil
}

// Run sends heartbeats until ctx ends, and then returns nil. If another process
// with this instance's identifier and a higher incarnation has joined, it returns
// a *SupersededError.
func (m *Membership) Run(ctx context.Context) error {
	defer m.closePool()
	defer m.callsInFlight.Wait()
	m.runRound(ctx)
	roundTicker := time.NewTicker(heartbeatInterval)
	defer roundTicker.Stop()
	listTicker := time.NewTicker(platformListInterval)
	defer listTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-roundTicker.C:
			m.runRound(ctx)
		case <-listTicker.C:
			m.readPlatformList(ctx)
		}
		if err := m.checkSuperseded(); err != nil {
			return err
		}
	}
}

// checkSuperseded logs and returns a *SupersededError if another process has
// superseded this one.
func (m *Membership) checkSuperseded() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.supersededBy == 0 {
		return nil
	}
	event.InstanceSuperseded.Log(m.cfg.Logger, slog.String("id", m.cfg.Self.ID))
	return &SupersededError{ID: m.cfg.Self.ID, OwnIncarnation: m.view.self.Incarnation, OtherIncarnation: m.view.supersededBy}
}

// runRound starts the heartbeats of one round and closes idle connections.
func (m *Membership) runRound(ctx context.Context) {
	m.mu.Lock()
	out := m.view.tick(m.cfg.Now())
	m.notify(nil)
	metric.Gauge("instance_live_members").Update(int64(len(m.view.liveMembers(m.cfg.Now()))))
	m.mu.Unlock()
	m.sendHeartbeats(ctx, out)
	if m.pool != nil {
		m.pool.closeIdle()
	}
}

func (m *Membership) closePool() {
	if m.pool != nil {
		m.pool.Close()
	}
}

// sendHeartbeats starts a call for each heartbeat and does not wait for answers.
func (m *Membership) sendHeartbeats(ctx context.Context, out []outgoingHeartbeat) {
	for _, o := range out {
		m.callsInFlight.Go(func() { m.probe(ctx, o) })
	}
}

// probe sends one heartbeat and passes the answer, or the lack of a valid one, to
// the view. It then starts the heartbeats that the view sends in response. A call
// that ends because parent was cancelled is ignored.
func (m *Membership) probe(parent context.Context, o outgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	var answer instancepb.Heartbeat
	err := m.caller.Call(ctx, o.to.addr, MethodHeartbeat, o.msg, &answer)
	metric.Counter("instance_heartbeats_total", "result", resultOf(err)).Inc(1)
	if context.Cause(ctx) == context.Canceled {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || decodeRecord(answer.From) == nil {
		m.view.handleNoAnswer(m.cfg.Now(), o.to)
		m.notify(nil)
		return
	}
	followUps := m.view.handleAnswer(m.cfg.Now(), o.to, &answer)
	m.notify(&answer)
	if !o.followUp {
		m.sendHeartbeats(parent, followUps)
	}
}

// resultOf returns the result label of the heartbeat counter.
func resultOf(err error) string {
	if err != nil {
		return "unanswered"
	}
	return "answered"
}

// readPlatformList reads and merges the platform's list in the background. Only
// platformListReaders instances of a data centre do so, so that the number of
// calls to the platform doesn't grow with the number of instances.
func (m *Membership) readPlatformList(ctx context.Context) {
	if m.cfg.PlatformList == nil || !m.RanksAmongFirst("platform-list", platformListReaders) {
		return
	}
	m.callsInFlight.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, platformListInterval)
		defer cancel()
		list, err := m.cfg.PlatformList(ctx)
		if err != nil {
			metric.Counter("instance_list_failures_total").Inc(1)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.view.mergePlatformList(m.cfg.Now(), list)
		m.notify(nil)
	})
}

// notify passes the numbers in msg, if not nil, to the handlers of OnHeartbeatNumber. If the
// view has changed since the last call, it logs members that joined or were lost
// and closes the channels of Changed. The caller must hold m.mu.
func (m *Membership) notify(msg *instancepb.Heartbeat) {
	if msg != nil {
		from := memberOf(msg.From)
		for _, n := range msg.Numbers {
			for _, f := range m.numberHandlers {
				f(from, NumberKind(n.Kind), n.Value)
			}
		}
	}
	if m.view.generation == m.notifiedGeneration {
		return
	}
	m.notifiedGeneration = m.view.generation
	m.logMemberChanges()
	for _, w := range m.changeWaiters {
		close(w)
	}
	m.changeWaiters = nil
}

// logMemberChanges logs the members that joined or were lost since the last call.
// The caller must hold m.mu.
func (m *Membership) logMemberChanges() {
	live := map[string]bool{}
	for _, member := range m.view.liveMembers(m.cfg.Now()) {
		live[member.ID] = true
		if !m.loggedMembers[member.ID] {
			event.InstanceJoined.Log(m.cfg.Logger, slog.String("id", member.ID), slog.String("data_centre", member.DataCentre))
		}
	}
	for id := range m.loggedMembers {
		if !live[id] {
			event.InstanceLost.Log(m.cfg.Logger, slog.String("id", id))
		}
	}
	m.loggedMembers = live
}

// memberOf returns the Member in p, or the zero Member if p is invalid.
func memberOf(p *instancepb.Record) Member {
	if r := decodeRecord(p); r != nil {
		return r.Member
	}
	return Member{}
}

// Changed returns a channel that is closed when the view next changes.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := make(chan struct{})
	m.changeWaiters = append(m.changeWaiters, w)
	return w
}

// OnHeartbeatNumber registers f to be called with each number in every received heartbeat.
// It must be called before Run. f must not block or call methods of m, because it
// is called with m's mutex held.
func (m *Membership) OnHeartbeatNumber(f func(from Member, kind NumberKind, value uint64)) {
	m.numberHandlers = append(m.numberHandlers, f)
}

// Publish sets the value of a number in this instance's heartbeats.
func (m *Membership) Publish(kind NumberKind, value uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.numbers[kind] = value
}

// SetReady sets whether this instance is ready to serve, and informs the others.
func (m *Membership) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.setSelf(m.cfg.Now(), ready, false)
	m.notify(nil)
}

// Leave announces a planned stop to the instances of this data centre that are not
// marked as failed. It returns when each call has been answered, has failed or has
// timed out. Until its context ends, Run continues and spreads the announcement
// further.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.view.setSelf(m.cfg.Now(), m.view.self.Ready, true)
	out := m.view.leaveHeartbeats(m.cfg.Now())
	m.notify(nil)
	m.mu.Unlock()
	var wait sync.WaitGroup
	for _, o := range out {
		wait.Go(func() { m.probe(ctx, o) })
	}
	wait.Wait()
}

// Self returns the Member of this instance.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.self.Member
}

// Caller returns the Caller that sends the heartbeats, so that other components
// can use the same connections.
func (m *Membership) Caller() Caller { return m.caller }

// Members returns the live members of all data centres in contact, including this
// instance, sorted by identifier.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.liveMembers(m.cfg.Now())
}

// MembersIn returns the live members of a data centre that are not leaving, sorted by
// identifier.
func (m *Membership) MembersIn(dataCentre string) []Member {
	var list []Member
	for _, member := range m.Members() {
		if member.DataCentre == dataCentre && !member.Leaving {
			list = append(list, member)
		}
	}
	return list
}

// IsAlive reports whether the instance with identifier id is a live member. An
// instance that is leaving still is one.
func (m *Membership) IsAlive(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.view.records[id]
	return r != nil && m.view.isLive(m.cfg.Now(), r)
}

// OwnerOf returns the owner of key among the live and ready members of this data
// centre that are not leaving, or the zero Member if there are none.
func (m *Membership) OwnerOf(key string) Member {
	return m.OwnerIn(m.cfg.Self.DataCentre, key)
}

// OwnerIn is like OwnerOf for the given data centre.
func (m *Membership) OwnerIn(dataCentre, key string) Member {
	var ready []Member
	for _, member := range m.MembersIn(dataCentre) {
		if member.Ready {
			ready = append(ready, member)
		}
	}
	return Owner(key, ready)
}

// RanksAmongFirst reports whether this instance is one of the n members of its data centre
// with the highest rendezvous scores for key. Members that are not ready count, leaving
// ones do not.
func (m *Membership) RanksAmongFirst(key string, n int) bool {
	ranked := RankByScore(key, m.MembersIn(m.cfg.Self.DataCentre))
	for _, member := range ranked[:min(n, len(ranked))] {
		if member.ID == m.cfg.Self.ID {
			return true
		}
	}
	return false
}

// IsReachable reports whether a data centre has been heard from in the last
// contactTimeout. This instance's own data centre is always reachable.
func (m *Membership) IsReachable(dataCentre string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if dataCentre == m.cfg.Self.DataCentre {
		return true
	}
	return m.cfg.Now().Sub(m.view.lastContact[dataCentre]) < contactTimeout
}
