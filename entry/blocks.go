package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"redwingknot/block"
	"redwingknot/internal/timer"
	"redwingknot/link"
	"redwingknot/note"
	"redwingknot/serve"
	"redwingknot/store"
	"redwingknot/wire"
)

// ownInterval is the time between two checks of which partitions of the
// directory this instance is home of.
const ownInterval = time.Second

// blocks are the parts that keep and bring back KV cache blocks: this
// instance's share of the directory and of the links' budgets, and the keeper.
type blocks struct {
	entry   *Entry
	home    *block.Home
	links   *link.Home
	upkeep  *block.Upkeep
	planner *block.Planner
	keeper  *keeper
	client  *http.Client

	// The instances and stores of the last share; runShares owns them.
	sharers []string
	stores  []string
}

func newBlocks(e *Entry) *blocks {
	b := &blocks{
		entry: e, client: e.clients.Shared, planner: block.NewPlanner(block.PlannerOptions{}),
		home: block.NewHome(time.Now, block.NewDirectory(time.Now(), block.DirectoryOptions{})),
	}
	b.links = link.NewHome(time.Now, b.linkBudget)
	b.home.Register(e.wire)
	b.links.Register(e.wire)
	b.upkeep = &block.Upkeep{Home: b.home, Store: b.store, Log: e.log, Score: b.home.Score(b.value)}
	b.keeper = &keeper{
		keeper: block.NewKeeper(block.KeeperOptions{
			Now: time.Now, Seed: rand.Uint64(), Client: block.NewClient(b.homeOf),
			Links:   link.NewClient(link.ClientOptions{Now: time.Now, Describe: b.describe, Home: e.peers.homeOfLink}),
			Planner: b.planner, Store: b.store, Log: e.log,
		}),
		engine: e.engineNamed, compute: b.compute, log: e.log, slots: make(chan struct{}, keepsAtOnce),
	}
	return b
}

func (b *blocks) store(url string) *store.Client { return store.NewClient(url, b.client) }

// homeOf returns the home of a partition of the directory.
func (b *blocks) homeOf(p block.Partition) wire.Caller {
	id := block.HomeOf(p, b.entry.peers.localIDs())
	if id == "" {
		return nil
	}
	return b.entry.peers.named(id)
}

// homeOfLink returns the home of a link's budget.
func (p peers) homeOfLink(name string) wire.Caller { return p.home("link/" + name) }

// compute is the time in which an engine computes one piece.
func (b *blocks) compute(p serve.Prompt) time.Duration {
	tokens := float64(p.Model.PieceBytes) / serve.BytesPerToken
	return time.Duration(tokens / b.entry.o.PrefillRate * float64(time.Second))
}

// value is what keeping a block that the directory holds saves.
func (b *blocks) value(h block.BlockStats) block.BlockValue {
	state := b.entry.book.State()
	return block.BlockValue{Class: state.Classes[h.Class], SavedTime: b.meanCompute(state), Bytes: h.Bytes}
}

// meanCompute is the time to compute a piece of any model.
func (b *blocks) meanCompute(state *note.State) time.Duration {
	sum := time.Duration(0)
	for _, m := range state.Models {
		sum += b.compute(serve.Prompt{Model: m})
	}
	return sum / time.Duration(max(len(state.Models), 1))
}

// find returns the store at a URL in the configuration in force.
func (b *blocks) find(url string) (note.Store, bool) {
	state := b.entry.book.State()
	if state == nil {
		return note.Store{}, false
	}
	for _, s := range state.Stores {
		if s.URL == url {
			return s, true
		}
	}
	return note.Store{}, false
}

func (b *blocks) linkBudget(url string) (link.BudgetOptions, bool) {
	s, ok := b.find(url)
	return link.BudgetOptions{Rate: s.LinkRate}, ok
}

// localShareOfLink is the part of a link that instances cut off from its home
// may use together.
const localShareOfLink = 0.1

func (b *blocks) describe(url string) (link.Link, bool) {
	s, ok := b.find(url)
	n := int64(max(len(b.entry.peers.local()), 1))
	local := link.LocalShare{Rate: int64(localShareOfLink*float64(s.LinkRate)) / n}
	return link.Link{Rate: s.LinkRate, Delay: s.LinkDelay, LocalShare: local}, ok
}

func (b *blocks) components() []component {
	return []component{{"block upkeep", b.upkeep.Run}, {"block shares", b.runShares}}
}

// runShares keeps the directory's and the links' shares in step with the
// members of the data centre.
func (b *blocks) runShares(ctx context.Context) error {
	return timer.Every(ctx, ownInterval, b.share)
}

func (b *blocks) share() {
	state := b.entry.book.State()
	if state == nil {
		return
	}
	urls := b.localStores(state)
	names := b.entry.peers.localIDs()
	if slices.Equal(names, b.sharers) && slices.Equal(urls, b.stores) {
		return
	}
	if !slices.Equal(urls, b.stores) {
		b.keeper.keeper.SetStores(b.storeViews(urls))
	}
	b.sharers, b.stores = names, urls
	b.home.SetPartitions(b.partitions(names), urls)
	b.links.Retain(func(url string) bool { return b.entry.members.OwnerOf("link/"+url).ID == b.entry.o.ID })
}

// storeViews is what is known of the stores before their homes have told more.
func (b *blocks) storeViews(urls []string) []block.StoreView {
	views := make([]block.StoreView, len(urls))
	for i, url := range urls {
		s, _ := b.find(url)
		views[i] = block.StoreView{URL: url, Total: s.MemoryBytes + s.DiskBytes}
	}
	return views
}

func (b *blocks) localStores(state *note.State) []string {
	var urls []string
	for _, s := range state.Stores {
		if s.DataCentre == b.entry.o.DataCentre {
			urls = append(urls, s.URL)
		}
	}
	slices.Sort(urls)
	return urls
}

func (b *blocks) partitions(names []string) []block.Partition {
	var mine []block.Partition
	for p := range block.Partitions {
		if block.HomeOf(block.Partition(p), names) == b.entry.o.ID {
			mine = append(mine, block.Partition(p))
		}
	}
	return mine
}
