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
	State(ctx context.Context, to *fleet.Endpoint) (rollout.EndpointState, error)
	Load(ctx context.Context, o rollout.Order, expected int64, holder string, fence int64) (rollout.Result, error)
}

const (
	// orderInterval is the time between looks for orders that are due.
	orderInterval = 30 * time.Millisecond
	// idleInterval is the time between looks whether this instance leads, beside
	// the lead's own word: a renewal that comes late says nothing.
	idleInterval = 300 * time.Millisecond
	// holderMargin is added to the least time between two holders.
	holderMargin = 150 * time.Millisecond
)

// tenure is this instance's current holding of the lead.
type tenure struct {
	fence   int64
	since   time.Time
	planner *rollout.Planner
}

// runOrders brings the engines to the wanted weights while this instance leads.
func (g *Gateway) runOrders(ctx context.Context) error {
	var current tenure
	for ctx.Err() == nil {
		changed := g.lead.Changed()
		fence, held := g.lead.FencingToken()
		if !held {
			timer.Wait(ctx, changed, idleInterval)
			continue
		}
		timer.Sleep(ctx, orderInterval)
		now := g.o.Relay.Now()
		if current.fence != fence {
			current = tenure{fence: fence, since: now, planner: rollout.NewPlanner()}
		}
		if now.Sub(current.since) < g.o.OrderLease+holderMargin {
			// The holder before may have sent an order until now.
			continue
		}
		s := g.view.Snapshot()
		g.ask(ctx, &current, current.planner.DuePolls(s, now))
		g.give(ctx, &current, current.planner.DueOrders(s, now))
	}
	return nil
}

// ask finds out which orders are carried out by now.
func (g *Gateway) ask(ctx context.Context, t *tenure, orders []rollout.Order) {
	loaded := make([]bool, len(orders))
	eachAtOnce(orders, func(i int, o rollout.Order) {
		state, err := g.o.Endpoints.State(ctx, o.Endpoint)
		if err != nil {
			event.LoadOrderFailed.Log(g.log, slog.String("endpoint", o.Endpoint.ID), slog.String("error", err.Error()))
			return
		}
		loaded[i] = state.Weights[o.Model] >= o.Version
	})
	now := g.o.Relay.Now()
	for i, o := range orders {
		if loaded[i] {
			t.planner.RecordResult(o, rollout.AlreadyLoaded, now)
		}
	}
}

// eachAtOnce calls f for all orders side by side and waits for them.
func eachAtOnce(orders []rollout.Order, f func(i int, o rollout.Order)) {
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

// give sends orders side by side and takes their answers.
func (g *Gateway) give(ctx context.Context, t *tenure, orders []rollout.Order) {
	results := make([]rollout.Result, len(orders))
	eachAtOnce(orders, func(i int, o rollout.Order) { results[i] = g.load(ctx, o, t.fence) })
	now := g.o.Relay.Now()
	for i, o := range orders {
		t.planner.RecordResult(o, results[i], now)
	}
}

// load sends one order. The endpoint's count of orders goes with it, so that
// one carried out late, after a newer one, does nothing.
func (g *Gateway) load(ctx context.Context, o rollout.Order, fence int64) rollout.Result {
	attrs := []slog.Attr{
		slog.String("endpoint", o.Endpoint.ID), slog.String("model", o.Model), slog.Int64("version", o.Version),
		slog.Int64("fence", fence),
	}
	state, err := g.o.Endpoints.State(ctx, o.Endpoint)
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
	result, err := g.o.Endpoints.Load(ctx, o, state.AcceptedOrders, g.o.Instance, fence)
	metric.Counter("load_orders_total").Inc(1)
	attrs = append(attrs, slog.Int64("expected", state.AcceptedOrders), slog.String("result", result.String()))
	if err != nil {
		event.LoadOrderFailed.Log(g.log, append(attrs, slog.String("error", err.Error()))...)
		return result
	}
	event.LoadOrderSent.Log(g.log, attrs...)
	return result
}
