package endpoint

import (
	"context"
	"math/rand/v2"
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
	pollInterval     = time.Second
	pollTimeout      = 800 * time.Millisecond
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
	listInterval     = 10 * time.Second
)

const (
	pollers     = 2 // instances that poll an endpoint
	listReaders = 2 // instances of a data centre that read the platform's list
	partners    = 6 // instances with which observations are exchanged in turn
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
	In(dataCentre string) []instance.Member
	Among(key string, n int) bool
	Caller() instance.Caller
}

// ViewConfig is what a View needs. PlatformList, Now and Rand may be left out.
type ViewConfig struct {
	Members      Members
	State        func() *note.State // configuration in force, nil for none
	Engine       func(e note.Endpoint) engine.Engine
	PlatformList PlatformList
	Now          func() time.Time
	Rand         *rand.Rand
}

// View is what this instance knows of the endpoints of its data centre, merged
// from the configuration, the platform's list, other instances and its own
// polls. Each endpoint is polled by few instances, which pass on what they see
// within a bound of bytes. It is safe for concurrent use.
type View struct {
	cfg ViewConfig

	mu    sync.Mutex
	table *table
	told  map[string]uint64 // step of the table up to which an instance was told
	round int
}

// NewView returns a View that does nothing before Run.
func NewView(cfg ViewConfig) *View {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &View{cfg: cfg, table: newTable(), told: map[string]uint64{}}
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
	tasks.Go(func() { v.every(ctx, exchangeInterval, v.exchange) })
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

// Observe adds a report that this instance got otherwise, as with an answer.
func (v *View) Observe(name string, r engine.Report) {
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
	local := v.cfg.Members.In(self.DataCentre)
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
	mine := instance.Score(name, id)
	above := 0
	for _, m := range members {
		if m.ID != id && instance.Score(name, m.ID) > mine {
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

// exchange trades observations with one partner, each in turn.
func (v *View) exchange(ctx context.Context) {
	to, ok := v.partner()
	if !ok {
		return
	}
	v.mu.Lock()
	after := v.told[to.ID]
	list, step := v.table.batch(v.cfg.Now(), after)
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &endpointpb.Exchange{From: v.cfg.Members.Self().ID, Observations: list}
	var answer endpointpb.Exchange
	if err := v.cfg.Members.Caller().Call(ctx, to.Addr, methodExchange, req, &answer); err != nil {
		metric.Counter("endpoint_exchange_failures_total").Inc(1)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told[to.ID] = step
	v.table.absorb(v.cfg.Now(), answer.Observations, v.known)
}

// partner returns the next of a fixed few members of the data centre.
func (v *View) partner() (instance.Member, bool) {
	self := v.cfg.Members.Self()
	ranked := instance.Rank(self.ID, v.cfg.Members.In(self.DataCentre))
	others := make([]instance.Member, 0, partners)
	for _, m := range ranked {
		if m.ID != self.ID && len(others) < partners {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return instance.Member{}, false
	}
	v.round++
	return others[v.round%len(others)], true
}

func (v *View) handleExchange(_ context.Context, req *endpointpb.Exchange) (*endpointpb.Exchange, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.cfg.Now()
	list, step := v.table.batch(now, v.told[req.From])
	v.told[req.From] = step
	v.table.absorb(now, req.Observations, v.known)
	return &endpointpb.Exchange{Observations: list}, nil
}

// readList merges the platform's list on a few instances of the data centre.
func (v *View) readList(ctx context.Context) {
	if v.cfg.PlatformList == nil || !v.cfg.Members.Among("endpoint-list", listReaders) {
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
