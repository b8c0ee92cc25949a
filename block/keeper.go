package block

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/link"
	"redwingknot/metric"
	"redwingknot/store"
)

const (
	// readGrant is how long blocks found by a lookup stay readable.
	readGrant = 30 * time.Second
	// downFor is how long a store that was out of reach is left alone.
	downFor = 5 * time.Second
	// exportTries is how often an export that gets no budget is tried again.
	exportTries        = 10
	defaultExportPause = 3 * time.Second
	// defaultChance of a return is assumed until a home has told better.
	defaultChance = 0.5
)

// KeeperOptions are what a keeper works with.
type KeeperOptions struct {
	Now     func() time.Time
	Seed    uint64 // of the generations' random part; differs between instances
	Client  *Client
	Links   *link.Client // links are named by the URL of the store
	Planner *Planner
	Store   func(url string) *store.Client
	Log     *slog.Logger
	// ExportPause is the time between two tries of an export that gets no
	// budget; 0 for the default.
	ExportPause time.Duration
}

// Keeper brings kept blocks back to engines before a prompt is run, and has the
// blocks of ended requests exported to stores. A block is published only after
// its store has confirmed the seal. It is safe for concurrent use.
type Keeper struct {
	opts KeeperOptions

	mu     sync.Mutex
	rng    *rand.Rand
	stores []StoreView
	asked  map[string]time.Time // for stores and chances, by class
	down   map[string]time.Time
	price  ExportPrice
	chance map[string][]float32 // of a return, by class and returns before
}

// NewKeeper returns a keeper.
func NewKeeper(o KeeperOptions) *Keeper {
	o.ExportPause = cmp.Or(o.ExportPause, defaultExportPause)
	return &Keeper{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), down: map[string]time.Time{}, chance: map[string][]float32{}, asked: map[string]time.Time{}}
}

// Prompt is a prompt at an engine.
type Prompt struct {
	Keys       []Key
	Class      contract.Class
	Cached     int           // leading pieces in the engine's cache
	PieceTime  time.Duration // of computing one piece at the engine
	QueueTime  time.Duration // before the engine begins with the prompt
	BlockBytes int64         // expected size of a block
	Returns    int           // how often the prompt has returned, as far as known
}

// BringBackPlan is the plan for a prompt and the transfers that carry it out.
type BringBackPlan struct {
	Plan
	Found []BlockLocation // all blocks in stores behind those cached
}

// step is a run of blocks from one store.
type step struct {
	store  string
	blocks []BlockLocation
	bytes  int64
	permit link.Permit
}

// PlanBringBack asks the prompt's home for kept blocks and plans, without taking any of
// the links' budget. An error leaves a plan to recompute everything.
func (k *Keeper) PlanBringBack(ctx context.Context, p Prompt) (BringBackPlan, error) {
	r := BringBackPlan{Plan: Plan{RecomputeTime: p.recompute(), ExpectedTime: p.recompute()}}
	if p.Cached >= len(p.Keys) {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := Query{Keys: p.Keys[p.Cached:], First: p.Cached, Class: p.Class.Name, GrantDuration: readGrant}
	answer, err := k.opts.Client.Lookup(ctx, q, k.wantsStores(p.Class.Name))
	if err != nil {
		return r, err
	}
	k.learn(p.Class.Name, answer)
	r.Found = answer.Found
	question := PlanRequest{Pieces: len(p.Keys), Cached: p.Cached, Found: r.Found, PieceTime: p.PieceTime, QueueTime: p.QueueTime}
	r.Plan = k.opts.Planner.Plan(question, k.forecast)
	return r, nil
}

func (p Prompt) recompute() time.Duration {
	return p.QueueTime + time.Duration(max(len(p.Keys)-p.Cached, 0))*p.PieceTime
}

// BringBack carries out a plan: it gets the links' leases and has eng import the
// blocks, in order. It returns the number of leading pieces in the cache
// afterwards; the rest is to be computed.
func (k *Keeper) BringBack(ctx context.Context, eng engine.Engine, p Prompt, r BringBackPlan) int {
	cached := p.Cached
	for _, s := range steps(r.Found[:r.Bring]) {
		permit, err := k.opts.Links.Acquire(ctx, s.store, link.BringBack, s.bytes, time.Duration(len(s.blocks))*p.PieceTime)
		if err != nil {
			break
		}
		s.permit = permit
		n := k.importStep(ctx, eng, s, cached, time.Duration(len(s.blocks))*p.PieceTime)
		cached += n
		if n < len(s.blocks) {
			break
		}
	}
	metric.Counter("block_brought_total").Inc(int64(cached - p.Cached))
	return cached
}

// steps divides blocks into runs from one store.
func steps(blocks []BlockLocation) []step {
	var all []step
	for _, b := range blocks {
		if n := len(all); n == 0 || all[n-1].store != b.Store {
			all = append(all, step{store: b.Store})
		}
		last := &all[len(all)-1]
		last.blocks = append(last.blocks, b)
		last.bytes += b.Length
	}
	return all
}

// importStep has the engine import a run of blocks and returns how many of them
// are now in its cache. It is ended when computing them would have been done:
// a link that has become slow is not waited for.
func (k *Keeper) importStep(ctx context.Context, eng engine.Engine, s step, cached int, limit time.Duration) int {
	if !timer.Sleep(ctx, s.permit.StartIn) {
		return 0
	}
	t := engine.Transfer{StoreURL: s.store, Rate: s.permit.Rate}
	for _, b := range s.blocks {
		t.Blocks = append(t.Blocks, b.Ref())
	}
	began := k.opts.Now()
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got, err := eng.Import(limited, t)
	n := min(max(got-cached, 0), len(s.blocks))
	switch {
	case err == nil && n == len(s.blocks):
		k.opts.Links.Observe(s.store, s.bytes, k.opts.Now().Sub(began), s.permit.Rate)
	case ctx.Err() != nil || n == len(s.blocks):
	case limited.Err() != nil:
		metric.Counter("block_bring_timeouts_total").Inc(1)
		moved := bytesOf(s.blocks[:n]) + s.blocks[n].Length/2
		k.opts.Links.Observe(s.store, moved, k.opts.Now().Sub(began), s.permit.Rate)
	default:
		k.examine(ctx, s.blocks[n])
	}
	return n
}

func bytesOf(blocks []BlockLocation) int64 {
	sum := int64(0)
	for _, b := range blocks {
		sum += b.Length
	}
	return sum
}

// examine finds out why a block was not imported: its store is out of reach, or
// the directory is wrong about it.
func (k *Keeper) examine(ctx context.Context, l BlockLocation) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.opts.Store(l.Store).Stat(ctx, l.Ref())
	if err != nil && !store.IsRefusal(err) {
		k.markDown(l.Store)
		event.StoreUnreachable.Log(k.opts.Log, slog.String("store", l.Store), slog.Any("error", err))
		return
	}
	event.BlockRejected.Log(k.opts.Log, slog.String("store", l.Store), slog.String("block", l.Key.String()))
	// A rejection that gets lost is repeated by the next reader.
	_ = k.opts.Client.Reject(ctx, l)
}

// Export has the blocks of an ended request exported that are worth it, and
// publishes those that their store confirms. Kept is the number of leading
// pieces that stores hold already. It returns the number published.
func (k *Keeper) Export(ctx context.Context, eng engine.Engine, p Prompt, kept int) (int, error) {
	keys := p.Keys[min(kept, len(p.Keys)):]
	if len(keys) == 0 {
		return 0, nil
	}
	bytes := p.BlockBytes * int64(len(keys))
	url, permit, err := k.exportPermit(ctx, p, bytes)
	if err != nil || url == "" {
		return 0, err
	}
	t := engine.Transfer{StoreURL: url, Rate: permit.Rate}
	for _, key := range keys {
		t.Blocks = append(t.Blocks, engine.BlockRef{Key: key.String(), Generation: k.generation()})
	}
	if !timer.Sleep(ctx, permit.StartIn) {
		return 0, ctx.Err()
	}
	began := k.opts.Now()
	if err := eng.Export(ctx, t); err == nil {
		k.opts.Links.Observe(url, bytes, k.opts.Now().Sub(began), permit.Rate)
	}
	// An export that failed may have sealed some blocks, and one that ended well
	// is believed only as far as the store confirms it.
	return k.confirm(ctx, p, kept, t)
}

// confirm publishes the leading blocks of an export that are sealed and frees
// what lies behind a missing one, which nobody could use.
func (k *Keeper) confirm(ctx context.Context, p Prompt, kept int, t engine.Transfer) (int, error) {
	s := k.opts.Store(t.StoreURL)
	sealed, err := s.StatAll(ctx, t.Blocks)
	if err != nil {
		if !store.IsRefusal(err) {
			k.markDown(t.StoreURL)
		}
		return 0, err
	}
	whole := 0
	for whole < len(sealed) && sealed[whole].Ref.Key == t.Blocks[whole].Key && sealed[whole].Ref.Generation == t.Blocks[whole].Generation {
		whole++
	}
	for _, b := range sealed[whole:] {
		// What can't be freed now is found by the home's listings.
		_, _ = s.Free(ctx, b.Ref)
	}
	metric.Counter("block_exported_total").Inc(int64(whole))
	return k.opts.Client.Publish(ctx, t.StoreURL, p.Class.Name, kept, sealed[:whole])
}

// exportPermit returns the store for the prompt's blocks and the permit to move
// them, trying again for some time. The URL is empty if no store is worth it.
func (k *Keeper) exportPermit(ctx context.Context, p Prompt, bytes int64) (string, link.Permit, error) {
	score := k.score(p)
	for try := 0; ; try++ {
		urls := k.rank(score)
		if len(urls) == 0 {
			return "", link.Permit{}, nil
		}
		var err error
		for _, url := range urls {
			var permit link.Permit
			if permit, err = k.opts.Links.Acquire(ctx, url, link.Export, bytes, 0); err == nil {
				k.settle(score, true)
				return url, permit, nil
			}
		}
		if try >= exportTries || !timer.Sleep(ctx, k.opts.ExportPause) {
			k.settle(score, false)
			return "", link.Permit{}, err
		}
	}
}

func (k *Keeper) score(p Prompt) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	chance := defaultChance
	if known := k.chance[p.Class.Name]; len(known) > 0 {
		chance = float64(known[min(max(p.Returns, 0), len(known)-1)])
	}
	return k.opts.Planner.Score(chance, BlockValue{Class: p.Class, SavedTime: p.PieceTime, Bytes: p.BlockBytes})
}

// rank returns the stores for blocks of the score, none if the links carry
// blocks of higher scores only.
func (k *Keeper) rank(score float64) []string {
	k.mu.Lock()
	now := k.opts.Now()
	stores := make([]StoreView, 0, len(k.stores))
	for _, s := range k.stores {
		if now.After(k.down[s.URL]) {
			stores = append(stores, s)
		}
	}
	accepted := k.price.Accepts(score)
	k.mu.Unlock()
	if !accepted {
		return nil
	}
	return k.opts.Planner.Rank(score, stores, k.opts.Links.Forecast)
}

func (k *Keeper) settle(score float64, exported bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if exported {
		k.price.Exported()
		return
	}
	k.price.Refused(score)
}

// SetStores tells the keeper which stores there are before any lookup has.
func (k *Keeper) SetStores(stores []StoreView) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stores = stores
}

// wantsStores reports whether the next lookup for a class should also ask for
// the state of the stores.
func (k *Keeper) wantsStores(class string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	if now.Sub(k.asked[class]) < statusInterval {
		return false
	}
	k.asked[class] = now
	return true
}

// learn takes in what a home has told, if it was asked.
func (k *Keeper) learn(class string, a LookupResult) {
	if len(a.Chances) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stores = a.Stores
	k.chance[class] = a.Chances
}

func (k *Keeper) markDown(url string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down[url] = k.opts.Now().Add(downFor)
}

// forecast is that of the store's link, unless the store was out of reach.
func (k *Keeper) forecast(url string) (link.Forecast, bool) {
	k.mu.Lock()
	until := k.down[url]
	k.mu.Unlock()
	if k.opts.Now().Before(until) {
		return link.Forecast{}, false
	}
	return k.opts.Links.Forecast(url)
}

// generationRandomBits leave the random part enough bits that two instances don't
// choose alike in one millisecond, while later generations are higher.
const generationRandomBits = 20

func (k *Keeper) generation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return uint64(k.opts.Now().UnixMilli())<<generationRandomBits | k.rng.Uint64N(1<<generationRandomBits)
}
