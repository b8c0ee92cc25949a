package endpoint

import (
	"cmp"
	"context"
	"math/bits"
	"slices"
	"sync"
	"time"

	"redwingknot/endpoint/endpointpb"
	"redwingknot/engine"
	"redwingknot/instance"
	"redwingknot/metric"
	"redwingknot/note"
	"redwingknot/wire"
)

const methodExchange = "endpoint.exchange"

// Intervals and timeouts of polls, exchanges and reads of the platform's list.
const (
	pollInterval    = time.Second
	pollTimeout     = 800 * time.Millisecond
	exchangeTimeout = time.Second
	listInterval    = 10 * time.Second
)

const (
	pollersPerEndpoint  = 2 // instances that poll each endpoint
	platformListReaders = 2 // instances of a data centre that read the platform's list
	cyclesPerFullState  = 4 // one cycle in this many sends all observations with the full state, the others only urgent ones (see table.markUrgent)
)

// Listed is an endpoint's entry in the platform's list. The list may be out of
// date.
type Listed struct {
	Name    string
	Leaving bool
}

// PlatformList returns the platform's list of the endpoints in this instance's
// data centre.
type PlatformList func(ctx context.Context) ([]Listed, error)

// Members gives a View access to the other instances.
type Members interface {
	// Self returns this instance.
	Self() instance.Member
	// MembersIn returns the instances of a data centre.
	MembersIn(dataCentre string) []instance.Member
	// RanksAmongFirst reports whether this instance has one of the n highest rendezvous
	// scores for key in its data centre.
	RanksAmongFirst(key string, n int) bool
	// Caller returns the client for calls to other instances.
	Caller() instance.Caller
}

// ViewConfig configures a View. PlatformList and Now are optional; the default
// of Now is time.Now.
type ViewConfig struct {
	Members      Members
	State        func() *note.State                  // configuration in force, nil if there is none
	Engine       func(e note.Endpoint) engine.Engine // client of an endpoint
	PlatformList PlatformList
	Now          func() time.Time
}

// View holds what this instance knows about the endpoints of its data centre,
// merged from the configuration, the platform's list, messages from other
// instances and its own polls. Only pollersPerEndpoint instances poll an
// endpoint; they pass their observations on to the others in messages of at most
// maxExchangeBytes. A View is safe for concurrent use.
type View struct {
	cfg ViewConfig

	mu          sync.Mutex
	table       *table
	cycleNumber int64 // exchange cycle that table.toSend belongs to
}

// NewView returns a View. It polls and exchanges observations only while Run
// runs.
func NewView(cfg ViewConfig) *View {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &View{cfg: cfg, table: newTable()}
}

// Register registers the handler of the exchange method with s.
func (v *View) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, v.handleExchange)
}

// Run polls endpoints, exchanges observations with other instances and reads the
// platform's list until ctx ends. It always returns nil.
func (v *View) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { v.callEvery(ctx, pollInterval, v.pollAssigned) })
	tasks.Go(func() { v.runExchanges(ctx) })
	tasks.Go(func() { v.callEvery(ctx, listInterval, v.readPlatformList) })
	<-ctx.Done()
	return nil
}

// callEvery calls f at once and then every interval until ctx ends.
func (v *View) callEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// lookup returns an endpoint of this instance's data centre and its service from
// the configuration, or an UnknownEndpointError.
func (v *View) lookup(name string) (note.Endpoint, note.Service, error) {
	state := v.cfg.State()
	if state == nil {
		return note.Endpoint{}, note.Service{}, &UnknownEndpointError{Name: name}
	}
	e, ok := state.Endpoints[name]
	if !ok || e.DataCentre != v.cfg.Members.Self().DataCentre {
		return note.Endpoint{}, note.Service{}, &UnknownEndpointError{Name: name}
	}
	return e, state.Services[e.Service], nil
}

// isConfigured reports whether the configuration has the endpoint in this
// instance's data centre.
func (v *View) isConfigured(name string) bool {
	_, _, err := v.lookup(name)
	return err == nil
}

// Usable reports whether the endpoint may get new work: the configuration has
// it, neither its own reports nor the platform's list mark it as leaving, and, if
// it is an engine, its last poll succeeded within maxReportAge and it has weights
// loaded.
func (v *View) Usable(name string) bool {
	_, service, err := v.lookup(name)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.table.getOrAdd(name)
	if o.markedLeaving() {
		return false
	}
	if service.Kind != note.KindModel {
		return true
	}
	return o.reachable(v.cfg.Now()) && o.report.Version != ""
}

// Leaving reports whether the endpoint is missing from the configuration, or its
// own reports or the platform's list mark it as leaving.
func (v *View) Leaving(name string) bool {
	if !v.isConfigured(name) {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.getOrAdd(name).markedLeaving()
}

// Report returns the newest report of an endpoint, and whether the endpoint's
// last poll succeeded within maxReportAge. The At field of the report is a time of
// this instance's clock.
func (v *View) Report(name string) (engine.Report, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.table.getOrAdd(name)
	return o.report, o.reachable(v.cfg.Now())
}

// MergeReport merges a report that this instance got by other means than the View's
// polls. It ignores endpoints that are not configured.
func (v *View) MergeReport(name string, r engine.Report) {
	if !v.isConfigured(name) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.mergeReport(v.cfg.Now(), name, r)
}

// pollAssigned drops endpoints that are no longer configured, then polls the
// endpoints assigned to this instance concurrently.
func (v *View) pollAssigned(ctx context.Context) {
	v.mu.Lock()
	v.table.removeUnless(v.isConfigured)
	v.mu.Unlock()
	var polls sync.WaitGroup
	defer polls.Wait()
	for _, e := range v.assignedEndpoints() {
		polls.Go(func() { v.pollEndpoint(ctx, e) })
	}
}

// assignedEndpoints returns the engines that this instance has to poll.
func (v *View) assignedEndpoints() []note.Endpoint {
	state := v.cfg.State()
	if state == nil {
		return nil
	}
	self := v.cfg.Members.Self()
	members := v.cfg.Members.MembersIn(self.DataCentre)
	var assigned []note.Endpoint
	for _, e := range state.Endpoints {
		if e.DataCentre != self.DataCentre || state.Services[e.Service].Kind != note.KindModel {
			continue
		}
		if isPoller(self.ID, e.Name, members) {
			assigned = append(assigned, e)
		}
	}
	return assigned
}

// isPoller reports whether the instance id is one of the pollersPerEndpoint
// members with the highest rendezvous scores for the endpoint name.
func isPoller(id, name string, members []instance.Member) bool {
	ownScore := instance.RendezvousScore(name, id)
	higher := 0
	for _, m := range members {
		if m.ID != id && instance.RendezvousScore(name, m.ID) > ownScore {
			higher++
		}
	}
	return higher < pollersPerEndpoint
}

// pollEndpoint requests an endpoint's report and merges it, or the failure, into
// the table. Report.At is set to the time before the request was sent.
func (v *View) pollEndpoint(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := v.cfg.Now()
	r, err := v.cfg.Engine(e).Report(ctx)
	metric.Counter("endpoint_polls_total", "result", resultLabel(err)).Inc(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.table.mergeFailedPoll(v.cfg.Now(), sentAt, e.Name)
		return
	}
	r.At = sentAt
	v.table.mergeReport(v.cfg.Now(), e.Name, r)
}

// resultLabel returns the value of the metric label "result" for err.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// runExchanges runs the exchange rounds until ctx ends. In round r of a cycle
// each instance sends to the instance 2^r positions further on the ring what it
// has polled or received in this cycle. After log2(instances) rounds every
// instance has every observation, and has received each about once. Rounds are
// aligned to the wall clock; if the clocks of instances differ, observations only
// arrive later.
func (v *View) runExchanges(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		roundLength := cycleLength / time.Duration(roundsPerCycle(len(v.ring())))
		wait := roundLength - time.Duration(v.cfg.Now().UnixNano())%roundLength
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			calls.Go(func() { v.sendToPeer(ctx, roundLength) })
		}
	}
}

// roundsPerCycle returns the number of rounds after which an observation of one
// of n instances has reached all of them, at least 1.
func roundsPerCycle(n int) int { return max(bits.Len(uint(n-1)), 1) }

// ring returns the instances of this data centre sorted by identifier.
func (v *View) ring() []instance.Member {
	members := v.cfg.Members.MembersIn(v.cfg.Members.Self().DataCentre)
	slices.SortFunc(members, func(a, b instance.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// sendToPeer sends the pending observations to the peer of the current round. It
// makes no call if there are none or this instance has no peer.
func (v *View) sendToPeer(ctx context.Context, roundLength time.Duration) {
	ring := v.ring()
	self := v.cfg.Members.Self()
	selfIndex := slices.IndexFunc(ring, func(m instance.Member) bool { return m.ID == self.ID })
	now := v.cfg.Now()
	roundIndex := time.Duration(now.UnixNano()) % cycleLength / roundLength
	observations := v.observationsToSend(now)
	if selfIndex < 0 || len(ring) < 2 || len(observations) == 0 {
		return
	}
	peer := ring[(selfIndex+1<<roundIndex)%len(ring)]
	if peer.ID == self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &endpointpb.Exchange{Observations: observations}
	if err := v.cfg.Members.Caller().Call(ctx, peer.Addr, methodExchange, req, &endpointpb.Exchange{}); err != nil {
		metric.Counter("endpoint_exchange_failures_total").Inc(1)
	}
}

// observationsToSend returns the observations to send in this round. It first
// starts a new cycle if one is due.
func (v *View) observationsToSend(now time.Time) []*endpointpb.Observation {
	primary, secondary := v.assignedByRank()
	cycleNumber := now.UnixNano() / int64(cycleLength)
	v.mu.Lock()
	defer v.mu.Unlock()
	if cycleNumber != v.cycleNumber {
		v.cycleNumber = cycleNumber
		v.table.beginCycle(now, primary, secondary)
	}
	return v.table.batch(now, cycleNumber%cyclesPerFullState == 0)
}

// assignedByRank returns the endpoints for which this instance is the primary
// poller, and those for which it is a secondary poller. The primary poller of an
// endpoint is the instance with the highest rendezvous score for it.
func (v *View) assignedByRank() (primary, secondary []string) {
	self := v.cfg.Members.Self()
	members := v.cfg.Members.MembersIn(self.DataCentre)
	for _, e := range v.assignedEndpoints() {
		if instance.Owner(e.Name, members).ID == self.ID {
			primary = append(primary, e.Name)
		} else {
			secondary = append(secondary, e.Name)
		}
	}
	return primary, secondary
}

// handleExchange merges the observations sent by another instance.
func (v *View) handleExchange(_ context.Context, req *endpointpb.Exchange) (*endpointpb.Exchange, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.mergeReceived(v.cfg.Now(), req.Observations, v.isConfigured)
	return &endpointpb.Exchange{}, nil
}

// readPlatformList reads the platform's list and merges it into the table. Only
// platformListReaders instances of the data centre do this.
func (v *View) readPlatformList(ctx context.Context) {
	if v.cfg.PlatformList == nil || !v.cfg.Members.RanksAmongFirst("endpoint-list", platformListReaders) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	entries, err := v.cfg.PlatformList(ctx)
	if err != nil {
		metric.Counter("endpoint_list_failures_total").Inc(1)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, entry := range entries {
		v.table.mergeListEntry(v.cfg.Now(), entry.Name, entry.Leaving)
	}
}
