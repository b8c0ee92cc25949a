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
	// readGrantDuration is how long the blocks found by a lookup may be read.
	readGrantDuration = 30 * time.Second
	// storeDownDuration is how long a store is not used after it was unreachable.
	storeDownDuration = 5 * time.Second
	// maxExportRetries is how often an export that gets no permit is retried.
	maxExportRetries   = 10
	defaultExportPause = 3 * time.Second
	// defaultReturnProbability is the probability of a return that is assumed for a
	// class until a home has sent its probabilities.
	defaultReturnProbability = 0.5
)

// KeeperOptions are the dependencies and parameters of a keeper.
type KeeperOptions struct {
	Now     func() time.Time
	Seed    uint64 // seed of the random part of generation numbers; must differ between instances
	Client  *Client
	Links   *link.Client // the name of a link is the URL of its store
	Planner *Planner
	Store   func(url string) *store.Client
	Log     *slog.Logger
	// ExportPause is the time before an export that gets no permit is tried
	// again; 0 for the default.
	ExportPause time.Duration
}

// Keeper carries out the transfers of blocks. It has engines import stored blocks before
// they prefill a prompt, and export the blocks of finished requests to stores. It
// publishes a block only after the store has confirmed that it is sealed. It is safe for
// concurrent use.
type Keeper struct {
	opts KeeperOptions

	mu                  sync.Mutex
	rng                 *rand.Rand
	stores              []StoreView
	storesAskedAt       map[string]time.Time // by class, when a lookup last asked for the stores
	downUntil           map[string]time.Time // by URL of a store
	exportPrice         ExportPrice
	returnProbabilities map[string][]float32 // probabilities of a return, by class and number of earlier returns
}

// NewKeeper returns a keeper that knows no stores yet.
func NewKeeper(o KeeperOptions) *Keeper {
	o.ExportPause = cmp.Or(o.ExportPause, defaultExportPause)
	return &Keeper{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), downUntil: map[string]time.Time{}, returnProbabilities: map[string][]float32{}, storesAskedAt: map[string]time.Time{}}
}

// Prompt describes a prompt at an engine.
type Prompt struct {
	Keys       []Key          // of the full pieces
	Weights    engine.Weights // weights that the keys name
	Class      contract.Class
	Cached     int           // number of leading pieces in the engine's cache
	PieceTime  time.Duration // time in which the engine prefills one piece
	QueueTime  time.Duration // time before the engine starts with the prompt
	BlockBytes int64         // expected size of a block in bytes
	Returns    int           // how often the prompt is known to have returned
}

// BringBackPlan is the plan for a returning prompt and the blocks found for it.
type BringBackPlan struct {
	Plan
	Found []BlockLocation // blocks in stores for the pieces after the cached ones
}

// storeRun is a sequence of consecutive blocks from one store, imported together.
type storeRun struct {
	store  string
	blocks []BlockLocation
	bytes  int64
	permit link.Permit
}

// PlanBringBack asks the prompt's home for stored blocks and plans which of them to bring back.
// It uses no link budget. On an error, the plan is to prefill everything.
func (k *Keeper) PlanBringBack(ctx context.Context, p Prompt) (BringBackPlan, error) {
	plan := BringBackPlan{Plan: Plan{RecomputeTime: p.prefillOnlyTime(), ExpectedTime: p.prefillOnlyTime()}}
	if p.Cached >= len(p.Keys) {
		return plan, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := Query{Keys: p.Keys[p.Cached:], First: p.Cached, Class: p.Class.Name, GrantDuration: readGrantDuration}
	result, err := k.opts.Client.Lookup(ctx, q, k.claimStoreQuery(p.Class.Name))
	if err != nil {
		return plan, err
	}
	k.applyLookupResult(p.Class.Name, result)
	plan.Found = result.Found
	request := PlanRequest{Pieces: len(p.Keys), Cached: p.Cached, Found: plan.Found, PieceTime: p.PieceTime, QueueTime: p.QueueTime}
	plan.Plan = k.opts.Planner.Plan(request, k.forecast)
	return plan, nil
}

// prefillOnlyTime returns the time until all pieces are in the cache if nothing is
// brought back.
func (p Prompt) prefillOnlyTime() time.Duration {
	return p.QueueTime + time.Duration(max(len(p.Keys)-p.Cached, 0))*p.PieceTime
}

// BringBack carries out a plan: it gets permits for the links and has eng import the
// blocks in order, until one fails. It returns the number of leading pieces that are in
// the cache afterwards; the engine has to prefill the others.
func (k *Keeper) BringBack(ctx context.Context, eng engine.Engine, p Prompt, plan BringBackPlan) int {
	cached := p.Cached
	for _, run := range splitByStore(plan.Found[:plan.BringBackCount]) {
		permit, err := k.opts.Links.Acquire(ctx, run.store, link.BringBack, run.bytes, time.Duration(len(run.blocks))*p.PieceTime)
		if err != nil {
			break
		}
		run.permit = permit
		imported := k.importRun(ctx, eng, run, cached, time.Duration(len(run.blocks))*p.PieceTime)
		cached += imported
		if imported < len(run.blocks) {
			break
		}
	}
	metric.Counter("block_brought_total").Inc(int64(cached - p.Cached))
	return cached
}

// splitByStore splits blocks into runs of consecutive blocks from the same store.
func splitByStore(blocks []BlockLocation) []storeRun {
	var runs []storeRun
	for _, b := range blocks {
		if n := len(runs); n == 0 || runs[n-1].store != b.Store {
			runs = append(runs, storeRun{store: b.Store})
		}
		last := &runs[len(runs)-1]
		last.blocks = append(last.blocks, b)
		last.bytes += b.Length
	}
	return runs
}

// importRun has the engine import a run of blocks and returns how many of them are now
// in its cache. cached is the number of leading pieces in the cache before. limit is
// the time in which the engine could prefill the run: the import is cancelled after
// that, so that a link that has become slow doesn't delay the prompt.
func (k *Keeper) importRun(ctx context.Context, eng engine.Engine, run storeRun, cached int, limit time.Duration) int {
	if !timer.Sleep(ctx, run.permit.StartIn) {
		return 0
	}
	t := engine.Transfer{StoreURL: run.store, Rate: run.permit.Rate}
	for _, b := range run.blocks {
		t.Blocks = append(t.Blocks, b.Ref())
	}
	startedAt := k.opts.Now()
	importCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	cachedAfter, err := eng.Import(importCtx, t)
	imported := min(max(cachedAfter-cached, 0), len(run.blocks))
	switch {
	case err == nil && imported == len(run.blocks):
		k.opts.Links.Observe(run.store, run.bytes, k.opts.Now().Sub(startedAt), run.permit.Rate)
	case ctx.Err() != nil || imported == len(run.blocks):
		// Neither the link nor a block is known to be at fault.
	case importCtx.Err() != nil:
		metric.Counter("block_bring_timeouts_total").Inc(1)
		// Half of the block whose import was interrupted counts as moved.
		moved := totalBytes(run.blocks[:imported]) + run.blocks[imported].Length/2
		k.opts.Links.Observe(run.store, moved, k.opts.Now().Sub(startedAt), run.permit.Rate)
	default:
		k.checkFailedImport(ctx, run.blocks[imported])
	}
	return imported
}

// totalBytes returns the total length of the blocks.
func totalBytes(blocks []BlockLocation) int64 {
	sum := int64(0)
	for _, b := range blocks {
		sum += b.Length
	}
	return sum
}

// checkFailedImport finds out why a block was not imported: either its store is
// unreachable, which it records, or the directory's entry is wrong, which it reports to
// the home.
func (k *Keeper) checkFailedImport(ctx context.Context, l BlockLocation) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.opts.Store(l.Store).Stat(ctx, l.Ref())
	if err != nil && !store.IsRefusal(err) {
		k.markDown(l.Store)
		event.StoreUnreachable.Log(k.opts.Log, slog.String("store", l.Store), slog.Any("error", err))
		return
	}
	event.BlockRejected.Log(k.opts.Log, slog.String("store", l.Store), slog.String("block", l.Key.String()))
	// If the rejection gets lost, the next reader sends it again.
	_ = k.opts.Client.Reject(ctx, l)
}

// Export has eng export the blocks of a finished request if they are worth it, and
// publishes those that the store confirms. The engine must have the prompt's weights all the
// while: a run that goes on after a change of weights may have computed blocks with the new
// ones under the old keys. storedPieces is the number of leading pieces
// that are already in stores. It returns the number of blocks published.
func (k *Keeper) Export(ctx context.Context, eng engine.Engine, p Prompt, storedPieces int) (int, error) {
	keys := p.Keys[min(storedPieces, len(p.Keys)):]
	if len(keys) == 0 {
		return 0, nil
	}
	bytes := p.BlockBytes * int64(len(keys))
	url, permit, err := k.exportPermit(ctx, p, bytes)
	if err != nil || url == "" {
		return 0, err
	}
	t := engine.Transfer{StoreURL: url, Rate: permit.Rate, Weights: p.Weights}
	for _, key := range keys {
		t.Blocks = append(t.Blocks, engine.BlockRef{Key: key.String(), Generation: k.newGeneration()})
	}
	if !timer.Sleep(ctx, permit.StartIn) {
		return 0, ctx.Err()
	}
	startedAt := k.opts.Now()
	switch err := eng.Export(ctx, t); {
	case err == nil:
		k.opts.Links.Observe(url, bytes, k.opts.Now().Sub(startedAt), permit.Rate)
	case engine.IsOtherWeights(err):
		metric.Counter("block_exports_of_other_weights_total").Inc(1)
	}
	// An export that failed may have sealed some blocks, and after a successful
	// one only the blocks that the store confirms are published.
	return k.publishConfirmed(ctx, p, storedPieces, t)
}

// publishConfirmed publishes the leading blocks of an export that the store confirms as
// sealed. It frees the sealed blocks after the first missing one, because they can't
// be used without it.
func (k *Keeper) publishConfirmed(ctx context.Context, p Prompt, storedPieces int, t engine.Transfer) (int, error) {
	s := k.opts.Store(t.StoreURL)
	sealed, err := s.StatAll(ctx, t.Blocks)
	if err != nil {
		if !store.IsRefusal(err) {
			k.markDown(t.StoreURL)
		}
		return 0, err
	}
	confirmed := 0
	for confirmed < len(sealed) && sealed[confirmed].Ref.Key == t.Blocks[confirmed].Key && sealed[confirmed].Ref.Generation == t.Blocks[confirmed].Generation {
		confirmed++
	}
	for _, b := range sealed[confirmed:] {
		// If the free fails, the home finds the block when it lists the store.
		_, _ = s.Free(ctx, b.Ref)
	}
	metric.Counter("block_exported_total").Inc(int64(confirmed))
	return k.opts.Client.Publish(ctx, t.StoreURL, p.Class.Name, storedPieces, sealed[:confirmed])
}

// exportPermit returns the URL of the store for the prompt's blocks and the permit for
// the export. If no link has budget, it retries up to maxExportRetries times. The
// URL is empty without an error if the blocks are not worth an export to any store.
func (k *Keeper) exportPermit(ctx context.Context, p Prompt, bytes int64) (string, link.Permit, error) {
	score := k.score(p)
	for try := 0; ; try++ {
		urls := k.rankStores(score)
		if len(urls) == 0 {
			return "", link.Permit{}, nil
		}
		var err error
		for _, url := range urls {
			var permit link.Permit
			if permit, err = k.opts.Links.Acquire(ctx, url, link.Export, bytes, 0); err == nil {
				k.recordExportOutcome(score, true)
				return url, permit, nil
			}
		}
		if try >= maxExportRetries || !timer.Sleep(ctx, k.opts.ExportPause) {
			k.recordExportOutcome(score, false)
			return "", link.Permit{}, err
		}
	}
}

// score returns the score of exporting the prompt's blocks.
func (k *Keeper) score(p Prompt) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	probability := defaultReturnProbability
	if known := k.returnProbabilities[p.Class.Name]; len(known) > 0 {
		probability = float64(known[min(max(p.Returns, 0), len(known)-1)])
	}
	return k.opts.Planner.Score(probability, BlockValue{Class: p.Class, SavedTime: p.PieceTime, Bytes: p.BlockBytes})
}

// rankStores returns the URLs of the stores to try for blocks with the score, the best
// first. It returns none if the score doesn't exceed the export price.
func (k *Keeper) rankStores(score float64) []string {
	k.mu.Lock()
	now := k.opts.Now()
	stores := make([]StoreView, 0, len(k.stores))
	for _, s := range k.stores {
		if now.After(k.downUntil[s.URL]) {
			stores = append(stores, s)
		}
	}
	accepted := k.exportPrice.Accepts(score)
	k.mu.Unlock()
	if !accepted {
		return nil
	}
	return k.opts.Planner.Rank(score, stores, k.opts.Links.Forecast)
}

// recordExportOutcome adjusts the export price after an export got a permit or none.
func (k *Keeper) recordExportOutcome(score float64, exported bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if exported {
		k.exportPrice.Exported()
		return
	}
	k.exportPrice.Refused(score)
}

// SetStores sets the stores that the keeper uses until a lookup returns their states.
func (k *Keeper) SetStores(stores []StoreView) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stores = stores
}

// claimStoreQuery reports whether the next lookup for a class should also ask for the
// states of the stores. If so, it returns false for the class during statusInterval,
// so that only one lookup asks.
func (k *Keeper) claimStoreQuery(class string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	if now.Sub(k.storesAskedAt[class]) < statusInterval {
		return false
	}
	k.storesAskedAt[class] = now
	return true
}

// applyLookupResult records the stores and the probabilities of a return in a lookup's
// result, if the lookup asked for them.
func (k *Keeper) applyLookupResult(class string, result LookupResult) {
	if len(result.ReturnProbabilities) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stores = result.Stores
	k.returnProbabilities[class] = result.ReturnProbabilities
}

// markDown excludes a store for storeDownDuration.
func (k *Keeper) markDown(url string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil[url] = k.opts.Now().Add(storeDownDuration)
}

// forecast returns the forecast for the link of a store, and false if the link is
// unknown or the store was recently unreachable.
func (k *Keeper) forecast(url string) (link.Forecast, bool) {
	k.mu.Lock()
	until := k.downUntil[url]
	k.mu.Unlock()
	if k.opts.Now().Before(until) {
		return link.Forecast{}, false
	}
	return k.opts.Links.Forecast(url)
}

// generationRandomBits is the number of low random bits of a generation number, enough
// that two instances don't choose the same number in one millisecond. The high bits are
// the time in milliseconds, so that later generations are higher.
const generationRandomBits = 20

// newGeneration returns a new generation number.
func (k *Keeper) newGeneration() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return uint64(k.opts.Now().UnixMilli())<<generationRandomBits | k.rng.Uint64N(1<<generationRandomBits)
}
