package peers

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/peers/peerspb"
	"redwingknot/suspect"
	"redwingknot/wire"
)

const methodExchange = "peers.exchange"

const (
	// minInterval is the time between exchanges with a peer in a small fleet:
	// less than an engine takes to prefill a large prompt.
	minInterval = 60 * time.Millisecond
	// intervalPerPeer times the number of peers is the interval in a larger
	// fleet. It limits the exchanges of an instance to about 80 a second. The
	// instance starts about 40 of them, because only one instance of each pair of
	// peers starts exchanges.
	intervalPerPeer = 12 * time.Millisecond
	// columnIntervalFactor multiplies the interval of exchanges with peers in
	// other rows: the sums of rows sent there change less than the load of a
	// single instance.
	columnIntervalFactor = 2
	// reportsPerTTL is the number of reports sent to a peer in another row, the
	// least frequent ones, while one report is valid.
	reportsPerTTL = 2
	// exchangeTimeout ends an exchange with a peer that cannot be reached.
	exchangeTimeout = 400 * time.Millisecond
	// maxUnsentPlacements limits the queue of placements for a peer that cannot
	// be reached.
	maxUnsentPlacements = 512
	// minLargePartTokens is the size in tokens from which a placement is also
	// sent to other rows: prefilling a smaller part again takes less than
	// 10 ms.
	minLargePartTokens = 1000
)

// Placement records that a part of a prompt was sent to an endpoint.
type Placement struct {
	Target uint64 // hash of the endpoint's identifier
	Part   uint64 // hash of the part and its partition
	Tokens int    // size of the part
}

// Source supplies what this instance reports and receives what others have
// placed.
type Source interface {
	// Loads returns the load of this instance's own requests by target, the hash that
	// identifies an endpoint or cache store.
	Loads() map[uint64]Load
	// RecordPlacements records placements by other instances.
	RecordPlacements(placements []Placement)
}

// Confirmation states that a range of the metadata store's keys had certain content
// at a time or later.
type Confirmation struct {
	Range  string // name of the range
	Digest uint64 // of the keys and their revisions
	At     time.Time
}

// ConfirmationSource supplies what this instance knows of the metadata store's
// content and receives what others confirmed.
type ConfirmationSource interface {
	// Confirmations returns the latest confirmation of each range.
	Confirmations() []Confirmation
	// RecordConfirmation records a confirmation by another instance.
	RecordConfirmation(Confirmation)
}

// Options configure an Exchange.
type Options struct {
	Self          string // name of this instance
	Key           []byte // shared key of the fleet's instances for package wire
	Source        Source
	Confirmations ConfirmationSource // nil to exchange no confirmations
	Suspects      *suspect.Replica   // nil to exchange no suspects
	Limits        LimitSource        // nil to exchange no limits
	WeightLoads   WeightLoadSource   // nil to exchange no loads of weights
	Cold          ColdSource         // nil to exchange no cold endpoints
	Ramps         RampSource         // nil to exchange no ramp-ups
	Origins       *origin.Registry   // nil to exchange no origins of streams
	Software      *origin.History    // nil to exchange no software versions
	SavesOrigins  func() bool        // whether rows save origins in the metadata store; nil if they never do
	Backlogs      BacklogSource      // nil to exchange no backlogs
	Table         *Table             // receives the reports of other instances
	Leaving       func() bool        // whether this instance shuts down; nil if it never does
	// Now returns the current time. It must go on while the machine is suspended, or
	// confirmations seem younger than they are.
	Now func() time.Time
}

// Exchange keeps a Table up to date by calls between the instances of a grid.
// Of each pair of peers the one whose name sorts first calls the other, and
// both report in the call. It is safe for concurrent use.
type Exchange struct {
	opts    Options
	process uint64 // identifies this process in stamps

	mu    sync.Mutex
	grid  grid
	peers map[string]*peer
	// clients holds the clients for calls outside of the exchange, by instance.
	clients map[string]*wire.Client
	// addresses holds those of all other instances, by name.
	addresses map[string]string

	backlogs backlogTable
}

// peer is another instance with which this one exchanges reports.
type peer struct {
	name     string
	address  string
	inColumn bool               // in another row than this instance
	cancel   context.CancelFunc // ends the calls to the peer

	mu     sync.Mutex
	unsent []Placement    // placements for the next report to the peer
	stamp  *peerspb.Stamp // of the latest report from the peer, nil before the first
	echo   *peerspb.Stamp // in the latest report from the peer
	// suspectsAcked is the number of changes of this instance's suspects that the peer has,
	// counted by the process that echo names.
	suspectsAcked    uint64
	suspectsReceived uint64 // number of changes of the peer's suspects that this instance has
	limitsSent       map[uint64]sentLimit
	loadsSent        map[loadKey]sentLoad
	coldSent         map[uint64]sentCold
	rampsSent        map[uint64]sentRamp
	// originsAcked is the number of streams that began at this instance of which the peer has
	// heard, counted by the process that echo names.
	originsAcked    uint64
	originsReceived uint64    // number of streams that began at the peer of which this instance has heard
	allSentTo       uint64    // process of the peer to which reports have all origins until it has got one
	allSentAt       int64     // time in the stamp of the first of these reports
	savesOrigins    bool      // the peer saves the origins of the row
	reportedAt      time.Time // when the latest report from the peer arrived
	leaving         bool      // the peer shuts down, by its latest report
}

// New returns an Exchange without peers.
func New(o Options) *Exchange {
	return &Exchange{opts: o, process: rand.Uint64(), peers: map[string]*peer{}, clients: map[string]*wire.Client{}}
}

// Register adds the handler for calls of other instances to a server.
func (e *Exchange) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, func(_ context.Context, in *peerspb.Report) (*peerspb.Report, error) {
		p := e.peerByName(in.Instance)
		e.applyReport(in, p)
		return e.buildReport(p), nil
	})
	e.registerOrigins(s)
}

// SetPeers sets the other instances, given as addresses by name, and starts or
// ends exchanges accordingly. The exchanges with a peer also end with the ctx
// of the call that added it.
func (e *Exchange) SetPeers(ctx context.Context, addresses map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grid = newGrid(e.opts.Self, slices.Collect(maps.Keys(addresses)))
	e.setAddresses(addresses)
	wanted := map[string]bool{}
	for _, name := range e.grid.row {
		wanted[name] = true
		e.ensurePeer(ctx, name, addresses[name], false)
	}
	for _, name := range e.grid.column {
		wanted[name] = true
		e.ensurePeer(ctx, name, addresses[name], true)
	}
	for name := range e.peers {
		if !wanted[name] {
			e.removePeer(name)
		}
	}
}

// ensurePeer makes another instance a peer. It changes nothing if the instance
// already is a peer with the same address and the same value of inColumn.
func (e *Exchange) ensurePeer(ctx context.Context, name, address string, inColumn bool) {
	if p := e.peers[name]; p != nil && p.address == address && p.inColumn == inColumn {
		return
	}
	e.removePeer(name)
	p := &peer{name: name, address: address, inColumn: inColumn}
	ctx, p.cancel = context.WithCancel(ctx)
	e.peers[name] = p
	if e.opts.Self < name {
		go e.exchangeLoop(ctx, p)
	}
}

// removePeer ends the exchanges with a peer and removes it; an unknown name
// changes nothing.
func (e *Exchange) removePeer(name string) {
	if p := e.peers[name]; p != nil {
		p.cancel()
		delete(e.peers, name)
	}
}

// peerByName returns a peer, nil if there is none of that name.
func (e *Exchange) peerByName(name string) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[name]
}

// interval returns the time between exchanges with a peer.
func (e *Exchange) interval(p *peer) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := max(minInterval, intervalPerPeer*time.Duration(len(e.peers)))
	if p.inColumn {
		interval *= columnIntervalFactor
	}
	return interval
}

// PropagationTime returns the time within which what this instance reports usually reaches all
// others: one exchange within the rows, and one between them if there are several.
func (e *Exchange) PropagationTime() time.Duration {
	e.mu.Lock()
	several := len(e.grid.column) > 0
	e.mu.Unlock()
	d := e.interval(&peer{})
	if several {
		d += e.interval(&peer{inColumn: true})
	}
	return d
}

// exchangeLoop exchanges reports with a peer at its interval until ctx ends.
func (e *Exchange) exchangeLoop(ctx context.Context, p *peer) {
	client := e.newClient(p.address)
	defer client.Close()
	for ctx.Err() == nil {
		if err := e.exchangeOnce(ctx, client, p); err != nil {
			metric.Counter("peer_exchange_failures_total").Inc(1)
			client.Close()
		}
		timer.Sleep(ctx, e.interval(p))
	}
}

// exchangeOnce sends a report to a peer and applies the report that the peer
// returns.
func (e *Exchange) exchangeOnce(ctx context.Context, client *wire.Client, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer peerspb.Report
	if err := client.Call(ctx, methodExchange, e.buildReport(p), &answer); err != nil {
		return err
	}
	e.applyReport(&answer, p)
	return nil
}

// Run removes the reports of instances that no longer send any, until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	return timer.Every(ctx, minReportTTL/4, func() { e.opts.Table.Expire(e.opts.Now(), e.currentReportTTL()) })
}

// currentReportTTL returns how long a report stays valid. It covers two intervals
// of exchanges with a peer in another row, the longest ones, so that one report may
// be late.
func (e *Exchange) currentReportTTL() time.Duration {
	return max(minReportTTL, reportsPerTTL*e.interval(&peer{inColumn: true}))
}

// applyReport applies another instance's report to the table and the sources; p is
// nil if the instance is not a peer. Placements by instances of the own row are also
// queued for the other rows.
func (e *Exchange) applyReport(r *peerspb.Report, p *peer) {
	e.applyConfirmations(r)
	e.applySuspects(r)
	e.applyLimits(r)
	e.applyWeightLoads(r)
	e.applyCold(r)
	e.applyRamps(r)
	e.applyOrigins(r)
	if p != nil {
		p.recordReport(r, e.opts.Now())
	}
	sender := r.Instance
	if r.Row != "" {
		sender = rowPrefix + r.Row
	}
	e.opts.Table.SetReport(sender, decodeLoads(r.Loads), e.opts.Now())
	e.applyBacklogs(r, sender)
	if len(r.Placements) == 0 {
		return
	}
	placements := make([]Placement, len(r.Placements))
	for i, p := range r.Placements {
		placements[i] = Placement{Target: p.Target, Part: p.Part, Tokens: int(p.Tokens)}
	}
	e.opts.Source.RecordPlacements(placements)
	if r.Row == "" {
		e.queueForColumn(placements)
	}
}

// rowPrefix distinguishes the names of rows from those of instances in the
// table.
const rowPrefix = "row/"

// buildReport returns the next report to a peer. A peer in the own row gets
// this instance's own load, a peer in another row the sum of the own row. The
// placements queued for the peer are moved into the report. If p is nil, the
// instance is not a peer yet, and the report holds only this instance's own
// load.
func (e *Exchange) buildReport(p *peer) *peerspb.Report {
	r := &peerspb.Report{Instance: e.opts.Self, Leaving: e.opts.Leaving != nil && e.opts.Leaving()}
	e.addStamps(r, p)
	e.addConfirmations(r)
	e.addSuspects(r, p)
	e.addLimits(r, p)
	e.addWeightLoads(r, p)
	e.addCold(r, p)
	e.addRamps(r, p)
	e.addOrigins(r, p)
	loads := e.opts.Source.Loads()
	var row []string
	if p != nil && p.inColumn {
		e.mu.Lock()
		row = e.grid.row
		r.Row = e.grid.rowName
		e.mu.Unlock()
		for target, l := range e.opts.Table.Sum(row) {
			l.Add(loads[target])
			loads[target] = l
		}
	}
	r.Loads = encodeLoads(loads)
	e.addBacklogs(r, row)
	if p == nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placement := range p.unsent {
		r.Placements = append(r.Placements, &peerspb.Placement{Target: placement.Target, Part: placement.Part, Tokens: clampUint32(placement.Tokens)})
	}
	p.unsent = p.unsent[:0]
	return r
}

// encodeLoads converts loads to their message and leaves out targets without
// load.
func encodeLoads(loads map[uint64]Load) *peerspb.Loads {
	out := &peerspb.Loads{}
	// Targets with the fields that few have come first, so that their lists are short.
	for _, rare := range []bool{true, false} {
		for target, l := range loads {
			if l == (Load{}) || rare != (l.Noisy > 0 || l.RecentPrefill > 0) {
				continue
			}
			out.Targets = append(out.Targets, target)
			out.Running = append(out.Running, clampUint32(l.Running))
			out.PendingTokens = append(out.PendingTokens, clampUint32(l.PendingTokens))
			out.HeldTokens = append(out.HeldTokens, clampUint32(l.HeldTokens))
			out.Reached = append(out.Reached, clampUint32(l.Reached))
			out.Unreachable = append(out.Unreachable, clampUint32(l.Unreachable))
			out.Leaving = append(out.Leaving, clampUint32(l.Leaving))
			out.Noisy = append(out.Noisy, clampUint32(l.Noisy))
			out.RecentPrefillTokens = append(out.RecentPrefillTokens, clampUint32(l.RecentPrefill))
		}
	}
	out.Noisy, out.RecentPrefillTokens = withoutZeros(out.Noisy), withoutZeros(out.RecentPrefillTokens)
	return out
}

// withoutZeros returns values up to the last that is not 0. What follows is read as 0.
func withoutZeros(values []uint32) []uint32 {
	n := len(values)
	for n > 0 && values[n-1] == 0 {
		n--
	}
	return values[:n]
}

// decodeLoads converts a message to loads. If its lists of loads differ in length,
// entries beyond the end of the shortest are ignored.
func decodeLoads(in *peerspb.Loads) map[uint64]Load {
	n := min(len(in.GetTargets()), len(in.GetRunning()), len(in.GetPendingTokens()), len(in.GetHeldTokens()))
	loads := make(map[uint64]Load, n)
	for i := range n {
		loads[in.Targets[i]] = Load{
			Running: int(in.Running[i]), PendingTokens: int(in.PendingTokens[i]), HeldTokens: int(in.HeldTokens[i]),
			Reached: valueAt(in.Reached, i), Unreachable: valueAt(in.Unreachable, i),
			Leaving: valueAt(in.Leaving, i), Noisy: plausibleAt(in.Noisy, i, maxNoisy), RecentPrefill: plausibleAt(in.RecentPrefillTokens, i, maxRecentPrefill),
		}
	}
	return loads
}

// valueAt returns the value at index i, 0 beyond the end.
func valueAt(values []uint32, i int) int {
	if i >= len(values) {
		return 0
	}
	return int(values[i])
}

const (
	// maxNoisy bounds the number of instances that may report an engine as noisy: ten times as
	// many as the largest deployment has.
	maxNoisy = 4000
	// maxRecentPrefill bounds the tokens that may have been sent to an engine in a quarter of a
	// second: a hundred times what the fastest one prefills in a second.
	maxRecentPrefill = 1e7
)

// plausibleAt is like valueAt, and returns 0, that is, not known, for a value above limit, which
// it counts.
func plausibleAt(values []uint32, i, limit int) int {
	v := valueAt(values, i)
	if v > limit {
		metric.Counter("peer_loads_invalid_total").Inc(1)
		return 0
	}
	return v
}

// clampUint32 converts n to the nearest uint32.
func clampUint32(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// QueuePlacements queues placements by this instance for its peers. Peers in other
// rows get only those of large parts.
func (e *Exchange) QueuePlacements(placements []Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	large := largePlacements(placements)
	for _, p := range e.peers {
		if p.inColumn {
			p.queue(large)
		} else {
			p.queue(placements)
		}
	}
}

// queueForColumn queues placements of large parts by the own row for the peers
// in other rows.
func (e *Exchange) queueForColumn(placements []Placement) {
	large := largePlacements(placements)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.inColumn {
			p.queue(large)
		}
	}
}

// largePlacements returns the placements of parts with at least
// minLargePartTokens tokens.
func largePlacements(placements []Placement) []Placement {
	var large []Placement
	for _, p := range placements {
		if p.Tokens >= minLargePartTokens {
			large = append(large, p)
		}
	}
	return large
}

// queue adds placements to those for the next report. If the queue would exceed
// maxUnsentPlacements, it drops all the new placements and keeps the queue.
func (p *peer) queue(placements []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsent)+len(placements) <= maxUnsentPlacements {
		p.unsent = append(p.unsent, placements...)
	}
}
