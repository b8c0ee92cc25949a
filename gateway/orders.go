package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/promptcache"
	"redwingknot/rollout"
)

// EndpointClient asks endpoints for their state and orders them to load weights.
type EndpointClient interface {
	// State returns the state of an endpoint, and what its response says about further
	// calls.
	State(ctx context.Context, endpoint *fleet.Endpoint) (rollout.EndpointState, fleet.Notice, error)
	// Load sends an order to load weights; leader is the name of the sender and
	// fencingToken its fencing token. The endpoint refuses the order unless the
	// number of orders that it has accepted is expectedOrders.
	Load(ctx context.Context, o rollout.Order, expectedOrders int64, leader string, fencingToken int64) (rollout.Result, fleet.Notice, error)
}

// PausedError reports that an endpoint was not called because it has asked this instance
// for a pause.
type PausedError struct{ Endpoint string }

// Error implements the error interface.
func (e *PausedError) Error() string { return "endpoint " + e.Endpoint + " has asked for a pause" }

const (
	// orderInterval is the interval of checks for orders that are due.
	orderInterval = 30 * time.Millisecond
	// leaderCheckInterval is the interval of checks whether this instance is the
	// leader. They are needed because the elector sends no notification if its lease
	// is renewed late, after the instance stopped acting as the leader.
	leaderCheckInterval = 300 * time.Millisecond
	// leaderChangeMargin is added to the minimum time between orders of two leaders.
	leaderChangeMargin = 150 * time.Millisecond
)

// leaderTerm is a period in which this instance is the leader.
type leaderTerm struct {
	fencingToken int64
	since        time.Time
	planner      *rollout.Planner
}

// runOrders orders endpoints to load the wanted weights while this instance is the
// leader, until ctx ends.
func (g *Gateway) runOrders(ctx context.Context) error {
	var current leaderTerm
	known := rollout.NewKnownVersions()
	for ctx.Err() == nil {
		known.Observe(g.view.Snapshot(), g.opts.Relay.Now())
		changed := g.elector.Changed()
		fencingToken, isLeader := g.elector.FencingToken()
		if !isLeader {
			timer.Wait(ctx, changed, leaderCheckInterval)
			continue
		}
		timer.Sleep(ctx, orderInterval)
		// The snapshot is taken before the clock is read, so that no version seems known for longer
		// than it is.
		latest := g.view.Snapshot()
		now := g.opts.Relay.Now()
		if current.fencingToken != fencingToken {
			current = leaderTerm{fencingToken: fencingToken, since: now, planner: rollout.NewPlanner()}
		}
		if now.Sub(current.since) < g.opts.LeaderChangeDelay+leaderChangeMargin {
			// The previous leader may have sent an order until this term began.
			continue
		}
		s := known.Loadable(latest, promptcache.LoadDelay, now)
		g.checkPendingOrders(ctx, &current, current.planner.DuePolls(s, now))
		g.announceLoads(current.planner.DuePlans(s, g.runningAt, now))
		g.sendOrders(ctx, &current, current.planner.DueOrders(s, g.exchange.PropagationTime(), now))
	}
	return nil
}

// announceLoads tells all instances which endpoints load weights next.
func (g *Gateway) announceLoads(plans []rollout.Order) {
	for _, o := range plans {
		g.relay.Endpoints().RecordWeightLoad(o.Endpoint, o.Model, o.Version, peers.LoadPlanned)
	}
	if len(plans) > 0 {
		event.LoadsPlanned.Log(g.log, slog.Int("endpoints", len(plans)), slog.String("model", plans[0].Model), slog.Int64("version", plans[0].Version))
	}
}

// runningAt returns the number of requests that run at an endpoint.
func (g *Gateway) runningAt(e *fleet.Endpoint) int { return g.relay.Endpoints().RunningAt(e.Key()) }

// recordResult records the result of an order, and tells all instances how far the load is.
func (g *Gateway) recordResult(t *leaderTerm, o rollout.Order, r rollout.Result, now time.Time) {
	t.planner.RecordResult(o, r, now)
	switch r {
	case rollout.Accepted:
		g.relay.Endpoints().RecordWeightLoad(o.Endpoint, o.Model, o.Version, peers.LoadOrdered)
	case rollout.AlreadyLoaded:
		g.relay.Endpoints().RecordWeightLoad(o.Endpoint, o.Model, o.Version, peers.LoadComplete)
	}
}

// checkPendingOrders asks the endpoints of orders whether they have loaded the
// weights, and records the orders that are completed.
func (g *Gateway) checkPendingOrders(ctx context.Context, t *leaderTerm, orders []rollout.Order) {
	loaded := make([]bool, len(orders))
	forEachConcurrently(orders, func(i int, o rollout.Order) {
		state, err := g.endpointState(ctx, o.Endpoint)
		if err != nil {
			event.LoadOrderFailed.Log(g.log, slog.String("endpoint", o.Endpoint.ID), slog.String("error", err.Error()))
			return
		}
		loaded[i] = state.Weights[o.Model] >= o.Version
	})
	now := g.opts.Relay.Now()
	for i, o := range orders {
		if loaded[i] {
			g.recordResult(t, o, rollout.AlreadyLoaded, now)
		}
	}
}

// endpointState asks an endpoint for its state unless it has asked for a pause.
func (g *Gateway) endpointState(ctx context.Context, endpoint *fleet.Endpoint) (rollout.EndpointState, error) {
	if !g.relay.Endpoints().MayCall(endpoint.Key()) {
		return rollout.EndpointState{}, &PausedError{Endpoint: endpoint.ID}
	}
	state, notice, err := g.opts.Endpoints.State(ctx, endpoint)
	g.relay.Endpoints().RecordNotice(endpoint.Key(), notice)
	return state, err
}

// forEachConcurrently calls f for all orders concurrently and waits for the calls to
// return.
func forEachConcurrently(orders []rollout.Order, f func(i int, o rollout.Order)) {
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i, o)
		}()
	}
	wg.Wait()
}

// sendOrders sends orders concurrently and records their results.
func (g *Gateway) sendOrders(ctx context.Context, t *leaderTerm, orders []rollout.Order) {
	results := make([]rollout.Result, len(orders))
	forEachConcurrently(orders, func(i int, o rollout.Order) { results[i] = g.sendOrder(ctx, o, t.fencingToken) })
	now := g.opts.Relay.Now()
	for i, o := range orders {
		g.recordResult(t, o, results[i], now)
	}
}

// sendOrder sends one order unless the endpoint has the weights or the term with
// that fencing token is over. The order contains the number of orders that the endpoint
// has accepted, so that an order that arrives late, after a newer one, has no
// effect.
func (g *Gateway) sendOrder(ctx context.Context, o rollout.Order, fencingToken int64) rollout.Result {
	attrs := []slog.Attr{
		slog.String("endpoint", o.Endpoint.ID), slog.String("model", o.Model), slog.Int64("version", o.Version),
		slog.Int64("fence", fencingToken), slog.Int("running", g.runningAt(o.Endpoint)),
	}
	state, err := g.endpointState(ctx, o.Endpoint)
	if err != nil {
		event.LoadOrderFailed.Log(g.log, append(attrs, slog.String("error", err.Error()))...)
		return rollout.NoAnswer
	}
	if state.Weights[o.Model] >= o.Version {
		return rollout.AlreadyLoaded
	}
	if currentToken, ok := g.elector.FencingToken(); !ok || currentToken != fencingToken {
		return rollout.NoAnswer
	}
	result, notice, err := g.opts.Endpoints.Load(ctx, o, state.AcceptedOrders, g.opts.Instance, fencingToken)
	g.relay.Endpoints().RecordNotice(o.Endpoint.Key(), notice)
	metric.Counter("load_orders_total").Inc(1)
	attrs = append(attrs, slog.Int64("expected", state.AcceptedOrders), slog.String("result", result.String()))
	if err != nil {
		event.LoadOrderFailed.Log(g.log, append(attrs, slog.String("error", err.Error()))...)
		return result
	}
	event.LoadOrderSent.Log(g.log, attrs...)
	return result
}
