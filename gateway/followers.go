package gateway

import (
	"context"
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metastore"
)

// followers returns what keeps the view up to date.
func (g *Gateway) followers(ctx context.Context) []*follower {
	operator := g.follower(purposeOperator, g.confirmInterval(), g.o.Schema.OperatorRange)
	operator.away = nil
	operator.changed = g.operatorChanged
	operator.confirmed = func(sentAt time.Time) {
		g.storeAnswered()
		g.view.Confirm(sentAt)
	}
	endpoints := g.follower(purposeEndpoints, listInterval, g.o.Schema.EndpointRange)
	endpoints.changed = g.endpointsChanged
	endpoints.confirmed = func(time.Time) { g.storeAnswered() }
	instances := g.follower(purposeMembers, listInterval, memberRange)
	instances.changed = func(fleet.Delta) { g.membersChanged(ctx, instances.mirror) }
	instances.confirmed = func(time.Time) { g.membersChanged(ctx, instances.mirror) }
	return []*follower{operator, endpoints, instances}
}

func (g *Gateway) follower(p metastore.Purpose, interval time.Duration, keys func() (from, to string)) *follower {
	from, to := keys()
	return &follower{
		kv: g.o.KV, purpose: p, from: from, to: to, interval: interval,
		now: g.o.Relay.Now, mirror: fleet.NewMirror(), failed: g.storeFailed, away: g.view.StoreUnreachable,
	}
}

// confirmInterval is the time between reads that confirm the configuration.
func (g *Gateway) confirmInterval() time.Duration {
	interval := g.o.ApplyTime / confirmsPerApply
	if revoke := g.o.Relay.RevokeTime; revoke > 0 {
		interval = min(interval, revoke/confirmsPerRevoke)
	}
	return interval
}

func (g *Gateway) storeAnswered() {
	if g.view.MarkStoreReachable(g.o.Relay.Now()) {
		event.StoreRegained.Log(g.log)
	}
}

func (g *Gateway) storeFailed(err error) {
	if g.view.MarkStoreUnreachable() {
		event.StoreLost.Log(g.log, slog.String("error", err.Error()))
	}
}

func (g *Gateway) operatorChanged(d fleet.Delta) {
	for _, e := range d.Changed {
		before := g.view.Snapshot().Config
		changed, err := g.o.Schema.ApplyOperator(g.view, e)
		s := g.view.Snapshot()
		switch {
		case err != nil:
			event.EntryUnreadable.Log(g.log, slog.String("key", e.Key), slog.String("error", err.Error()))
		case changed && s.Config != before:
			event.ConfigInForce.Log(g.log, slog.Int64("config", s.Config.Version), slog.Int("routes", s.Config.RouteCount()),
				slog.Int("tokens", len(s.Config.Teams)), slog.Int64("revision", e.ModRevision))
		case changed:
			event.WeightsWanted.Log(g.log, slog.Any("weights", s.WantedWeights), slog.Int64("revision", e.ModRevision))
		}
	}
}

func (g *Gateway) endpointsChanged(d fleet.Delta) {
	now := g.o.Relay.Now()
	for _, e := range d.Changed {
		if err := g.o.Schema.ApplyEndpoint(g.view, e, now); err != nil {
			event.EntryUnreadable.Log(g.log, slog.String("key", e.Key), slog.String("error", err.Error()))
			continue
		}
		g.logEndpoint(g.o.Schema.EndpointID(e.Key))
	}
	for _, key := range d.Removed {
		id := g.o.Schema.EndpointID(key)
		g.view.RemoveEndpoint(id, now)
		event.EndpointUnlisted.Log(g.log, slog.String("endpoint", id))
	}
}

func (g *Gateway) logEndpoint(id string) {
	if e := g.view.Snapshot().Endpoints[id]; e != nil {
		event.EndpointListed.Log(g.log, slog.String("endpoint", id), slog.String("service", e.Service),
			slog.String("address", e.Address), slog.Bool("leaving", e.Leaving), slog.Any("weights", e.WeightVersions))
	}
}
