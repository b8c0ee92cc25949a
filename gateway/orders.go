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
	"redwingknot/rollout"
)

// EndpointClient sends orders to endpoints.
type EndpointClient interface {
	// State returns the state of an endpoint.
	State(ctx context.Context, to *fleet.Endpoint) (rollout.EndpointState, error)
	// Load sends an order on behalf of holder with its fencing token. The endpoint
	// refuses the order unless the number of orders that it has accepted is
	// expected.
	Load(ctx context.Context, o rollout.Order, expected int64, holder string, fence int64) (rollout.Result, error)
}

const (
	// orderInterval is the interval of checks for orders that are due.
	orderInterval = 30 * time.Millisecond
	// leadCheckInterval is the interval of checks whether this instance holds the
	// lead, in addition to the notification of a change: a late renewal of the lead
	// sends no notification.
	leadCheckInterval = 300 * time.Millisecond
	// holderMargin is added to the minimum time between orders of two holders of
	// the lead.
	holderMargin = 150 * time.Millisecond
)

// tenure is a period in which this instance holds the lead.
type tenure struct {
	fence   int64
	since   time.Time
	planner *rollout.Planner
}

// runOrders orders engines to load the wanted weights while this instance holds the
// lead, until ctx ends.
func (g *Gateway) runOrders(ctx context.Context) error {
	var current tenure
	for ctx.Err() == nil {
		changed := g.lead.Changed()
		fence, held := g.lead.FencingToken()
		if !held {
			timer.Wait(ctx, changed, leadCheckInterval)
			continue
		}
		timer.Sleep(ctx, orderInterval)
		now := g.opts.Relay.Now()
		if current.fence != fence {
			current = tenure{fence: fence, since: now, planner: rollout.NewPlanner()}
		}
		if now.Sub(current.since) < g.opts.LeaderChangeDelay+holderMargin {
			// The previous holder may have sent an order until now.
			continue
		}
		s := g.view.Snapshot()
		g.checkLoads(ctx, &current, current.planner.DuePolls(s, now))
		g.sendOrders(ctx, &current, current.planner.DueOrders(s, now))
	}
	return nil
}

// checkLoads asks the endpoints of orders whether they have loaded the weights, and
// records the orders that are completed.
func (g *Gateway) checkLoads(ctx context.Context, t *tenure, orders []rollout.Order) {
	loaded := make([]bool, len(orders))
	forEachConcurrently(orders, func(i int, o rollout.Order) {
		state, err := g.opts.Endpoints.State(ctx, o.Endpoint)
		if err != nil {
			event.LoadOrderFailed.Log(g.log, slog.String("endpoint", o.Endpoint.ID), slog.String("error", err.Error()))
			return
		}
		loaded[i] = state.Weights[o.Model] >= o.Version
	})
	now := g.opts.Relay.Now()
	for i, o := range orders {
		if loaded[i] {
			t.planner.RecordResult(o, rollout.AlreadyLoaded, now)
		}
	}
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
func (g *Gateway) sendOrders(ctx context.Context, t *tenure, orders []rollout.Order) {
	results := make([]rollout.Result, len(orders))
	forEachConcurrently(orders, func(i int, o rollout.Order) { results[i] = g.sendOrder(ctx, o, t.fence) })
	now := g.opts.Relay.Now()
	for i, o := range orders {
		t.planner.RecordResult(o, results[i], now)
	}
}

// sendOrder sends one order unless the endpoint has the weights or this instance no
// longer holds the lead. The order contains the number of orders that the endpoint
// has accepted, so that an order that arrives late, after a newer one, has no
// effect.
func (g *Gateway) sendOrder(ctx context.Context, o rollout.Order, fence int64) rollout.Result {
	attrs := []slog.Attr{
		slog.String("endpoint", o.Endpoint.ID), slog.String("model", o.Model), slog.Int64("version", o.Version),
		slog.Int64("fence", fence),
	}
	state, err := g.opts.Endpoints.State(ctx, o.Endpoint)
	if err != nil {
		event.LoadOrderFailed.Log(g.log, append(attrs, slog.String("error", err.Error()))...)
		return rollout.NoAnswer
	}
	if state.Weights[o.Model] >= o.Version {
		return rollout.AlreadyLoaded
	}
	if held, ok := g.lead.FencingToken(); !ok || held != fence {
		return rollout.NoAnswer
	}
	result, err := g.opts.Endpoints.Load(ctx, o, state.AcceptedOrders, g.opts.Instance, fence)
	metric.Counter("load_orders_total").Inc(1)
	attrs = append(attrs, slog.Int64("expected", state.AcceptedOrders), slog.String("result", result.String()))
	if err != nil {
		event.LoadOrderFailed.Log(g.log, append(attrs, slog.String("error", err.Error()))...)
		return result
	}
	event.LoadOrderSent.Log(g.log, attrs...)
	return result
}
