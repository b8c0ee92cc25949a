package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingknot/engine"
	"redwingknot/note"
)

// Timing of orders.
const (
	// orderTimeout bounds the call of an order; its bytes arrive within it.
	orderTimeout = time.Second
	// orderExpiry is the time after arrival in which an order must begin.
	orderExpiry = 2 * time.Second
	// settleTime is how long an order may be on its way and not yet begun.
	settleTime = orderTimeout + orderExpiry
	// reportLag is how far a report may lag behind the engine.
	reportLag = 2 * time.Second
	// abandonTime is after which an endpoint that gives no report is held not
	// to be loading any more.
	abandonTime = 30 * time.Second
)

// Worker is an engine as the planner sees it.
type Worker struct {
	Endpoint  note.Endpoint
	Report    engine.Report
	Reachable bool // the report is recent and the endpoint answers
	Leaving   bool // the endpoint takes no new work
}

// serves reports whether the worker can take new work now.
func (w Worker) serves() bool {
	return w.Reachable && !w.Leaving && w.Report.Version != "" && w.Report.Loading == ""
}

// PlanInput is what the planner decides on.
type PlanInput struct {
	State   *note.State
	Workers []Worker // engines of one data centre
	// Slots is how many workers of a service may load at once here.
	Slots map[string]int
	// AllowedStarts is how many loads of a service may begin now.
	AllowedStarts map[string]int
	Fence         int64
}

// EndpointOrder is an order to give to an endpoint.
type EndpointOrder struct {
	Endpoint note.Endpoint
	Order    engine.Order
}

// BlockedSwap is a service whose swap waits for capacity.
type BlockedSwap struct {
	Service string
	Serving int
	Floor   int
}

// Plan is the outcome of one planning.
type Plan struct {
	Orders       []EndpointOrder
	BlockedSwaps []BlockedSwap
	// Loading is the number of workers of each service that load, or may begin
	// to load by an order already given.
	Loading map[string]int
	// NeedOrder is the number of workers of each service that lack the wanted
	// state and don't load.
	NeedOrder map[string]int
	// UsableSlots is how many slots of each service this data centre can use: swaps
	// that the floor does not allow leave them to other data centres.
	UsableSlots map[string]int
}

// given is an order whose effect is not yet known from a report.
type given struct {
	want engine.Order
	at   time.Time
}

// Planner decides which orders to give. It remembers the orders of this lead
// that may still take effect; it has one owner.
//
// At no time do the orders it has given let more than Slots workers of a
// service load at once, and no order takes a serving worker below the floor.
type Planner struct {
	floor   float64
	pending map[string]given
	fenced  map[string]int64 // endpoints that refused a fencing number
}

// NewPlanner returns a planner that keeps the part floor of each service's
// workers serving while it swaps weights.
func NewPlanner(floor float64) *Planner {
	return &Planner{floor: floor, pending: map[string]given{}, fenced: map[string]int64{}}
}

// Reset forgets what an earlier tenure as the lead has given. That has settled
// before a slot of the new tenure is usable.
func (p *Planner) Reset() {
	clear(p.pending)
	clear(p.fenced)
}

// RecordRefusal notes that an endpoint obeys a later lead.
func (p *Planner) RecordRefusal(name string, fence int64) {
	delete(p.pending, name)
	p.fenced[name] = fence
}

// RecordSend notes that an order is sent now.
func (p *Planner) RecordSend(now time.Time, name string) {
	if g, ok := p.pending[name]; ok {
		g.at = now
		p.pending[name] = g
	}
}

// Plan returns the orders to give now. Every order returned counts as given.
func (p *Planner) Plan(now time.Time, in PlanInput) Plan {
	plan := Plan{Loading: map[string]int{}, NeedOrder: map[string]int{}, UsableSlots: map[string]int{}}
	if in.State == nil {
		return plan
	}
	p.settle(now, in.Workers)
	for _, group := range groupByService(in) {
		p.planService(now, in, group, &plan)
	}
	return plan
}

// settle drops given orders whose effect is seen, or that can have none.
func (p *Planner) settle(now time.Time, workers []Worker) {
	reports := map[string]Worker{}
	for _, w := range workers {
		reports[w.Endpoint.Name] = w
	}
	for name, g := range p.pending {
		w, listed := reports[name]
		after := w.Report.At.After(g.at)
		switch {
		case !listed && now.Sub(g.at) > abandonTime, now.Sub(g.at) > abandonTime && !after:
			delete(p.pending, name)
		case listed && after && w.Report.Loading == "" && satisfies(w.Report, g.want):
			delete(p.pending, name)
		case listed && w.Report.At.Sub(g.at) > settleTime+reportLag:
			delete(p.pending, name)
		}
	}
}

// satisfies reports whether a report shows the wanted weights and adapters.
func satisfies(r engine.Report, want engine.Order) bool {
	if r.Model != want.Model || r.Version != want.Version {
		return false
	}
	have := slices.Clone(r.Adapters)
	slices.Sort(have)
	return slices.Equal(have, want.Adapters)
}

// group is the workers of a service and what they should run.
type group struct {
	service note.Service
	want    engine.Order
	workers []Worker
}

// groupByService returns the model services with workers, by name.
func groupByService(in PlanInput) []group {
	byName := map[string]*group{}
	for _, w := range in.Workers {
		service, ok := in.State.Services[w.Endpoint.Service]
		want, wanted := WantedOrder(in.State, service)
		if !ok || !wanted {
			continue
		}
		if byName[service.Name] == nil {
			byName[service.Name] = &group{service: service, want: want}
		}
		byName[service.Name].workers = append(byName[service.Name].workers, w)
	}
	var list []group
	for _, g := range byName {
		slices.SortFunc(g.workers, func(a, b Worker) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b group) int { return cmp.Compare(a.service.Name, b.service.Name) })
	return list
}

// WantedOrder returns the order that brings a worker of service to the state's
// weights and adapters, without fence and expiry.
func WantedOrder(state *note.State, service note.Service) (engine.Order, bool) {
	model, ok := state.Models[service.Model]
	if service.Kind != note.KindModel || !ok {
		return engine.Order{}, false
	}
	want := engine.Order{Model: model.Name, Version: model.Version}
	for _, name := range service.Adapters {
		if a, ok := state.Adapters[name]; ok && a.Model == model.Name {
			want.Adapters = append(want.Adapters, a.Name+"@"+a.Version)
		}
	}
	slices.Sort(want.Adapters)
	return want, true
}

// ServingFloor returns how many of a service's workers must go on serving during a
// swap. One may always swap when all serve, or a service of one never could.
func ServingFloor(part float64, workers int) int {
	return min(int(math.Ceil(part*float64(workers))), max(workers-1, 0))
}

func (p *Planner) planService(now time.Time, in PlanInput, g group, plan *Plan) {
	loading, serving := 0, 0
	for _, w := range g.workers {
		if p.loading(w) {
			loading++
		} else if w.serves() {
			serving++
		}
	}
	wanting := p.wanting(g)
	name := g.service.Name
	plan.Loading[name], plan.NeedOrder[name] = loading, len(wanting)
	floor := ServingFloor(p.floor, len(g.workers))
	plan.UsableSlots[name] = loading + startable(wanting, serving-floor)
	most := min(in.Slots[name], loading+in.AllowedStarts[name])
	for _, w := range wanting {
		if loading >= most {
			return
		}
		if !p.open(in, w) {
			continue
		}
		if w.serves() && serving <= floor {
			plan.BlockedSwaps = append(plan.BlockedSwaps, BlockedSwap{Service: name, Serving: serving, Floor: floor})
			return
		}
		if w.serves() {
			serving--
		}
		loading++
		plan.Orders = append(plan.Orders, p.give(now, in, g, w))
	}
}

// startable returns how many of the wanting workers may load at the same time
// if spare serving ones can be taken.
func startable(wanting []Worker, spare int) int {
	count, served := 0, 0
	for _, w := range wanting {
		if w.serves() {
			served++
		} else {
			count++
		}
	}
	return count + min(served, max(spare, 0))
}

// loading reports whether a worker loads, or may begin to by an order given. A
// worker without weights may be loading under an order of an earlier lead.
func (p *Planner) loading(w Worker) bool {
	_, pending := p.pending[w.Endpoint.Name]
	return pending || w.Reachable && w.Report.Loading != ""
}

// wanting returns the workers to change: those that don't serve come first,
// for their orders cost no capacity.
func (p *Planner) wanting(g group) []Worker {
	var list []Worker
	for _, w := range g.workers {
		if w.Reachable && !w.Leaving && !p.loading(w) && !satisfies(w.Report, g.want) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b Worker) int { return flag(a.serves()) - flag(b.serves()) })
	return list
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// open reports whether this lead may give orders to the worker.
func (p *Planner) open(in PlanInput, w Worker) bool {
	fence, refused := p.fenced[w.Endpoint.Name]
	return !refused || fence < in.Fence
}

func (p *Planner) give(now time.Time, in PlanInput, g group, w Worker) EndpointOrder {
	order := g.want
	order.Fence = in.Fence
	order.Expires = orderExpiry
	p.pending[w.Endpoint.Name] = given{want: order, at: now}
	return EndpointOrder{Endpoint: w.Endpoint, Order: order}
}
