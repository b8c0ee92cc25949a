package gateway

import (
	"context"
	"log/slog"
	"time"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/promptcache"
)

// CacheStoreClient is the client of the stores of kept prompt cache.
type CacheStoreClient interface {
	Changes(ctx context.Context, address string, since int64, whole, wait bool) (promptcache.Update, error)
	Free(ctx context.Context, address string, parts []promptcache.Part, epoch, until int64) error
}

const (
	// newsPause is the time between two polls of a store: changes within it
	// come together.
	newsPause = 220 * time.Millisecond
	// cacheInterval is the time between looks for stores that were added or
	// withdrawn and for parts to free.
	cacheInterval = 500 * time.Millisecond
	// freeAtOnce bounds the parts of one call.
	freeAtOnce = 200
	// freeDelay is how long all endpoints must have new weights before parts of
	// old ones are freed: fetches of these have ended by then.
	freeDelay = 2 * promptcache.FetchTimeout
	// freeValid is how long a call to free may take effect.
	freeValid = time.Second
)

// runCaches reads the stores' news and, while this instance leads, frees what
// no request can use any more.
func (g *Gateway) runCaches(ctx context.Context) error {
	readers := map[string]context.CancelFunc{}
	t := time.NewTicker(cacheInterval)
	defer t.Stop()
	var loadedSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		s := g.view.Snapshot()
		if s.Config == nil {
			continue
		}
		stores := s.Config.Stores()
		g.readStores(ctx, stores, readers)
		now := g.o.Relay.Now()
		if !allLoaded(s) {
			loadedSince = now
			continue
		}
		if _, held := g.lead.FencingToken(); held && now.Sub(loadedSince) > freeDelay {
			g.freeOutdated(ctx, s, stores, now)
		}
	}
}

// allLoaded reports whether every endpoint has the wanted weights.
func allLoaded(s *fleet.Snapshot) bool {
	for _, e := range s.Endpoints {
		for model, version := range e.WeightVersions {
			if version < s.WantedWeights[model] {
				return false
			}
		}
	}
	return true
}

// readStores keeps one reader for each store.
func (g *Gateway) readStores(ctx context.Context, stores []*fleet.CacheStore, readers map[string]context.CancelFunc) {
	g.o.Relay.Cache.SetStores(stores)
	named := map[string]bool{}
	for _, s := range stores {
		named[s.Address] = true
		if readers[s.Address] != nil {
			continue
		}
		reading, cancel := context.WithCancel(ctx)
		readers[s.Address] = cancel
		go g.readStore(reading, s)
	}
	for address, cancel := range readers {
		if !named[address] {
			cancel()
			delete(readers, address)
		}
	}
}

// waitingReaders is the part of a store's concurrent readers that may be taken
// by calls that wait; the rest is for instances that come and go.
const waitingReaders = 0.8

// mayWait reports whether all instances can wait at a store for its news.
func (g *Gateway) mayWait(store *fleet.CacheStore) bool {
	return float64(g.view.Snapshot().Instances) <= waitingReaders*float64(store.MaxReaders)
}

// readStore reads a store's news until ctx ends.
func (g *Gateway) readStore(ctx context.Context, store *fleet.CacheStore) {
	cache := g.o.Relay.Cache
	silent := false
	for ctx.Err() == nil {
		since, whole := cache.NextPoll(store.Address)
		wait := g.mayWait(store)
		news, err := g.o.Caches.Changes(ctx, store.Address, since, whole, wait)
		if err != nil {
			g.storeSilent(store, !silent, err)
			silent = true
			timer.Sleep(ctx, failedPause)
			continue
		}
		if silent {
			event.CacheStoreRegained.Log(g.log, slog.String("store", store.Address), slog.Int64("epoch", news.Epoch))
		}
		silent = false
		switch missing := cache.ApplyUpdate(store.Address, news, g.o.Relay.Now()); {
		case missing:
		case wait:
			timer.Sleep(ctx, newsPause)
		default:
			timer.Sleep(ctx, promptcache.PollTimeout)
		}
	}
}

// storeSilent records that a store did not answer, for the first time or again.
func (g *Gateway) storeSilent(store *fleet.CacheStore, first bool, err error) {
	g.o.Relay.Cache.MarkUnreachable(store.Address)
	metric.Counter("cache_store_failures_total").Inc(1)
	if first {
		event.CacheStoreLost.Log(g.log, slog.String("store", store.Address), slog.String("error", err.Error()))
	}
}

// freeOutdated frees parts made under weights that no endpoint has any more.
func (g *Gateway) freeOutdated(ctx context.Context, s *fleet.Snapshot, stores []*fleet.CacheStore, now time.Time) {
	for _, store := range stores {
		parts, epoch := g.o.Relay.Cache.Outdated(store.Address, s.WantedWeights, freeAtOnce, now)
		if len(parts) == 0 {
			continue
		}
		clock := g.o.Relay.Cache.EndpointClock(now)
		if clock == 0 {
			continue // nothing bounds a call that is delayed
		}
		err := g.o.Caches.Free(ctx, store.Address, parts, epoch, clock+freeValid.Milliseconds())
		attrs := []slog.Attr{slog.String("store", store.Address), slog.Int("parts", len(parts)), slog.Int64("epoch", epoch)}
		if err != nil {
			attrs = append(attrs, slog.String("error", err.Error()))
		} else {
			g.o.Relay.Cache.RemoveFreed(store.Address, epoch, parts)
		}
		event.CacheFreed.Log(g.log, attrs...)
	}
}
