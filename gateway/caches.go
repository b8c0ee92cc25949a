package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/promptcache"
)

// CacheStoreClient is the client of the stores of cached prompt parts.
type CacheStoreClient interface {
	// Changes returns the changes of the store at address since an event number or,
	// if whole is set, its entire content. If wait is set, the store may hold a
	// request for changes for up to promptcache.PollTimeout.
	Changes(ctx context.Context, address string, since int64, whole, wait bool) (promptcache.Update, error)
	// Free asks the store at address to free parts. The store does so only in the
	// run of its process that epoch identifies, and only until the time untilMs, in
	// milliseconds of the stores' clock.
	Free(ctx context.Context, address string, parts []promptcache.Part, epoch, untilMs int64) error
}

const (
	// changesPollDelay is the delay between two long polls of a cache store. The
	// next poll returns all changes that occur within it.
	changesPollDelay = 220 * time.Millisecond
	// cacheStoreInterval is the interval of checks for cache stores that were added
	// or removed and for parts to free.
	cacheStoreInterval = 500 * time.Millisecond
	// maxPartsPerFree is the maximum number of parts in one call to free them.
	maxPartsPerFree = 200
	// freeDelay is how long all endpoints must have had the wanted weights before
	// parts of older weights are freed: fetches of these parts have ended by then, also
	// if the endpoints had the weights as soon as they were set.
	freeDelay = promptcache.LoadDelay
	// freeValidity is how long after its sending a call to free parts may still
	// take effect.
	freeValidity = time.Second
)

// runCacheStores keeps readers of the cache stores' changes running until ctx ends
// and, while this instance is the leader, frees parts that no request can use any
// more.
func (g *Gateway) runCacheStores(ctx context.Context) error {
	readers := map[string]context.CancelFunc{}
	t := time.NewTicker(cacheStoreInterval)
	defer t.Stop()
	weightsMissingAt := g.opts.Relay.Now()
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
		g.updateStoreReaders(ctx, stores, readers)
		now := g.opts.Relay.Now()
		if !wantedWeightsLoaded(s) {
			weightsMissingAt = now
			continue
		}
		if _, isLeader := g.elector.FencingToken(); isLeader && now.Sub(weightsMissingAt) > freeDelay {
			g.freeOutdated(ctx, s, stores, now)
		}
	}
}

// wantedWeightsLoaded reports whether every endpoint has loaded the wanted weights
// of its models.
func wantedWeightsLoaded(s *fleet.Snapshot) bool {
	for _, e := range s.Endpoints {
		for model, version := range e.WeightVersions {
			if version < s.WantedWeights[model] {
				return false
			}
		}
	}
	return true
}

// updateStoreReaders starts a reader for each store that has none and stops the
// readers of stores that are no longer configured. The keys of readers are the
// addresses of the stores.
func (g *Gateway) updateStoreReaders(ctx context.Context, stores []*fleet.CacheStore, readers map[string]context.CancelFunc) {
	g.opts.Relay.Cache.SetStores(stores)
	configured := map[string]bool{}
	for _, s := range stores {
		configured[s.Address] = true
		if readers[s.Address] != nil {
			continue
		}
		readCtx, cancel := context.WithCancel(ctx)
		readers[s.Address] = cancel
		go g.readCacheStore(readCtx, s)
	}
	for address, cancel := range readers {
		if !configured[address] {
			cancel()
			delete(readers, address)
		}
	}
}

// longPollReaderShare is the share of a cache store's concurrent readers that long
// polls may use; the rest is left for instances that start and stop.
const longPollReaderShare = 0.8

// mayLongPoll reports whether the store allows enough concurrent readers for long
// polls of all instances.
func (g *Gateway) mayLongPoll(store *fleet.CacheStore) bool {
	return float64(g.view.Snapshot().Instances) <= longPollReaderShare*float64(store.MaxReaders)
}

// readCacheStore passes the changes of a cache store to the directory of cached
// parts until ctx ends.
func (g *Gateway) readCacheStore(ctx context.Context, store *fleet.CacheStore) {
	cache := g.opts.Relay.Cache
	failing := false
	for ctx.Err() == nil {
		since, whole := cache.NextPoll(store.Address)
		wait := g.mayLongPoll(store)
		changes, err := g.opts.Caches.Changes(ctx, store.Address, since, whole, wait)
		if err != nil {
			g.recordCacheStoreFailure(store, !failing, err)
			failing = true
			timer.Sleep(ctx, cacheStoreRetryDelay(err))
			continue
		}
		if failing {
			event.CacheStoreRegained.Log(g.log, slog.String("store", store.Address), slog.Int64("epoch", changes.Epoch))
		}
		failing = false
		switch incomplete := cache.ApplyUpdate(store.Address, changes, g.opts.Relay.Now()); {
		case incomplete:
			// Request the whole content without a delay.
		case wait:
			timer.Sleep(ctx, changesPollDelay)
		default:
			timer.Sleep(ctx, promptcache.PollTimeout)
		}
	}
}

// cacheStoreRetryDelay returns the time until the next call to a cache store whose last
// call failed with err.
func cacheStoreRetryDelay(err error) time.Duration {
	var paused *promptcache.PausedError
	if errors.As(err, &paused) {
		return max(paused.Pause, retryDelay)
	}
	return retryDelay
}

// recordCacheStoreFailure records that a cache store did not answer. It logs only
// the first failure after an answer.
func (g *Gateway) recordCacheStoreFailure(store *fleet.CacheStore, first bool, err error) {
	g.opts.Relay.Cache.MarkUnreachable(store.Address)
	metric.Counter("cache_store_failures_total").Inc(1)
	if first {
		event.CacheStoreLost.Log(g.log, slog.String("store", store.Address), slog.String("error", err.Error()))
	}
}

// freeOutdated frees parts that were prefilled with older weights than the wanted
// ones, which no endpoint has any more. It frees at most maxPartsPerFree parts of
// each store; later calls free the rest.
func (g *Gateway) freeOutdated(ctx context.Context, s *fleet.Snapshot, stores []*fleet.CacheStore, now time.Time) {
	for _, store := range stores {
		parts, epoch := g.opts.Relay.Cache.Outdated(store.Address, s.WantedWeights, maxPartsPerFree, now)
		if len(parts) == 0 {
			continue
		}
		clock := g.opts.Relay.Cache.ClockMillis(now)
		if clock == 0 {
			continue // without the stores' clock, a delayed call would have no time limit
		}
		err := g.opts.Caches.Free(ctx, store.Address, parts, epoch, clock+freeValidity.Milliseconds())
		attrs := []slog.Attr{slog.String("store", store.Address), slog.Int("parts", len(parts)), slog.Int64("epoch", epoch)}
		if err != nil {
			attrs = append(attrs, slog.String("error", err.Error()))
		} else {
			g.opts.Relay.Cache.RemoveFreed(store.Address, epoch, parts)
		}
		event.CacheFreed.Log(g.log, attrs...)
	}
}
