package block

import (
	"cmp"
	"slices"
	"time"

	"redwingknot/contract"
	"redwingknot/link"
)

// Defaults of PlannerOptions.
const (
	defaultHorizon = 20 * time.Minute
	defaultMargin  = 0.05
)

// PlannerOptions are the parameters of a planner.
type PlannerOptions struct {
	// Horizon is the time within which a return of a block counts; 0 for the
	// default.
	Horizon time.Duration
	// Margin is the minimum that bringing a block back has to save, as a part of
	// the time to prefill its piece; 0 for the default.
	Margin float64
}

// Planner decides which blocks to store and where, which to free and which to bring
// back. It has no state.
type Planner struct {
	opts PlannerOptions
}

// NewPlanner returns a planner with the given options.
func NewPlanner(o PlannerOptions) *Planner {
	if o.Horizon == 0 {
		o.Horizon = defaultHorizon
	}
	if o.Margin == 0 {
		o.Margin = defaultMargin
	}
	return &Planner{opts: o}
}

// PlanRequest describes a prompt at an engine, to plan how its pieces get into the
// engine's cache.
type PlanRequest struct {
	Pieces    int             // number of full pieces of the prompt
	Cached    int             // number of leading pieces already in the engine's cache
	Found     []BlockLocation // blocks of the pieces after the cached ones, in order
	PieceTime time.Duration   // time in which the engine prefills one piece
	QueueTime time.Duration   // time before the engine starts with the prompt; transfers run meanwhile
}

// Plan is the planner's answer to a PlanRequest.
type Plan struct {
	BringBackCount int           // number of leading blocks of Found to bring back
	ExpectedTime   time.Duration // time until all full pieces are in the cache
	RecomputeTime  time.Duration // the same if nothing is brought back
}

// Plan chooses how many blocks to bring back so that the first token of the answer
// comes earliest. Blocks are imported in order, one store after the other, and the
// remaining pieces are prefilled after that. forecast reports false for a store that
// can't be used.
func (p *Planner) Plan(req PlanRequest, forecast func(store string) (link.Forecast, bool)) Plan {
	missing := max(req.Pieces-req.Cached, 0)
	plan := Plan{RecomputeTime: req.QueueTime + time.Duration(missing)*req.PieceTime}
	plan.ExpectedTime = plan.RecomputeTime
	var bringTime time.Duration
	for i, b := range req.Found[:min(len(req.Found), missing)] {
		f, ok := forecast(b.Store)
		if !ok {
			break
		}
		if i == 0 || b.Store != req.Found[i-1].Store {
			bringTime += f.Wait + f.Delay
		}
		// Wait and delay, which TransferTime includes, were added above once per store.
		bringTime += f.TransferTime(b.Length) - f.Wait - f.Delay
		total := max(bringTime, req.QueueTime) + time.Duration(missing-i-1)*req.PieceTime
		if total < plan.ExpectedTime-p.minSaving(req, i+1-plan.BringBackCount) {
			plan.BringBackCount, plan.ExpectedTime = i+1, total
		}
	}
	return plan
}

// minSaving returns the time that bringing back the given number of additional blocks
// has to save at least.
func (p *Planner) minSaving(req PlanRequest, blocks int) time.Duration {
	return time.Duration(p.opts.Margin * float64(blocks) * float64(req.PieceTime))
}

// BlockValue describes the value of storing a block.
type BlockValue struct {
	Class         contract.Class // whose worth weights the time saved
	SavedTime     time.Duration  // prefill time that bringing the block back saves
	BringBackTime time.Duration  // time that bringing it back takes
	Bytes         int64
}

// ReturnProbability returns the probability that a block of the class, with the given number of
// earlier returns and idle time, returns within the planner's horizon.
func (p *Planner) ReturnProbability(r *ReturnEstimator, class string, returns int, idle time.Duration) float64 {
	return r.Probability(class, returns, idle, p.opts.Horizon)
}

// Score returns the score of a block: the seconds that it is expected to save, weighted
// by the worth of its class, per byte. probability is that of its return.
func (p *Planner) Score(probability float64, v BlockValue) float64 {
	saved := (v.SavedTime - v.BringBackTime).Seconds()
	if saved <= 0 || v.Bytes <= 0 {
		return 0
	}
	return probability * saved * max(v.Class.Worth, 0) / float64(v.Bytes)
}

// StoreView is what an instance knows about a store.
type StoreView struct {
	URL   string
	Down  bool    // the store is unreachable
	Used  int64   // bytes
	Total int64   // bytes
	Price float64 // score below which blocks of the store are evicted
}

// freeShare returns the unused part of the store's capacity, from 0 to 1.
func (s StoreView) freeShare() float64 {
	if s.Total <= 0 {
		return 0
	}
	return 1 - float64(s.Used)/float64(s.Total)
}

// Rank returns the URLs of the stores to which blocks with the score may be exported,
// the best first. It omits stores that are down or would soon evict the blocks, and
// orders the others by the rate of their link times their free share. An export that
// gets no permit for one store goes to the next.
func (p *Planner) Rank(score float64, stores []StoreView, forecast func(store string) (link.Forecast, bool)) []string {
	type ranked struct {
		url         string
		suitability float64
	}
	var all []ranked
	for _, s := range stores {
		f, ok := forecast(s.URL)
		if ok && !s.Down && score > s.Price {
			all = append(all, ranked{s.URL, f.Rate * (freeShareOffset + s.freeShare())})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.suitability, a.suitability), cmp.Compare(a.url, b.url))
	})
	urls := make([]string, len(all))
	for i, r := range all {
		urls[i] = r.url
	}
	return urls
}

// freeShareOffset is added to the free share of a store, so that a full store with a fast
// link can still be chosen: it evicts other blocks.
const freeShareOffset = 0.1

const (
	// priceRise is the part of a score by which the price rises when an export
	// with that score gets no permit.
	priceRise = 0.001
	// priceFall is the part by which the price falls with each export.
	priceFall = 0.005
)

// ExportPrice is the threshold that the score of an export has to exceed. It rises
// with each export that gets no permit and falls with each that gets one, so that
// the links carry the exports with the highest scores. The zero value is ready to use.
// It is not safe for concurrent use.
type ExportPrice struct {
	price float64
}

// Accepts reports whether an export with the score should be tried.
func (p *ExportPrice) Accepts(score float64) bool { return score > p.price }

// Exported records that an export got a permit.
func (p *ExportPrice) Exported() { p.price *= 1 - priceFall }

// Refused records that an export with the score got no permit in time.
func (p *ExportPrice) Refused(score float64) { p.price += priceRise * score }
