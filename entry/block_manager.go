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

// shareInterval is the time between two checks of this instance's share: the partitions
// of the block directory and the link budgets that it is the home of.
const shareInterval = time.Second

// blockManager holds the components that export KV cache blocks to stores and bring
// them back: this instance's share of the block directory and of the links' budgets, and
// the keeper.
type blockManager struct {
	entry   *Entry
	home    *block.Home
	links   *link.Home
	upkeep  *block.Upkeep
	planner *block.Planner
	keeper  *keeper
	client  *http.Client

	// The instances and the store URLs at the last update of the share. Only the
	// goroutine of runShares uses them.
	lastInstances []string
	lastStores    []string
}

// newBlockManager returns the block manager of e and registers its calls with e's
// wire server.
func newBlockManager(e *Entry) *blockManager {
	b := &blockManager{
		entry: e, client: e.clients.Shared, planner: block.NewPlanner(block.PlannerOptions{}),
		home: block.NewHome(time.Now, block.NewDirectory(time.Now(), block.DirectoryOptions{})),
	}
	b.links = link.NewHome(time.Now, b.linkBudget)
	b.home.Register(e.wire)
	b.links.Register(e.wire)
	b.upkeep = &block.Upkeep{Home: b.home, Store: b.storeClient, Log: e.log, Score: b.home.ScoreFunc(b.blockValue)}
	b.keeper = &keeper{
		inner: block.NewKeeper(block.KeeperOptions{
			Now: time.Now, Seed: rand.Uint64(), Client: block.NewClient(b.directoryHome),
			Links:   link.NewClient(link.ClientOptions{Now: time.Now, Describe: b.describeLink, Home: e.peers.linkHome}),
			Planner: b.planner, Store: b.storeClient, Log: e.log,
		}),
		engineClient: e.engineClientByName, pieceTime: b.pieceTime, log: e.log, exportSlots: make(chan struct{}, maxConcurrentExports),
	}
	return b
}

// storeClient returns a client of the store at url.
func (b *blockManager) storeClient(url string) *store.Client { return store.NewClient(url, b.client) }

// directoryHome returns the caller of the instance that is the home of a partition of
// the directory, or nil if there is none.
func (b *blockManager) directoryHome(p block.Partition) wire.Caller {
	id := block.HomeOf(p, b.entry.peers.localMemberIDs())
	if id == "" {
		return nil
	}
	return b.entry.peers.callerOf(id)
}

// linkHome returns the caller of the instance that is the home of the budget of the link
// to the store at url, or nil if there is none.
func (p peers) linkHome(url string) wire.Caller { return p.callerOfOwner("link/" + url) }

// pieceTime returns the time that an engine takes to prefill one piece of a prompt, at
// the prefill rate of the settings.
func (b *blockManager) pieceTime(p serve.Prompt) time.Duration {
	tokens := float64(p.Model.PieceBytes) / serve.BytesPerToken
	return time.Duration(tokens / b.entry.opts.PrefillRate * float64(time.Second))
}

// blockValue returns the value of keeping a block that the directory lists.
func (b *blockManager) blockValue(stats block.BlockStats) block.BlockValue {
	state := b.entry.book.State()
	return block.BlockValue{Class: state.Classes[stats.Class], SavedTime: b.meanPieceTime(state), Bytes: stats.Bytes}
}

// meanPieceTime returns the mean time to prefill a piece over all models of the
// configuration, because a block.BlockStats does not tell the model of its block.
func (b *blockManager) meanPieceTime(state *note.State) time.Duration {
	sum := time.Duration(0)
	for _, m := range state.Models {
		sum += b.pieceTime(serve.Prompt{Model: m})
	}
	return sum / time.Duration(max(len(state.Models), 1))
}

// findStore returns the store with the given URL in the configuration in force.
func (b *blockManager) findStore(url string) (note.Store, bool) {
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

// linkBudget returns the options of the budget of the link to the store at url, and
// whether the store is in the configuration.
func (b *blockManager) linkBudget(url string) (link.BudgetOptions, bool) {
	s, ok := b.findStore(url)
	return link.BudgetOptions{Rate: s.LinkRate}, ok
}

// localShareOfLink is the fraction of a link's rate that all instances of the data
// centre together may use while they can't reach the link's home.
const localShareOfLink = 0.1

// describeLink returns the properties of the link to the store at url, and whether the
// store is in the configuration.
func (b *blockManager) describeLink(url string) (link.Link, bool) {
	s, ok := b.findStore(url)
	n := int64(max(len(b.entry.peers.local()), 1))
	local := link.InstanceShare{Rate: int64(localShareOfLink*float64(s.LinkRate)) / n}
	return link.Link{Rate: s.LinkRate, Delay: s.LinkDelay, InstanceShare: local}, ok
}

// components returns the background components of the block manager.
func (b *blockManager) components() []component {
	return []component{{"block upkeep", b.upkeep.Run}, {"block shares", b.runShares}}
}

// runShares determines this instance's share of the directory and of the links' budgets
// anew whenever the live instances or the stores of the data centre change.
func (b *blockManager) runShares(ctx context.Context) error {
	return timer.Every(ctx, shareInterval, b.updateShares)
}

// updateShares does one check of runShares. It does nothing if neither the live instances
// nor the stores have changed.
func (b *blockManager) updateShares() {
	state := b.entry.book.State()
	if state == nil {
		return
	}
	urls := b.localStoreURLs(state)
	instances := b.entry.peers.localMemberIDs()
	if slices.Equal(instances, b.lastInstances) && slices.Equal(urls, b.lastStores) {
		return
	}
	if !slices.Equal(urls, b.lastStores) {
		b.keeper.inner.SetStores(b.initialStoreViews(urls))
	}
	b.lastInstances, b.lastStores = instances, urls
	b.home.SetPartitions(b.ownPartitions(instances), urls)
	b.links.Retain(func(url string) bool { return b.entry.members.OwnerOf("link/"+url).ID == b.entry.opts.ID })
}

// initialStoreViews returns the views of stores from the configuration alone, which the
// keeper uses until the directory's homes report more.
func (b *blockManager) initialStoreViews(urls []string) []block.StoreView {
	views := make([]block.StoreView, len(urls))
	for i, url := range urls {
		s, _ := b.findStore(url)
		views[i] = block.StoreView{URL: url, Total: s.MemoryBytes + s.DiskBytes}
	}
	return views
}

// localStoreURLs returns the sorted URLs of the stores in this data centre.
func (b *blockManager) localStoreURLs(state *note.State) []string {
	var urls []string
	for _, s := range state.Stores {
		if s.DataCentre == b.entry.opts.DataCentre {
			urls = append(urls, s.URL)
		}
	}
	slices.Sort(urls)
	return urls
}

// ownPartitions returns the partitions of the directory that this instance is the home
// of among instances.
func (b *blockManager) ownPartitions(instances []string) []block.Partition {
	var mine []block.Partition
	for p := range block.Partitions {
		if block.HomeOf(block.Partition(p), instances) == b.entry.opts.ID {
			mine = append(mine, block.Partition(p))
		}
	}
	return mine
}
