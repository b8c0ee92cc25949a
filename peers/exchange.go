package peers

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/peers/peerspb"
	"redwingknot/upstream"
	"redwingknot/wire"
)

const methodExchange = "peers.exchange"

const (
	// leastInterval is the time between exchanges with a peer in a small fleet:
	// less than a large prompt takes to be read.
	leastInterval = 60 * time.Millisecond
	// perPeer bounds the exchanges that an instance begins to some 40 a second: with
	// each peer one of the two begins.
	perPeer = 12 * time.Millisecond
	// columnPace is how many times as rarely sums of rows are exchanged: they
	// change less than what a single instance has under way.
	columnPace = 2
	// reportsPerTTL is the number of reports of the rarest kind in the time that
	// one counts.
	reportsPerTTL = 2
	// exchangeTimeout ends an exchange with a peer that is out of reach.
	exchangeTimeout = 400 * time.Millisecond
	// maxPlacements bounds what is kept for a peer that can't be reached.
	maxPlacements = 512
	// largePart is the size in tokens from which a placement is told beyond the
	// own row: reading a smaller part again takes less than 10 ms.
	largePart = 1000
)

// Placement is a part of a prompt that was sent to an endpoint.
type Placement struct {
	Target uint64 // hash of the endpoint's identifier
	Part   uint64 // hash of the part and its partition
	Tokens int
}

// Source is what this instance tells and hears.
type Source interface {
	// Loads returns this instance's own work.
	Loads() map[uint64]Load
	// Placed takes what another instance has placed.
	Placed(list []Placement)
}

// Options set up an Exchange.
type Options struct {
	Self   string
	Key    []byte // that the fleet's instances share
	Source Source
	Table  *Table
	Now    func() time.Time
}

// Exchange keeps a Table by calls between the instances of a grid: of each pair
// the one with the lower name calls, and both tell. It is safe for concurrent
// use.
type Exchange struct {
	o Options

	mu    sync.Mutex
	grid  grid
	peers map[string]*peer
}

// peer is another instance.
type peer struct {
	name    string
	address string
	column  bool // in another row
	cancel  context.CancelFunc

	mu     sync.Mutex
	unsent []Placement
}

// New returns an Exchange without peers.
func New(o Options) *Exchange {
	return &Exchange{o: o, peers: map[string]*peer{}}
}

// Register lets other instances call this one.
func (e *Exchange) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, func(_ context.Context, in *peerspb.Report) (*peerspb.Report, error) {
		e.take(in)
		return e.report(e.peer(in.Instance)), nil
	})
}

// SetPeers replaces the other instances, given by name with their addresses.
func (e *Exchange) SetPeers(ctx context.Context, addresses map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grid = newGrid(e.o.Self, slices.Collect(maps.Keys(addresses)))
	wanted := map[string]bool{}
	for _, name := range e.grid.row {
		wanted[name] = true
		e.keep(ctx, name, addresses[name], false)
	}
	for _, name := range e.grid.column {
		wanted[name] = true
		e.keep(ctx, name, addresses[name], true)
	}
	for name := range e.peers {
		if !wanted[name] {
			e.drop(name)
		}
	}
}

// keep makes another instance a peer unless it is one.
func (e *Exchange) keep(ctx context.Context, name, address string, column bool) {
	if p := e.peers[name]; p != nil && p.address == address && p.column == column {
		return
	}
	e.drop(name)
	p := &peer{name: name, address: address, column: column}
	ctx, p.cancel = context.WithCancel(ctx)
	e.peers[name] = p
	if e.o.Self < name {
		go e.call(ctx, p)
	}
}

func (e *Exchange) drop(name string) {
	if p := e.peers[name]; p != nil {
		p.cancel()
		delete(e.peers, name)
	}
}

func (e *Exchange) peer(name string) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[name]
}

// interval is the time between exchanges with a peer.
func (e *Exchange) interval(p *peer) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := max(leastInterval, perPeer*time.Duration(len(e.peers)))
	if p.column {
		interval *= columnPace
	}
	return interval
}

// call exchanges reports with a peer until ctx ends.
func (e *Exchange) call(ctx context.Context, p *peer) {
	d := net.Dialer{Timeout: exchangeTimeout, Control: upstream.SetSocketOptions, KeepAliveConfig: upstream.KeepAliveConfig}
	client := wire.NewClient(p.address, e.o.Key, func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", addr)
	})
	defer client.Close()
	for ctx.Err() == nil {
		if err := e.exchange(ctx, client, p); err != nil {
			metric.Counter("peer_exchange_failures_total").Inc(1)
			client.Close()
		}
		timer.Sleep(ctx, e.interval(p))
	}
}

func (e *Exchange) exchange(ctx context.Context, client *wire.Client, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer peerspb.Report
	if err := client.Call(ctx, methodExchange, e.report(p), &answer); err != nil {
		return err
	}
	e.take(&answer)
	return nil
}

// Run drops the reports of instances that fell silent until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	return timer.Every(ctx, reportTTL/4, func() { e.o.Table.Expire(e.o.Now(), e.ttl()) })
}

// ttl is how long reports count: of two in a row one may be late.
func (e *Exchange) ttl() time.Duration {
	return max(reportTTL, reportsPerTTL*e.interval(&peer{column: true}))
}

// take uses another instance's report. What the own row has placed goes on to
// the other rows.
func (e *Exchange) take(r *peerspb.Report) {
	from := r.Instance
	if r.Row != "" {
		from = rowPrefix + r.Row
	}
	e.o.Table.Put(from, decodeLoads(r.Loads), e.o.Now())
	if len(r.Placements) == 0 {
		return
	}
	placed := make([]Placement, len(r.Placements))
	for i, p := range r.Placements {
		placed[i] = Placement{Target: p.Target, Part: p.Part, Tokens: int(p.Tokens)}
	}
	e.o.Source.Placed(placed)
	if r.Row == "" {
		e.tellColumn(placed)
	}
}

// rowPrefix keeps the names of rows apart from those of instances.
const rowPrefix = "row/"

// report renders the report to a peer, nil for one that is not known yet: to the
// own row the instance's own work, to another row the sum of the own row.
func (e *Exchange) report(p *peer) *peerspb.Report {
	r := &peerspb.Report{Instance: e.o.Self}
	loads := e.o.Source.Loads()
	if p != nil && p.column {
		e.mu.Lock()
		row := e.grid.row
		r.Row = e.grid.rowName
		e.mu.Unlock()
		for target, l := range e.o.Table.Sum(row) {
			l.Add(loads[target])
			loads[target] = l
		}
	}
	r.Loads = encodeLoads(loads)
	if p == nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placed := range p.unsent {
		r.Placements = append(r.Placements, &peerspb.Placement{Target: placed.Target, Part: placed.Part, Tokens: count(placed.Tokens)})
	}
	p.unsent = p.unsent[:0]
	return r
}

func encodeLoads(loads map[uint64]Load) *peerspb.Loads {
	out := &peerspb.Loads{}
	for target, l := range loads {
		if l == (Load{}) {
			continue
		}
		out.Targets = append(out.Targets, target)
		out.Running = append(out.Running, count(l.Running))
		out.PendingTokens = append(out.PendingTokens, count(l.Pending))
		out.HeldTokens = append(out.HeldTokens, count(l.Held))
	}
	return out
}

// decodeLoads decodes loads; what the lists don't all have is left out.
func decodeLoads(in *peerspb.Loads) map[uint64]Load {
	n := min(len(in.GetTargets()), len(in.GetRunning()), len(in.GetPendingTokens()), len(in.GetHeldTokens()))
	loads := make(map[uint64]Load, n)
	for i := range n {
		loads[in.Targets[i]] = Load{Running: int(in.Running[i]), Pending: int(in.PendingTokens[i]), Held: int(in.HeldTokens[i])}
	}
	return loads
}

func count(n int) uint32 { return uint32(max(n, 0)) }

// Tell queues a placement of this instance for its peers.
func (e *Exchange) Tell(list []Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	large := largeParts(list)
	for _, p := range e.peers {
		if p.column {
			p.tell(large)
		} else {
			p.tell(list)
		}
	}
}

// tellColumn queues what the own row has placed for the peers in other rows.
func (e *Exchange) tellColumn(list []Placement) {
	large := largeParts(list)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.column {
			p.tell(large)
		}
	}
}

func largeParts(list []Placement) []Placement {
	var large []Placement
	for _, p := range list {
		if p.Tokens >= largePart {
			large = append(large, p)
		}
	}
	return large
}

func (p *peer) tell(list []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsent)+len(list) <= maxPlacements {
		p.unsent = append(p.unsent, list...)
	}
}
