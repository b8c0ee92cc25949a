package block

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"redwingknot/event"
	"redwingknot/metric"
	"redwingknot/store"
)

// Intervals and limits of Upkeep. A round is one call of RunOnce.
const (
	upkeepInterval      = time.Second
	statusInterval      = 10 * time.Second
	maxListingsPerRound = 8
	upkeepTimeout       = 3 * time.Second
	// fullListingInterval is how often all partitions of all stores are listed, to
	// detect blocks that a store lost without a gap in its change numbers.
	fullListingInterval = time.Hour
	// Eviction from a store starts when more than the part evictAboveFill of it
	// is used, and frees blocks until evictDownToFill is reached.
	evictAboveFill  = 0.95
	evictDownToFill = 0.90
	// maxEvictingStoresPerPoll limits the stores from which one poll evicts,
	// because each eviction sorts all of a store's blocks.
	maxEvictingStoresPerPoll = 3
)

// Upkeep keeps a home's directory consistent with the stores: it fetches the listings
// that the directory wants, sends the frees that are due and evicts blocks from stores
// that become full.
type Upkeep struct {
	Home  *Home
	Store func(url string) *store.Client
	Score func(BlockStats) float64 // score of a block, the lowest is evicted first; nil evicts nothing
	Log   *slog.Logger

	lastPoll        time.Time
	lastFullListing time.Time
	pollOffset      int // shifts the order of the stores from poll to poll, so that each gets its turn to evict
}

// Run calls RunOnce every upkeepInterval until ctx ends.
func (u *Upkeep) Run(ctx context.Context) error {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		u.RunOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// RunOnce polls the stores, fetches listings and sends frees as far as they are due now.
func (u *Upkeep) RunOnce(ctx context.Context) {
	now := u.Home.now()
	if now.Sub(u.lastPoll) >= statusInterval {
		u.lastPoll = now
		u.pollStores(ctx)
	}
	if now.Sub(u.lastFullListing) >= fullListingInterval {
		u.lastFullListing = now
		u.requestAllListings()
	}
	u.fetchListings(ctx)
	u.sendDueFrees(ctx)
}

// pollStores gets the status of each store and evicts blocks from full ones.
func (u *Upkeep) pollStores(ctx context.Context) {
	urls := u.Home.storeURLs()
	u.pollOffset++
	evictingStores := 0
	for i := range urls {
		url := urls[(u.pollOffset+i)%len(urls)]
		score := u.Score
		if evictingStores >= maxEvictingStoresPerPoll {
			score = nil
		}
		if evicted := u.pollStore(ctx, url, score); evicted > 0 {
			evictingStores++
			metric.Counter("block_evicted_total").Inc(int64(evicted))
		}
	}
}

// pollStore gets and applies the status of one store and returns the number of blocks
// that it evicted. A nil score evicts nothing.
func (u *Upkeep) pollStore(ctx context.Context, url string, score func(BlockStats) float64) int {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	status, err := u.Store(url).Status(ctx)
	if err == nil {
		return u.Home.applyStatus(url, status, score)
	}
	if ctx.Err() != context.Canceled && u.Home.markStoreDown(url) {
		event.StoreUnreachable.Log(u.Log, slog.String("store", url), slog.Any("error", err))
	}
	return 0
}

// requestAllListings requests listings of all partitions at all stores.
func (u *Upkeep) requestAllListings() {
	h := u.Home
	h.mu.Lock()
	defer h.mu.Unlock()
	for url := range h.stores {
		h.dir.RequestListings(url)
	}
}

// fetchListings fetches and applies the listings that the directory wants, up to
// maxListingsPerRound. It stops at the first store that fails and marks it as down.
func (u *Upkeep) fetchListings(ctx context.Context) {
	h := u.Home
	h.mu.Lock()
	wanted := h.dir.WantedListings(h.now(), maxListingsPerRound)
	h.mu.Unlock()
	for _, r := range wanted {
		ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
		l, err := fetchListing(ctx, u.Store(r.Store), r.Partition)
		cancel()
		if err != nil {
			h.markStoreDown(r.Store)
			return
		}
		metric.Counter("block_listings_total").Inc(1)
		h.mu.Lock()
		err = h.dir.ApplyListing(h.now(), r, l)
		h.mu.Unlock()
		if err != nil {
			event.ListingRefused.Log(u.Log, slog.String("store", r.Store), slog.Any("error", err))
		}
	}
}

// fetchListing fetches all pages of a listing and joins them. If the store restarts
// empty between two pages, the result has the old epoch, which the next listing
// corrects.
func fetchListing(ctx context.Context, c *store.Client, p Partition) (store.Listing, error) {
	all, err := c.List(ctx, p.Prefix(), "")
	more := all.More
	for err == nil && more && len(all.Blocks) > 0 {
		var page store.Listing
		page, err = c.List(ctx, p.Prefix(), all.Blocks[len(all.Blocks)-1].Ref.Key)
		all.Blocks = append(all.Blocks, page.Blocks...)
		more = page.More && len(page.Blocks) > 0
	}
	return all, err
}

// sendDueFrees sends the frees that are due. A store answers a free only after its own
// read grants have ended, so the wait for it is limited. An unreachable store is not
// retried in this round; a later listing finds the blocks that it still has.
func (u *Upkeep) sendDueFrees(ctx context.Context) {
	h := u.Home
	h.mu.Lock()
	due := h.dir.DueFrees(h.now())
	h.mu.Unlock()
	unreachable := map[string]bool{}
	for _, l := range due {
		if unreachable[l.Store] {
			continue
		}
		freed, err := u.sendFree(ctx, l)
		if err != nil {
			unreachable[l.Store] = !store.IsRefusal(err)
			continue
		}
		h.mu.Lock()
		h.dir.Freed(h.now(), l, freed)
		h.mu.Unlock()
	}
}

// sendFree frees one block at its store, within upkeepTimeout.
func (u *Upkeep) sendFree(ctx context.Context, l BlockLocation) (store.FreeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	return u.Store(l.Store).Free(ctx, l.Ref())
}

// storeURLs returns the sorted URLs of the stores.
func (h *Home) storeURLs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	urls := make([]string, 0, len(h.stores))
	for url := range h.stores {
		urls = append(urls, url)
	}
	slices.Sort(urls)
	return urls
}

// markStoreDown records that a store is unreachable, which excludes it from lookups for
// two status intervals or until its next successful poll. It reports whether the store
// was up before.
func (h *Home) markStoreDown(url string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.stores[url]
	wasDown := view.Down
	view.URL, view.Down = url, true
	h.stores[url] = view
	h.dir.MarkDown(url, h.now().Add(2*statusInterval))
	return !wasDown
}

// applyStatus records the status of a store. If more than evictAboveFill of the store is
// used and score is not nil, it evicts this home's part of the excess; the other homes
// do the same with theirs. It returns the number of blocks removed from the directory.
func (h *Home) applyStatus(url string, s store.Status, score func(BlockStats) float64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.dir.MarkDown(url, now)
	h.dir.ApplyEpoch(url, s.Epoch)
	view := StoreView{URL: url, Used: s.Capacity.Used(), Total: s.Capacity.Total(), Price: h.stores[url].Price}
	lenBefore := h.dir.Len()
	if fill := 1 - view.freeShare(); fill > evictAboveFill && score != nil {
		share := (fill - evictDownToFill) / fill
		view.Price = h.dir.Evict(now, url, int64(share*float64(h.dir.Bytes(url))), score)
	} else if fill < evictDownToFill {
		view.Price = 0
	}
	h.stores[url] = view
	return lenBefore - h.dir.Len()
}
