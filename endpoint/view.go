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

// Timing of polls and exchanges.
const (
	pollInterval    = time.Second
	pollTimeout     = 800 * time.Millisecond
	exchangeTimeout = time.Second
	listInterval    = 10 * time.Second
)

const (
	pollers     = 2 // instances that poll an endpoint
	listReaders = 2 // instances of a data centre that read the platform's list
	fullCycles  = 4 // one cycle in fullCycles tells observations in full
)

// Listed is an endpoint in the platform's lagging list.
type Listed struct {
	Name    string
	Leaving bool
}

// PlatformList returns the platform's list of the endpoints of a data centre.
type PlatformList func(ctx context.Context) ([]Listed, error)

// Members is what a View needs of the instances.
type Members interface {
	Self() instance.Member
	MembersIn(dataCentre string) []instance.Member
	IsAmongFirst(key string, n int) bool
	Caller() instance.Caller
}

// ViewConfig is what a View needs. PlatformList and Now may be left out.
type ViewConfig struct {
	Members      Members
	State        func() *note.State // configuration in force, nil for none
	Engine       func(e note.Endpoint) engine.Engine
	PlatformList PlatformList
	Now          func() time.Time
}

// View is what this instance knows of the endpoints of its data centre, merged
// from the configuration, the platform's list, other instances and its own
// polls. Each endpoint is polled by few instances, which pass on what they see
// within a bound of bytes. It is safe for concurrent use.
type View struct {
	cfg ViewConfig

	mu    sync.Mutex
	table *table
	cycle int64 // number of the cycle that the table's news belong to
}

// NewView returns a View that does nothing before Run.
func NewView(cfg ViewConfig) *View {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &View{cfg: cfg, table: newTable()}
}

// Register adds the exchange's handler to s.
func (v *View) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, v.handleExchange)
}

// Run polls and exchanges until ctx ends.
func (v *View) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { v.every(ctx, pollInterval, v.poll) })
	tasks.Go(func() { v.exchangeAll(ctx) })
	tasks.Go(func() { v.every(ctx, listInterval, v.readList) })
	<-ctx.Done()
	return nil
}

func (v *View) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
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

// lookup returns an endpoint of the own data centre and its service.
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

func (v *View) known(name string) bool {
	_, _, err := v.lookup(name)
	return err == nil
}

// Usable reports whether the endpoint may get new work: the configuration has
// it, no source says that it leaves, and, if it is an engine, it answered a
// poll lately and has weights loaded.
func (v *View) Usable(name string) bool {
	_, service, err := v.lookup(name)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.table.at(name)
	if o.leavingNow() {
		return false
	}
	if service.Kind != note.KindModel {
		return true
	}
	return o.reachable(v.cfg.Now()) && o.report.Version != ""
}

// Leaving reports whether any source says that the endpoint leaves.
func (v *View) Leaving(name string) bool {
	if !v.known(name) {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.at(name).leavingNow()
}

// Report returns the newest report of an endpoint, and whether it is fresh.
// At tells when it was true by this instance's clock.
func (v *View) Report(name string) (engine.Report, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.table.at(name)
	return o.report, o.reachable(v.cfg.Now())
}

// MergeReport adds a report that this instance got otherwise, as with an answer.
func (v *View) MergeReport(name string, r engine.Report) {
	if !v.known(name) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.observe(v.cfg.Now(), name, r)
}

// poll reads the reports of this instance's share of the endpoints.
func (v *View) poll(ctx context.Context) {
	v.mu.Lock()
	v.table.forget(v.known)
	v.mu.Unlock()
	var polls sync.WaitGroup
	defer polls.Wait()
	for _, e := range v.share() {
		polls.Go(func() { v.pollOne(ctx, e) })
	}
}

// share returns the engines that this instance polls.
func (v *View) share() []note.Endpoint {
	state := v.cfg.State()
	if state == nil {
		return nil
	}
	self := v.cfg.Members.Self()
	local := v.cfg.Members.MembersIn(self.DataCentre)
	var list []note.Endpoint
	for _, e := range state.Endpoints {
		if e.DataCentre != self.DataCentre || state.Services[e.Service].Kind != note.KindModel {
			continue
		}
		if amongFirst(self.ID, e.Name, local) {
			list = append(list, e)
		}
	}
	return list
}

// amongFirst reports whether id is one of the pollers of an endpoint.
func amongFirst(id, name string, members []instance.Member) bool {
	mine := instance.RendezvousScore(name, id)
	above := 0
	for _, m := range members {
		if m.ID != id && instance.RendezvousScore(name, m.ID) > mine {
			above++
		}
	}
	return above < pollers
}

func (v *View) pollOne(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := v.cfg.Now()
	r, err := v.cfg.Engine(e).Report(ctx)
	metric.Counter("endpoint_polls_total", "result", resultOf(err)).Inc(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.table.fail(v.cfg.Now(), sent, e.Name)
		return
	}
	r.At = sent
	v.table.observe(v.cfg.Now(), e.Name, r)
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// exchangeAll runs the rounds of the exchange until ctx ends. In round r of a
// cycle each instance tells the one at distance 2^r on the ring what it has
// polled or heard in this cycle, so that after log2(instances) rounds all know
// all, and each is told everything about once. Rounds are cut by the clock;
// clocks that differ cost freshness only.
func (v *View) exchangeAll(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		round := cycle / time.Duration(roundsOf(len(v.ring())))
		wait := round - time.Duration(v.cfg.Now().UnixNano())%round
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			calls.Go(func() { v.exchange(ctx, round) })
		}
	}
}

// roundsOf returns the rounds in which one of n instances can tell all.
func roundsOf(n int) int { return max(bits.Len(uint(n-1)), 1) }

// ring returns the instances of the data centre by identifier.
func (v *View) ring() []instance.Member {
	list := v.cfg.Members.MembersIn(v.cfg.Members.Self().DataCentre)
	slices.SortFunc(list, func(a, b instance.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// exchange makes the call of the present round.
func (v *View) exchange(ctx context.Context, round time.Duration) {
	ring := v.ring()
	self := v.cfg.Members.Self()
	at := slices.IndexFunc(ring, func(m instance.Member) bool { return m.ID == self.ID })
	now := v.cfg.Now()
	r := time.Duration(now.UnixNano()) % cycle / round
	list := v.news(now)
	if at < 0 || len(ring) < 2 || len(list) == 0 {
		return
	}
	to := ring[(at+1<<r)%len(ring)]
	if to.ID == self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &endpointpb.Exchange{Observations: list}
	if err := v.cfg.Members.Caller().Call(ctx, to.Addr, methodExchange, req, &endpointpb.Exchange{}); err != nil {
		metric.Counter("endpoint_exchange_failures_total").Inc(1)
	}
}

// news returns what to tell now, and starts a new cycle when it is time.
func (v *View) news(now time.Time) []*endpointpb.Observation {
	first, second := v.polled()
	number := now.UnixNano() / int64(cycle)
	v.mu.Lock()
	defer v.mu.Unlock()
	if number != v.cycle {
		v.cycle = number
		v.table.begin(now, first, second)
	}
	return v.table.batch(now, number%fullCycles == 0)
}

// polled returns the endpoints that this instance polls as the first and as a
// further poller.
func (v *View) polled() (first, second []string) {
	self := v.cfg.Members.Self()
	local := v.cfg.Members.MembersIn(self.DataCentre)
	for _, e := range v.share() {
		if instance.Owner(e.Name, local).ID == self.ID {
			first = append(first, e.Name)
		} else {
			second = append(second, e.Name)
		}
	}
	return first, second
}

func (v *View) handleExchange(_ context.Context, req *endpointpb.Exchange) (*endpointpb.Exchange, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.absorb(v.cfg.Now(), req.Observations, v.known)
	return &endpointpb.Exchange{}, nil
}

// readList merges the platform's list on a few instances of the data centre.
func (v *View) readList(ctx context.Context) {
	if v.cfg.PlatformList == nil || !v.cfg.Members.IsAmongFirst("endpoint-list", listReaders) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	list, err := v.cfg.PlatformList(ctx)
	if err != nil {
		metric.Counter("endpoint_list_failures_total").Inc(1)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range list {
		v.table.markListed(v.cfg.Now(), l.Name, l.Leaving)
	}
}
