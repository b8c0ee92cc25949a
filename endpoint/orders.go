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

// planInterval is the time between two runs of the planner.
const planInterval = 500 * time.Millisecond

// DefaultServingShare is the default share of a service's workers, from 0 to 1, that
// keeps serving while weights are swapped.
const DefaultServingShare = 0.75

// Leader tells Orders whether this instance is the leader of its data centre.
type Leader interface {
	// FencingToken returns the fencing token, and whether this instance is the leader now.
	FencingToken() (token int64, ok bool)
	// LeaderLease returns the leader lease under which this instance is the leader,
	// and whether it holds the lease now.
	LeaderLease() (metastore.LeaseID, bool)
}

// OrdersConfig configures Orders. ServingShare, LoadsPerSecond, Now and Logger are
// optional; their defaults are DefaultServingShare, no limit, time.Now and no logging.
type OrdersConfig struct {
	View   *View
	Leader Leader
	KV     metastore.KV
	Self   string             // identifier of this instance
	State  func() *note.State // configuration in force, nil if there is none
	// Engine returns the client of an endpoint.
	Engine func(e note.Endpoint) engine.Engine
	// ServingShare is the share of a service's workers that keeps serving while weights
	// are swapped, from 0 to 1.
	ServingShare float64
	// LoadsPerSecond is the number of loads that the weight store allows to start
	// per second in the whole fleet. It is divided evenly among the services and
	// among the slots of a service; 0 means no limit.
	LoadsPerSecond float64
	Now            func() time.Time
	Logger         *slog.Logger
}

// Orders brings the engines of a data centre to the wanted state while this
// instance is its leader. It sends orders one at a time and checks before each that
// this instance is still the leader, so that a leader whose process is paused for
// long sends at most one order after it has lost the leader lease.
type Orders struct {
	cfg           OrdersConfig
	planner       *Planner
	slots         map[string]*loadSlots    // by service
	startLimiters map[string]*rate.Limiter // limits started loads, by service
	plannerToken  int64                    // fencing token of the term that the planner's pending orders belong to
}

// NewOrders returns Orders. It sends orders only while Run runs.
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
		cfg:           cfg,
		planner:       NewPlanner(cfg.ServingShare),
		slots:         map[string]*loadSlots{},
		startLimiters: map[string]*rate.Limiter{},
	}
}

// Run plans and sends orders every planInterval until ctx ends. It always returns
// nil.
func (o *Orders) Run(ctx context.Context) error {
	return timer.Every(ctx, planInterval, func() { o.planAndSend(ctx) })
}

// planAndSend runs the planner once, sends its orders and adjusts the load slots.
// It does nothing if this instance is not the leader.
func (o *Orders) planAndSend(ctx context.Context) {
	token, held := o.cfg.Leader.FencingToken()
	lease, leased := o.cfg.Leader.LeaderLease()
	state := o.cfg.State()
	if !held || !leased || state == nil {
		return
	}
	o.startTerm(token)
	workers := o.collectWorkers(ctx, state)
	plan := o.planner.Plan(o.cfg.Now(), o.plannerInput(state, workers, lease))
	o.recordPlan(plan)
	for _, order := range plan.Orders {
		o.sendOrder(ctx, token, order)
	}
	o.syncSlots(ctx, state, lease, plan)
}

// startTerm resets the planner if token belongs to a new term as the leader. The
// planner can forget earlier orders, because no slot of the new lease is usable
// before these orders have settled, see settleTime.
func (o *Orders) startTerm(token int64) {
	if token == o.plannerToken {
		return
	}
	o.plannerToken = token
	o.planner.Reset()
}

// plannerInput returns the planner's input with the usable slots and allowed
// starts of each service.
func (o *Orders) plannerInput(state *note.State, workers []Worker, lease metastore.LeaseID) PlanInput {
	now := o.cfg.Now()
	in := PlanInput{
		State:         state,
		Workers:       workers,
		Slots:         map[string]int{},
		AllowedStarts: map[string]int{},
		FencingToken:  o.plannerToken,
	}
	for name, s := range o.slots {
		in.Slots[name] = s.usableCount(now, lease)
		in.AllowedStarts[name] = o.allowedStarts(now, name, in.Slots[name])
	}
	return in
}

// allowedStarts returns how many loads of a service may start now under the weight
// store's rate limit. Every slot has an equal share of the rate, so the rates in
// the fleet add up to the limit, whichever data centres hold the slots.
func (o *Orders) allowedStarts(now time.Time, service string, usable int) int {
	if o.cfg.LoadsPerSecond == 0 {
		return usable
	}
	limiter := o.startLimiters[service]
	if limiter == nil {
		limiter = rate.NewLimiter(0, 1)
		o.startLimiters[service] = limiter
	}
	slotRate := o.cfg.LoadsPerSecond / float64(len(o.slots)) / float64(o.slots[service].limit)
	limiter.SetLimitAt(now, rate.Limit(slotRate*float64(usable)))
	return int(limiter.TokensAt(now))
}

// collectWorkers returns the engines of the data centre. It requests the reports
// of those with a pending order directly, since the view may lag.
func (o *Orders) collectWorkers(ctx context.Context, state *note.State) []Worker {
	var workers []Worker
	for _, e := range state.Endpoints {
		if !o.cfg.View.isConfigured(e.Name) || state.Services[e.Service].Kind != note.KindModel {
			continue
		}
		if _, pending := o.planner.pending[e.Name]; pending {
			o.refreshReport(ctx, e)
		}
		r, reachable := o.cfg.View.Report(e.Name)
		workers = append(workers, Worker{Endpoint: e, Report: r, Reachable: reachable, Leaving: o.cfg.View.Leaving(e.Name)})
	}
	return workers
}

// refreshReport requests an endpoint's report and adds it to the view. Failures
// are ignored.
func (o *Orders) refreshReport(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := o.cfg.Now()
	r, err := o.cfg.Engine(e).Report(ctx)
	if err != nil {
		return
	}
	r.At = sentAt
	o.cfg.View.MergeReport(e.Name, r)
}

// sendOrder sends one order unless this instance has lost the leader lease. Whether the
// order takes effect is known only from the endpoint's later reports.
func (o *Orders) sendOrder(ctx context.Context, token int64, order EndpointOrder) {
	currentToken, held := o.cfg.Leader.FencingToken()
	if !held || currentToken != token {
		return
	}
	if limiter := o.startLimiters[order.Endpoint.Service]; limiter != nil {
		limiter.AllowN(o.cfg.Now(), 1)
	}
	o.planner.RecordSend(o.cfg.Now(), order.Endpoint.Name)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.cfg.Engine(order.Endpoint).Order(ctx, order.Order)
	metric.Counter("orders_total", "result", resultLabel(err)).Inc(1)
	attrs := []slog.Attr{slog.String("endpoint", order.Endpoint.Name), slog.String("version", order.Order.Version)}
	var fenced *engine.FencedError
	switch {
	case errors.As(err, &fenced):
		o.planner.RecordRefusal(order.Endpoint.Name, order.Order.Fence)
		event.OrderFenced.Log(o.cfg.Logger, attrs...)
	case err != nil:
		event.OrderFailed.Log(o.cfg.Logger, append(attrs, slog.Any("error", err))...)
	default:
		event.OrderGiven.Log(o.cfg.Logger, attrs...)
	}
}

// recordPlan updates the metrics and logs the swaps that wait for capacity.
func (o *Orders) recordPlan(plan Plan) {
	for name, n := range plan.NeedOrder {
		metric.Gauge("endpoints_wanting", "service", name).Update(int64(n))
		metric.Gauge("endpoints_loading", "service", name).Update(int64(plan.Loading[name]))
	}
	for _, swap := range plan.BlockedSwaps {
		event.SwapBlocked.Log(o.cfg.Logger, slog.String("service", swap.Service), slog.Int("serving", swap.Serving), slog.Int("floor", swap.Floor))
	}
}

// syncSlots acquires and releases load slots of each service as the plan needs
// them. Failures are counted in a metric.
func (o *Orders) syncSlots(ctx context.Context, state *note.State, lease metastore.LeaseID, plan Plan) {
	for _, name := range slices.Sorted(maps.Keys(plan.NeedOrder)) {
		s := o.slots[name]
		if s == nil {
			s = newLoadSlots(o.cfg.KV, o.cfg.Self, name)
			o.slots[name] = s
		}
		s.limit = max(state.Services[name].LoadsAtOnce, 1)
		loading := plan.Loading[name] + countOrders(plan, name)
		if err := s.sync(ctx, o.cfg.Now(), lease, plan.UsableSlots[name], loading); err != nil {
			metric.Counter("load_slot_failures_total").Inc(1)
		}
	}
}

// countOrders returns the number of orders in plan for a service.
func countOrders(plan Plan, service string) int {
	count := 0
	for _, order := range plan.Orders {
		if order.Endpoint.Service == service {
			count++
		}
	}
	return count
}
