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

// MethodHeartbeat is the wire method of the heartbeats.
const MethodHeartbeat = "instance.heartbeat"

// listInterval is the time between two reads of the platform's list.
const listInterval = 10 * time.Second

// listReaders is how many instances of a data centre read the platform's list.
const listReaders = 2

// Number names a value that heartbeats carry to the neighbours.
type Number uint32

// The numbers that components publish.
const (
	// NumberNoteHead is the number of the last note in force.
	NumberNoteHead Number = 1
)

// PlatformList returns the platform's lagging list of instances.
type PlatformList func(ctx context.Context) ([]ListedInstance, error)

// Config is what a Membership needs. Dial, Caller, PlatformList, Now, Rand and
// Logger may be left out.
type Config struct {
	Self         Member
	Seeds        []string // addresses of some instances
	Key          []byte   // the deployment's shared key
	Dial         wire.Dialer
	Caller       Caller // in place of connections by Key and Dial
	PlatformList PlatformList
	Now          func() time.Time
	Rand         *rand.Rand
	Logger       *slog.Logger
}

// Membership is one instance's view of all instances and its part in the
// heartbeats. It is safe for concurrent use.
type Membership struct {
	cfg    Config
	peers  *ConnectionPool // nil if the configuration gave a Caller
	caller Caller

	mu      sync.Mutex
	view    *view
	seen    uint64 // generation of the view at the last notification
	known   map[string]bool
	waiters []chan struct{}
	onHeard []func(Member, Number, uint64)
	calls   sync.WaitGroup
}

// New returns the membership of cfg.Self; it does nothing before Run.
func New(cfg Config) (*Membership, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	m := &Membership{
		cfg:    cfg,
		caller: cfg.Caller,
		view:   newView(cfg.Self, cfg.Seeds, cfg.Rand, cfg.Now()),
		known:  map[string]bool{},
	}
	if m.caller == nil {
		m.peers = NewConnectionPool(cfg.Key, cfg.Dial, cfg.Now)
		m.caller = m.peers
	}
	return m, nil
}

func (c *Config) complete() error {
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

// Register adds the heartbeat's handler to s.
func (m *Membership) Register(s *wire.Server) {
	wire.Handle(s, MethodHeartbeat, m.HandleHeartbeat)
}

// HandleHeartbeat answers a heartbeat of another instance.
func (m *Membership) HandleHeartbeat(_ context.Context, req *instancepb.Heartbeat) (*instancepb.Heartbeat, error) {
	if decodeRecord(req.From) == nil {
		return nil, wire.Fail(wire.FailureMalformed, "heartbeat without sender")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.view.receive(m.cfg.Now(), req)
	m.notify(req)
	return answer, nil
}

// Run sends heartbeats until ctx ends, or until another process has taken this
// instance's identifier, which is a *SupersededError.
func (m *Membership) Run(ctx context.Context) error {
	defer m.closePeers()
	defer m.calls.Wait()
	m.round(ctx)
	round := time.NewTicker(heartbeatInterval)
	defer round.Stop()
	list := time.NewTicker(listInterval)
	defer list.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-round.C:
			m.round(ctx)
		case <-list.C:
			m.readList(ctx)
		}
		if err := m.superseded(); err != nil {
			return err
		}
	}
}

func (m *Membership) superseded() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.superseded == 0 {
		return nil
	}
	event.InstanceSuperseded.Log(m.cfg.Logger, slog.String("id", m.cfg.Self.ID))
	return &SupersededError{ID: m.cfg.Self.ID, OwnIncarnation: m.view.self.Incarnation, OtherIncarnation: m.view.superseded}
}

func (m *Membership) round(ctx context.Context) {
	m.mu.Lock()
	out := m.view.tick(m.cfg.Now())
	m.notify(nil)
	metric.Gauge("instance_live_members").Update(int64(len(m.view.members(m.cfg.Now()))))
	m.mu.Unlock()
	m.send(ctx, out)
	if m.peers != nil {
		m.peers.closeIdle()
	}
}

func (m *Membership) closePeers() {
	if m.peers != nil {
		m.peers.Close()
	}
}

func (m *Membership) send(ctx context.Context, out []outgoing) {
	for _, o := range out {
		m.calls.Go(func() { m.probe(ctx, o) })
	}
}

// probe makes one heartbeat call and tells the view how it ended.
func (m *Membership) probe(parent context.Context, o outgoing) {
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
		m.view.unanswered(m.cfg.Now(), o.to)
		m.notify(nil)
		return
	}
	more := m.view.answered(m.cfg.Now(), o.to, &answer)
	m.notify(&answer)
	if !o.second {
		m.send(parent, more)
	}
}

func resultOf(err error) string {
	if err != nil {
		return "unanswered"
	}
	return "answered"
}

// readList merges the platform's list; few instances of a data centre read it,
// so that the calls don't grow with the instances.
func (m *Membership) readList(ctx context.Context) {
	if m.cfg.PlatformList == nil || !m.IsAmongFirst("platform-list", listReaders) {
		return
	}
	m.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, listInterval)
		defer cancel()
		list, err := m.cfg.PlatformList(ctx)
		if err != nil {
			metric.Counter("instance_list_failures_total").Inc(1)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.view.list(m.cfg.Now(), list)
		m.notify(nil)
	})
}

// notify wakes subscribers after a change and reports numbers of a message.
// The caller holds the lock.
func (m *Membership) notify(msg *instancepb.Heartbeat) {
	if msg != nil {
		from := memberOf(msg.From)
		for _, n := range msg.Numbers {
			for _, f := range m.onHeard {
				f(from, Number(n.Kind), n.Value)
			}
		}
	}
	if m.view.generation == m.seen {
		return
	}
	m.seen = m.view.generation
	m.logChanges()
	for _, w := range m.waiters {
		close(w)
	}
	m.waiters = nil
}

// logChanges logs members that came or went. The caller holds the lock.
func (m *Membership) logChanges() {
	live := map[string]bool{}
	for _, x := range m.view.members(m.cfg.Now()) {
		live[x.ID] = true
		if !m.known[x.ID] {
			event.InstanceJoined.Log(m.cfg.Logger, slog.String("id", x.ID), slog.String("data_centre", x.DataCentre))
		}
	}
	for id := range m.known {
		if !live[id] {
			event.InstanceLost.Log(m.cfg.Logger, slog.String("id", id))
		}
	}
	m.known = live
}

func memberOf(p *instancepb.Record) Member {
	if r := decodeRecord(p); r != nil {
		return r.Member
	}
	return Member{}
}

// Changed returns a channel that is closed at the next change of the members.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := make(chan struct{})
	m.waiters = append(m.waiters, w)
	return w
}

// OnNumber registers f to be told of the numbers in every heartbeat. It is
// called before Run; f must return at once and call no method of m.
func (m *Membership) OnNumber(f func(from Member, kind Number, value uint64)) {
	m.onHeard = append(m.onHeard, f)
}

// Publish sets a number that the heartbeats carry.
func (m *Membership) Publish(kind Number, value uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.numbers[kind] = value
}

// SetReady tells the others whether this instance serves.
func (m *Membership) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.setSelf(m.cfg.Now(), ready, false)
	m.notify(nil)
}

// Leave announces a planned stop to the own data centre and returns when every
// live instance there has answered or its probe has timed out. Run goes on and
// spreads the announcement further until its context ends.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.view.setSelf(m.cfg.Now(), m.view.self.Ready, true)
	out := m.view.farewell(m.cfg.Now())
	m.notify(nil)
	m.mu.Unlock()
	var wait sync.WaitGroup
	for _, o := range out {
		wait.Go(func() { m.probe(ctx, o) })
	}
	wait.Wait()
}

// Self returns this instance.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.self.Member
}

// Caller returns the connections to other instances, for other components'
// calls.
func (m *Membership) Caller() Caller { return m.caller }

// Members returns the live members of all data centres in contact, this
// instance included, by identifier.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.members(m.cfg.Now())
}

// MembersIn returns the live members of a data centre that are not leaving.
func (m *Membership) MembersIn(dataCentre string) []Member {
	var list []Member
	for _, x := range m.Members() {
		if x.DataCentre == dataCentre && !x.Leaving {
			list = append(list, x)
		}
	}
	return list
}

// IsAlive reports whether the instance is a live member; a leaving one still is.
func (m *Membership) IsAlive(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.view.records[id]
	return r != nil && m.view.live(m.cfg.Now(), r)
}

// OwnerOf returns the owner of key among the live, ready members of the own data
// centre that are not leaving; the zero Member if there is none.
func (m *Membership) OwnerOf(key string) Member {
	return m.OwnerIn(m.cfg.Self.DataCentre, key)
}

// OwnerIn is Home in another data centre.
func (m *Membership) OwnerIn(dataCentre, key string) Member {
	var ready []Member
	for _, x := range m.MembersIn(dataCentre) {
		if x.Ready {
			ready = append(ready, x)
		}
	}
	return Owner(key, ready)
}

// IsAmongFirst reports whether this instance is one of the n first of its data centre
// for key, ready or not.
func (m *Membership) IsAmongFirst(key string, n int) bool {
	ranked := RankByScore(key, m.MembersIn(m.cfg.Self.DataCentre))
	for _, x := range ranked[:min(n, len(ranked))] {
		if x.ID == m.cfg.Self.ID {
			return true
		}
	}
	return false
}

// IsReachable reports whether a data centre has been heard from lately.
func (m *Membership) IsReachable(dataCentre string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if dataCentre == m.cfg.Self.DataCentre {
		return true
	}
	return m.cfg.Now().Sub(m.view.contacts[dataCentre]) < contactTimeout
}
