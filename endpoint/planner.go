package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingknot/engine"
	"redwingknot/note"
)

// Time limits of orders and reports.
const (
	// orderTimeout is the timeout of an order call. An order that arrives at all
	// arrives within this time.
	orderTimeout = time.Second
	// orderExpiry is the time after its arrival within which an order must start;
	// after that it is void.
	orderExpiry = 2 * time.Second
	// settleTime is the longest time between the sending of an order and its start.
	// An order that was sent longer ago has settled: it has started or never will.
	settleTime = orderTimeout + orderExpiry
	// reportLag is the longest time by which a report lags behind the engine's
	// state.
	reportLag = 2 * time.Second
	// abandonTime is the time after an order for which an endpoint that gives no
	// report is assumed to be carrying out the order.
	abandonTime = 30 * time.Second
)

// Worker is an engine with what is known about it, as input to the planner.
type Worker struct {
	Endpoint  note.Endpoint
	Report    engine.Report
	Reachable bool // the report is recent and the last poll succeeded
	Leaving   bool // the endpoint takes no new work
}

// serves reports whether the worker can take new work now.
func (w Worker) serves() bool {
	return w.Reachable && !w.Leaving && w.Report.Version != "" && w.Report.Loading == ""
}

// PlanInput is the input of Planner.Plan.
type PlanInput struct {
	State   *note.State
	Workers []Worker // engines of one data centre
	// Slots is the number of workers of each service that may load at the same time
	// in this data centre.
	Slots map[string]int
	// AllowedStarts is the number of loads of each service that may start now.
	AllowedStarts map[string]int
	FencingToken  int64 // fencing token of this leader, sent with each order
}

// EndpointOrder is an order and the endpoint to send it to.
type EndpointOrder struct {
	Endpoint note.Endpoint
	Order    engine.Order
}

// BlockedSwap is a service whose weight swap waits, because no serving worker can be
// taken out without going below the floor.
type BlockedSwap struct {
	Service string
	Serving int // workers that serve now
	Floor   int // workers that must keep serving
}

// Plan is the result of Planner.Plan.
type Plan struct {
	Orders       []EndpointOrder
	BlockedSwaps []BlockedSwap
	// Loading is the number of workers of each service that are loading, or may
	// start to load because of an earlier order.
	Loading map[string]int
	// NeedOrder is the number of workers of each service that need an order: they
	// answer, are neither leaving nor loading, and are not in the wanted state.
	NeedOrder map[string]int
	// UsableSlots is the number of load slots of each service that this data centre can
	// use. Swaps that the floor forbids are not counted, which leaves their slots to
	// other data centres.
	UsableSlots map[string]int
}

// pendingOrder is an order whose effect has not yet been seen in a report.
type pendingOrder struct {
	want   engine.Order
	sentAt time.Time // when it was sent, or planned if it has not been sent yet
}

// Planner decides which orders to send. It keeps the orders of this leader that may
// still take effect. It is not safe for concurrent use.
//
// Its orders never let more than PlanInput.Slots workers of a service load at the
// same time, and no order takes a serving worker out of service if the number of
// serving workers would fall below the floor.
type Planner struct {
	minServingShare float64                 // share of a service's workers that keeps serving, from 0 to 1
	pending         map[string]pendingOrder // by endpoint
	refusedTokens   map[string]int64        // fencing token that an endpoint refused, by endpoint
}

// NewPlanner returns a planner that keeps at least the share minServingShare of
// each service's workers serving while it swaps weights. ServingFloor gives the
// exact number.
func NewPlanner(minServingShare float64) *Planner {
	return &Planner{minServingShare: minServingShare, pending: map[string]pendingOrder{}, refusedTokens: map[string]int64{}}
}

// Reset forgets the orders and refusals of an earlier term as the leader. Those
// orders have settled before a slot of the new term is usable.
func (p *Planner) Reset() {
	clear(p.pending)
	clear(p.refusedTokens)
}

// RecordRefusal records that an endpoint refused an order with the given fencing token
// because it has obeyed a later leader.
func (p *Planner) RecordRefusal(name string, token int64) {
	delete(p.pending, name)
	p.refusedTokens[name] = token
}

// RecordSend records that the order to the endpoint is being sent now.
func (p *Planner) RecordSend(now time.Time, name string) {
	if pending, ok := p.pending[name]; ok {
		pending.sentAt = now
		p.pending[name] = pending
	}
}

// Plan returns the orders to send now. Each returned order is pending from now
// on.
func (p *Planner) Plan(now time.Time, in PlanInput) Plan {
	plan := Plan{Loading: map[string]int{}, NeedOrder: map[string]int{}, UsableSlots: map[string]int{}}
	if in.State == nil {
		return plan
	}
	p.dropSettled(now, in.Workers)
	for _, group := range groupByService(in) {
		p.planService(now, in, group, &plan)
	}
	return plan
}

// dropSettled drops pending orders whose effect a report shows, and those that can
// no longer take effect or that have been without a report for abandonTime.
func (p *Planner) dropSettled(now time.Time, workers []Worker) {
	byName := map[string]Worker{}
	for _, w := range workers {
		byName[w.Endpoint.Name] = w
	}
	for name, pending := range p.pending {
		w, present := byName[name]
		reportedSince := w.Report.At.After(pending.sentAt)
		switch {
		case !present && now.Sub(pending.sentAt) > abandonTime, now.Sub(pending.sentAt) > abandonTime && !reportedSince:
			delete(p.pending, name)
		case present && reportedSince && w.Report.Loading == "" && satisfies(w.Report, pending.want):
			delete(p.pending, name)
		case present && w.Report.At.Sub(pending.sentAt) > settleTime+reportLag:
			delete(p.pending, name)
		}
	}
}

// satisfies reports whether a report shows the weights and adapters that want
// asks for.
func satisfies(r engine.Report, want engine.Order) bool {
	if r.Model != want.Model || r.Version != want.Version {
		return false
	}
	have := slices.Clone(r.Adapters)
	slices.Sort(have)
	return slices.Equal(have, want.Adapters)
}

// serviceWorkers holds the workers of a service and the state they should have.
type serviceWorkers struct {
	service note.Service
	want    engine.Order
	workers []Worker
}

// groupByService returns the model services that have workers, sorted by name.
func groupByService(in PlanInput) []serviceWorkers {
	byName := map[string]*serviceWorkers{}
	for _, w := range in.Workers {
		service, ok := in.State.Services[w.Endpoint.Service]
		want, wanted := WantedOrder(in.State, service)
		if !ok || !wanted {
			continue
		}
		if byName[service.Name] == nil {
			byName[service.Name] = &serviceWorkers{service: service, want: want}
		}
		byName[service.Name].workers = append(byName[service.Name].workers, w)
	}
	var groups []serviceWorkers
	for _, g := range byName {
		slices.SortFunc(g.workers, func(a, b Worker) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(a, b serviceWorkers) int { return cmp.Compare(a.service.Name, b.service.Name) })
	return groups
}

// WantedOrder returns the order that brings a worker of service to the weights and
// adapters in state, without fencing token and expiry. It returns false if the
// service is not a model service or its model is unknown.
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

// ServingFloor returns how many of a service's workers must keep serving during a swap,
// given the share that must. It is at most workers-1, so that one worker may always
// swap when all serve; otherwise a service with one worker could never swap.
func ServingFloor(share float64, workers int) int {
	return min(int(math.Ceil(share*float64(workers))), max(workers-1, 0))
}

// planService adds the orders and figures of one service to plan.
func (p *Planner) planService(now time.Time, in PlanInput, g serviceWorkers, plan *Plan) {
	loading, serving := 0, 0
	for _, w := range g.workers {
		if p.mayBeLoading(w) {
			loading++
		} else if w.serves() {
			serving++
		}
	}
	candidates := p.workersToChange(g)
	name := g.service.Name
	plan.Loading[name], plan.NeedOrder[name] = loading, len(candidates)
	floor := ServingFloor(p.minServingShare, len(g.workers))
	plan.UsableSlots[name] = loading + startableLoads(candidates, serving-floor)
	maxLoading := min(in.Slots[name], loading+in.AllowedStarts[name])
	for _, w := range candidates {
		if loading >= maxLoading {
			return
		}
		if !p.acceptsOrders(in, w) {
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
		plan.Orders = append(plan.Orders, p.issueOrder(now, in, g, w))
	}
}

// startableLoads returns how many of the candidates may load at the same time if
// up to spare serving workers can be taken out of service.
func startableLoads(candidates []Worker, spare int) int {
	notServing, serving := 0, 0
	for _, w := range candidates {
		if w.serves() {
			serving++
		} else {
			notServing++
		}
	}
	return notServing + min(serving, max(spare, 0))
}

// mayBeLoading reports whether a worker is loading, or may start to because of a
// pending order. The report counts even without a pending order: a worker without
// weights may be loading because of an earlier leader's order.
func (p *Planner) mayBeLoading(w Worker) bool {
	_, pending := p.pending[w.Endpoint.Name]
	return pending || w.Reachable && w.Report.Loading != ""
}

// workersToChange returns the workers that need an order, see Plan.NeedOrder. Those
// that are not serving come first, because a load on them costs no capacity.
func (p *Planner) workersToChange(g serviceWorkers) []Worker {
	var candidates []Worker
	for _, w := range g.workers {
		if w.Reachable && !w.Leaving && !p.mayBeLoading(w) && !satisfies(w.Report, g.want) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Worker) int { return boolToInt(a.serves()) - boolToInt(b.serves()) })
	return candidates
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// acceptsOrders reports whether the worker can be expected to accept orders from
// this leader: it has not refused a fencing token at or above in.Fence.
func (p *Planner) acceptsOrders(in PlanInput, w Worker) bool {
	token, refused := p.refusedTokens[w.Endpoint.Name]
	return !refused || token < in.FencingToken
}

// issueOrder returns the order for a worker and records it as pending.
func (p *Planner) issueOrder(now time.Time, in PlanInput, g serviceWorkers, w Worker) EndpointOrder {
	order := g.want
	order.Fence = in.FencingToken
	order.Expires = orderExpiry
	p.pending[w.Endpoint.Name] = pendingOrder{want: order, sentAt: now}
	return EndpointOrder{Endpoint: w.Endpoint, Order: order}
}
