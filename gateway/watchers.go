package gateway

import (
	"context"
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metastore"
	"redwingknot/metric"
	"redwingknot/promptcache"
)

// newWatchers returns the watchers that keep the view and the peers up to date.
func (g *Gateway) newWatchers(ctx context.Context) []*watcher {
	operator := g.newWatcher(purposeOperator, g.confirmInterval(), g.opts.Schema.OperatorRange)
	operator.storeUnavailable = nil
	operator.checker, _ = g.opts.KV.(metastore.RevisionChecker)
	operator.observer, _ = g.opts.KV.(metastore.WatchObserver)
	operator.expectedKeys = func() []string { return g.opts.Schema.OperatorKeys(g.view.Snapshot()) }
	operator.onChange = g.applyOperatorDelta
	operator.onRead = func(sentAt time.Time) {
		g.recordStoreAnswer()
		g.recordEra()
		g.view.Confirm(sentAt)
	}
	endpoints := g.newWatcher(purposeEndpoints, fullReadInterval, g.opts.Schema.EndpointRange)
	endpoints.observer, _ = g.opts.KV.(metastore.WatchObserver)
	endpoints.readsBesideTransfers = true
	endpoints.onChange = g.applyEndpointsDelta
	endpoints.onRead = func(time.Time) {
		g.recordStoreAnswer()
		g.view.MarkEndpointsRead()
	}
	instances := g.newWatcher(purposeMembers, fullReadInterval, memberRange)
	instances.maxAge = func() time.Duration { return g.maxAge(g.memberInterval()) }
	instances.onChange = func(d fleet.Delta) {
		g.recordInvalidMembers(d, memberPrefix)
		g.updateInstances(ctx, instances.mirror)
	}
	instances.onRead = func(time.Time) {
		g.updateInstances(ctx, instances.mirror)
		g.firstReads.markRead(purposeMembers)
	}
	coordinators := g.newWatcher(purposeMembers, coordinatorReadInterval, coordinatorRange)
	coordinators.freshness = fleet.NewFreshness() // so rarely read that a report of it would cost more
	coordinators.onChange = func(d fleet.Delta) {
		g.recordInvalidMembers(d, coordinatorPrefix)
		g.updateCoordinators(coordinators.mirror)
	}
	coordinators.onRead = func(time.Time) {}
	suspects := g.newWatcher(purposeSuspects, suspectReadInterval, suspectRange)
	suspects.freshness = fleet.NewFreshness() // so rarely read that a report of it would cost more
	suspects.onChange = g.suspects.apply
	suspects.onRead = func(time.Time) { g.firstReads.markRead(purposeSuspects) }
	software := g.newWatcher(purposeSoftware, softwareReadInterval, softwareRange)
	software.freshness = fleet.NewFreshness()
	software.onChange = g.software.apply
	software.onRead = func(time.Time) { g.firstReads.markRead(purposeSoftware) }
	batches := g.newWatcher(purposeOrigins, originsReadInterval, originsRange)
	batches.freshness = fleet.NewFreshness()
	batches.onChange = g.originBatches.apply
	batches.onRead = func(time.Time) {
		g.originBatches.markRead()
		g.firstReads.markRead(purposeOrigins)
	}
	return []*watcher{operator, endpoints, instances, coordinators, suspects, software, batches}
}

func (g *Gateway) newWatcher(p metastore.Purpose, interval time.Duration, keys func() (from, to string)) *watcher {
	from, to := keys()
	return &watcher{
		kv: g.kv, purpose: p, from: from, to: to, maxAge: func() time.Duration { return g.maxAge(interval) },
		now: g.opts.Relay.Now, mirror: fleet.NewMirror(), freshness: g.confirmations.freshness[p],
		onOldRead: func(err *OldReadError) { event.StoreReadOld.Log(g.log, slog.String("error", err.Error())) },
		onError:   g.recordStoreFailure, storeUnavailable: g.view.StoreUnreachable,
	}
}

// maxAge returns how long ago a range that has to be confirmed at the interval may
// have been confirmed before this instance reads it.
func (g *Gateway) maxAge(interval time.Duration) time.Duration {
	factor := min(1+ageFactorPerRank*float64(g.exchange.Rank()), maxAgeFactor)
	return time.Duration(factor * float64(interval))
}

// confirmInterval returns the time between reads that confirm that the
// configuration in force and the wanted weights are the newest. Cached parts are fetched only
// while the weights are confirmed.
func (g *Gateway) confirmInterval() time.Duration {
	interval := min(g.opts.ApplyTime/confirmationsPerApplyTime, promptcache.MaxVersionAge-confirmationTravel)
	if revoke := g.opts.Relay.RevokeTime; revoke > 0 {
		interval = min(interval, revoke/confirmationsPerRevokeTime)
	}
	if evacuation := g.opts.EvacuationTime; evacuation > 0 {
		interval = min(interval, evacuation/confirmationsPerRevokeTime)
	}
	return interval
}

func (g *Gateway) recordStoreAnswer() {
	if g.view.MarkStoreReachable(g.opts.Relay.Now()) {
		g.software.restartContact()
		event.MetadataStoreRegained.Log(g.log)
	}
}

// recordEra logs when the metadata store has come back from an older copy since the last
// read of the operator's range.
func (g *Gateway) recordEra() {
	observer, ok := g.opts.KV.(metastore.EraObserver)
	if !ok {
		return
	}
	era := observer.Era()
	if g.era != unknownEra && era > g.era {
		g.software.restartContact()
		event.StoreEraRose.Log(g.log, slog.Int64("era", era), slog.Int64("before", g.era))
	}
	g.era = era
}

func (g *Gateway) recordStoreFailure(err error) {
	if g.view.MarkStoreUnreachable() {
		event.MetadataStoreLost.Log(g.log, slog.String("error", err.Error()))
	}
}

// applyOperatorDelta applies changed entries of the operator to the view. Of removed
// entries, only evacuations end: what the others set stays in force.
func (g *Gateway) applyOperatorDelta(d fleet.Delta) {
	for _, e := range g.evacuationsFirst(d.Changed) {
		before := g.view.Snapshot()
		changed, err := g.opts.Schema.ApplyOperator(g.view, e)
		s := g.view.Snapshot()
		switch {
		case err != nil:
			g.recordInvalidEntry(e.Key, err)
		case changed && len(s.Evacuated) != len(before.Evacuated):
			event.EvacuationBegun.Log(g.log, slog.String("key", e.Key), slog.Int64("revision", e.ModRevision))
		case changed && s.Config != before.Config:
			event.ConfigInForce.Log(g.log, slog.Int64("config", s.Config.Version), slog.Int("routes", s.Config.RouteCount()),
				slog.Int("tokens", len(s.Config.Teams)), slog.Int64("revision", e.ModRevision))
		case changed:
			event.WeightsWanted.Log(g.log, slog.Any("weights", s.WantedWeights), slog.Int64("revision", e.ModRevision),
				slog.Duration("confirmedAge", g.view.ConfirmedAge(g.opts.Relay.Now())))
		}
	}
	for _, key := range d.Removed {
		if g.opts.Schema.RemoveOperator(g.view, key, d.Restored, g.opts.Relay.Now()) {
			event.EvacuationEnded.Log(g.log, slog.String("key", key))
		}
	}
}

// recordInvalidEntry records that another writer has left an entry that can't be read.
func (g *Gateway) recordInvalidEntry(key string, err error) {
	metric.Counter("store_entries_invalid_total").Inc(1)
	event.StoreEntryInvalid.Log(g.log, slog.String("key", key), slog.String("error", err.Error()))
}

func (g *Gateway) applyEndpointsDelta(d fleet.Delta) {
	now := g.opts.Relay.Now()
	if d.Restored {
		g.view.MarkStoreRestored(now)
	}
	for _, e := range d.Changed {
		if d.Restored && g.view.HasLeft(g.opts.Schema.EndpointID(e.Key)) {
			g.heldEntries.put(e, now) // of the older copy, or written again before this read
			continue
		}
		g.heldEntries.remove(e.Key)
		g.applyEndpoint(e, now)
	}
	for _, key := range d.Removed {
		g.heldEntries.remove(key)
		id := g.opts.Schema.EndpointID(key)
		g.view.RemoveEndpoint(id, now)
		event.EndpointUnlisted.Log(g.log, slog.String("endpoint", id))
	}
}

func (g *Gateway) applyEndpoint(e metastore.Entry, now time.Time) {
	if err := g.opts.Schema.ApplyEndpoint(g.view, e, now); err != nil {
		g.recordInvalidEntry(e.Key, err)
		return
	}
	g.logListedEndpoint(g.opts.Schema.EndpointID(e.Key))
}

func (g *Gateway) logListedEndpoint(id string) {
	if e := g.view.Snapshot().Endpoints[id]; e != nil {
		event.EndpointListed.Log(g.log, slog.String("endpoint", id), slog.String("service", e.Service),
			slog.String("address", e.Address), slog.String("software", e.SoftwareVersion), slog.Bool("leaving", e.Leaving), slog.Any("weights", e.WeightVersions))
	}
}
