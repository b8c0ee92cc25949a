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

// Upkeep intervals and limits.
const (
	upkeepInterval  = time.Second
	statusInterval  = 10 * time.Second
	listingsAtOnce  = 8
	upkeepTimeout   = 3 * time.Second
	silentLossEvery = time.Hour
	// highFill and lowFill are the parts of a store at which freeing begins and
	// down to which it goes.
	highFill = 0.95
	lowFill  = 0.90
	// evictionsAtOnce bounds the stores evicted from after one poll: each orders
	// all of a store's blocks.
	evictionsAtOnce = 3
)

// Upkeep keeps a home's directory in agreement with the stores: it lists what is
// missing, frees what is due and evicts from stores that fill up.
type Upkeep struct {
	Home  *Home
	Store func(url string) *store.Client
	Score func(BlockStats) float64 // of a block, to evict the least first
	Log   *slog.Logger

	polled time.Time
	listed time.Time
	first  int // store to poll first, so that each gets its turn to evict
}

// Run works until ctx ends.
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

// RunOnce does what is due now.
func (u *Upkeep) RunOnce(ctx context.Context) {
	now := u.Home.now()
	if now.Sub(u.polled) >= statusInterval {
		u.polled = now
		u.poll(ctx)
	}
	if now.Sub(u.listed) >= silentLossEvery {
		u.listed = now
		u.wantListings()
	}
	u.list(ctx)
	u.free(ctx)
}

// poll asks the stores for their state and evicts where they are full.
func (u *Upkeep) poll(ctx context.Context) {
	urls := u.Home.storeURLs()
	u.first++
	evictions := 0
	for i := range urls {
		url := urls[(u.first+i)%len(urls)]
		score := u.Score
		if evictions >= evictionsAtOnce {
			score = nil
		}
		if evicted := u.pollStore(ctx, url, score); evicted > 0 {
			evictions++
			metric.Counter("block_evicted_total").Inc(int64(evicted))
		}
	}
}

// pollStore takes in one store's state and returns the number of blocks evicted.
func (u *Upkeep) pollStore(ctx context.Context, url string, score func(BlockStats) float64) int {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	status, err := u.Store(url).Status(ctx)
	if err == nil {
		return u.Home.setStatus(url, status, score)
	}
	if ctx.Err() != context.Canceled && u.Home.setDown(url) {
		event.StoreUnreachable.Log(u.Log, slog.String("store", url), slog.Any("error", err))
	}
	return 0
}

func (u *Upkeep) wantListings() {
	h := u.Home
	h.mu.Lock()
	defer h.mu.Unlock()
	for url := range h.stores {
		h.dir.RequestListings(url)
	}
}

func (u *Upkeep) list(ctx context.Context) {
	h := u.Home
	h.mu.Lock()
	wanted := h.dir.WantedListings(h.now(), listingsAtOnce)
	h.mu.Unlock()
	for _, r := range wanted {
		ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
		l, err := fetchListing(ctx, u.Store(r.Store), r.Partition)
		cancel()
		if err != nil {
			h.setDown(r.Store)
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

// fetchListing joins the pages of a listing; a store that starts over in
// between gives an epoch that the next listing corrects.
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

// free sends the frees that are due. The store answers when its own read grants
// have ended, so the wait for it is bounded. A store out of reach is not tried
// again in this round; listings find what it keeps.
func (u *Upkeep) free(ctx context.Context) {
	h := u.Home
	h.mu.Lock()
	due := h.dir.DueFrees(h.now())
	h.mu.Unlock()
	unreachable := map[string]bool{}
	for _, l := range due {
		if unreachable[l.Store] {
			continue
		}
		freed, err := u.freeOne(ctx, l)
		if err != nil {
			unreachable[l.Store] = !store.IsRefusal(err)
			continue
		}
		h.mu.Lock()
		h.dir.Freed(h.now(), l, freed)
		h.mu.Unlock()
	}
}

func (u *Upkeep) freeOne(ctx context.Context, l BlockLocation) (store.FreeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	return u.Store(l.Store).Free(ctx, l.Ref())
}

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

// setDown takes a store out of lookups until its next good answer and reports
// whether it was in service before.
func (h *Home) setDown(url string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.stores[url]
	was := view.Down
	view.URL, view.Down = url, true
	h.stores[url] = view
	h.dir.MarkDown(url, h.now().Add(2*statusInterval))
	return !was
}

// setStatus takes in a store's state. A store in which more than highFill is
// used has this home's part of the excess freed; the other homes do likewise.
func (h *Home) setStatus(url string, s store.Status, score func(BlockStats) float64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.dir.MarkDown(url, now)
	h.dir.ApplyEpoch(url, s.Epoch)
	view := StoreView{URL: url, Used: s.Capacity.Used(), Total: s.Capacity.Total(), Price: h.stores[url].Price}
	before := h.dir.Len()
	if fill := 1 - view.free(); fill > highFill && score != nil {
		share := (fill - lowFill) / fill
		view.Price = h.dir.Evict(now, url, int64(share*float64(h.dir.Bytes(url))), score)
	} else if fill < lowFill {
		view.Price = 0
	}
	h.stores[url] = view
	return before - h.dir.Len()
}
