package endpoint

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/note"
)

// planInterval is the time between two plannings.
const planInterval = 500 * time.Millisecond

// DefaultServingShare is the part of a service's workers that goes on serving while
// weights are swapped.
const DefaultServingShare = 0.75

// Lead is what Orders needs of the data centre's lead.
type Lead interface {
	// FencingToken returns the fencing number, and whether this instance leads now.
	FencingToken() (fence int64, ok bool)
	// LeaderLease returns the lease of the lead while it is held.
	LeaderLease() (metastore.LeaseID, bool)
}

// OrdersConfig is what Orders needs. Floor, LoadsPerSecond, Now and Logger may
// be left out.
type OrdersConfig struct {
	View  *View
	Lead  Lead
	KV    metastore.KV
	Self  string
	State func() *note.State
	// Engine returns the client of an endpoint.
	Engine func(e note.Endpoint) engine.Engine
	// ServingShare is the part of a service's workers that goes on serving.
	ServingShare float64
	// LoadsPerSecond is the weight store's rate in loads, shared among the
	// slots of a service; 0 for no limit.
	LoadsPerSecond float64
	Now            func() time.Time
	Logger         *slog.Logger
}

// Orders brings the engines of a data centre to the wanted state while this
// instance is its lead. Orders go out one after the other, with a check of the
// lead before each, so that a lead paused for long has at most one order left
// to send.
type Orders struct {
	cfg     OrdersConfig
	planner *Planner
	slots   map[string]*slots
	budgets map[string]*rate.Limiter
	fence   int64 // of the tenure that the planner's memory belongs to
}

// NewOrders returns Orders that do nothing before Run.
func NewOrders(cfg OrdersConfig) *Orders {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.ServingShare == 0 {
		cfg.ServingShare = DefaultServingShare
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Orders{
		cfg:     cfg,
		planner: NewPlanner(cfg.ServingShare),
		slots:   map[string]*slots{},
		budgets: map[string]*rate.Limiter{},
	}
}

// Run plans and gives orders until ctx ends.
func (o *Orders) Run(ctx context.Context) error {
	return timer.Every(ctx, planInterval, func() { o.round(ctx) })
}

// round makes one planning if this instance leads.
func (o *Orders) round(ctx context.Context) {
	fence, held := o.cfg.Lead.FencingToken()
	lease, leased := o.cfg.Lead.LeaderLease()
	state := o.cfg.State()
	if !held || !leased || state == nil {
		return
	}
	o.enter(fence)
	workers := o.workers(ctx, state)
	plan := o.planner.Plan(o.cfg.Now(), o.input(state, workers, lease))
	o.report(plan)
	for _, i := range plan.Orders {
		o.give(ctx, fence, i)
	}
	o.syncSlots(ctx, state, lease, plan)
}

// enter starts a tenure: the planner forgets, for the slots of the new lease
// are not usable before earlier orders have settled.
func (o *Orders) enter(fence int64) {
	if fence == o.fence {
		return
	}
	o.fence = fence
	o.planner.Reset()
}

func (o *Orders) input(state *note.State, workers []Worker, lease metastore.LeaseID) PlanInput {
	now := o.cfg.Now()
	in := PlanInput{
		State:         state,
		Workers:       workers,
		Slots:         map[string]int{},
		AllowedStarts: map[string]int{},
		Fence:         o.fence,
	}
	for name, s := range o.slots {
		in.Slots[name] = s.usable(now, lease)
		in.AllowedStarts[name] = o.starts(now, name, in.Slots[name])
	}
	return in
}

// starts returns how many loads of a service may begin now by the weight
// store's rate. Each slot carries the same part of it, so the fleet's sum is
// the rate whichever data centres hold the slots.
func (o *Orders) starts(now time.Time, service string, usable int) int {
	if o.cfg.LoadsPerSecond == 0 {
		return usable
	}
	b := o.budgets[service]
	if b == nil {
		b = rate.NewLimiter(0, 1)
		o.budgets[service] = b
	}
	part := o.cfg.LoadsPerSecond / float64(len(o.slots)) / float64(o.slots[service].limit)
	b.SetLimitAt(now, rate.Limit(part*float64(usable)))
	return int(b.TokensAt(now))
}

// workers returns the engines of the data centre. Those with an order on the
// way are asked directly, for the view may lag.
func (o *Orders) workers(ctx context.Context, state *note.State) []Worker {
	var list []Worker
	for _, e := range state.Endpoints {
		if !o.cfg.View.known(e.Name) || state.Services[e.Service].Kind != note.KindModel {
			continue
		}
		if _, pending := o.planner.pending[e.Name]; pending {
			o.readBack(ctx, e)
		}
		r, fresh := o.cfg.View.Report(e.Name)
		list = append(list, Worker{Endpoint: e, Report: r, Reachable: fresh, Leaving: o.cfg.View.Leaving(e.Name)})
	}
	return list
}

// readBack asks an endpoint for its report.
func (o *Orders) readBack(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := o.cfg.Now()
	r, err := o.cfg.Engine(e).Report(ctx)
	if err != nil {
		return
	}
	r.At = sent
	o.cfg.View.MergeReport(e.Name, r)
}

// give sends one order. Its outcome is read from the endpoint's reports only.
func (o *Orders) give(ctx context.Context, fence int64, i EndpointOrder) {
	now, held := o.cfg.Lead.FencingToken()
	if !held || now != fence {
		return
	}
	if b := o.budgets[i.Endpoint.Service]; b != nil {
		b.AllowN(o.cfg.Now(), 1)
	}
	o.planner.RecordSend(o.cfg.Now(), i.Endpoint.Name)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.cfg.Engine(i.Endpoint).Order(ctx, i.Order)
	metric.Counter("orders_total", "result", resultOf(err)).Inc(1)
	attrs := []slog.Attr{slog.String("endpoint", i.Endpoint.Name), slog.String("version", i.Order.Version)}
	var fenced *engine.FencedError
	switch {
	case errors.As(err, &fenced):
		o.planner.RecordRefusal(i.Endpoint.Name, i.Order.Fence)
		event.OrderFenced.Log(o.cfg.Logger, attrs...)
	case err != nil:
		event.OrderFailed.Log(o.cfg.Logger, append(attrs, slog.Any("error", err))...)
	default:
		event.OrderGiven.Log(o.cfg.Logger, attrs...)
	}
}

func (o *Orders) report(plan Plan) {
	for name, n := range plan.NeedOrder {
		metric.Gauge("endpoints_wanting", "service", name).Update(int64(n))
		metric.Gauge("endpoints_loading", "service", name).Update(int64(plan.Loading[name]))
	}
	for _, h := range plan.BlockedSwaps {
		event.SwapHeld.Log(o.cfg.Logger, slog.String("service", h.Service), slog.Int("serving", h.Serving), slog.Int("floor", h.Floor))
	}
}

// syncSlots takes and frees the slots of each service.
func (o *Orders) syncSlots(ctx context.Context, state *note.State, lease metastore.LeaseID, plan Plan) {
	for _, name := range slices.Sorted(maps.Keys(plan.NeedOrder)) {
		s := o.slots[name]
		if s == nil {
			s = newSlots(o.cfg.KV, o.cfg.Self, name)
			o.slots[name] = s
		}
		s.limit = max(state.Services[name].LoadsAtOnce, 1)
		loading := plan.Loading[name] + ordersOf(plan, name)
		if err := s.sync(ctx, o.cfg.Now(), lease, plan.UsableSlots[name], loading); err != nil {
			metric.Counter("load_slot_failures_total").Inc(1)
		}
	}
}

func ordersOf(plan Plan, service string) int {
	count := 0
	for _, i := range plan.Orders {
		if i.Endpoint.Service == service {
			count++
		}
	}
	return count
}
