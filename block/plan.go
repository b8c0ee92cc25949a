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

// PlannerOptions tunes a planner.
type PlannerOptions struct {
	// Horizon is how far ahead a return counts; 0 for the default.
	Horizon time.Duration
	// Margin is the part of the recomputation time that bringing a block back
	// has to save; 0 for the default.
	Margin float64
}

// Planner decides what to keep, where, what to free and what to bring back. It
// holds no state.
type Planner struct {
	opts PlannerOptions
}

// NewPlanner returns a planner.
func NewPlanner(o PlannerOptions) *Planner {
	if o.Horizon == 0 {
		o.Horizon = defaultHorizon
	}
	if o.Margin == 0 {
		o.Margin = defaultMargin
	}
	return &Planner{opts: o}
}

// PlanRequest asks how to get a prompt's prefix into an engine's cache.
type PlanRequest struct {
	Pieces    int             // full pieces of the prompt
	Cached    int             // leading pieces already in the engine's cache
	Found     []BlockLocation // blocks behind those, in order
	PieceTime time.Duration   // of computing one piece at the engine
	QueueTime time.Duration   // before the engine begins with the prompt; transfers go on meanwhile
}

// Plan is the answer to a Question.
type Plan struct {
	Bring         int           // leading blocks of Found to bring back
	ExpectedTime  time.Duration // until all full pieces are in the cache
	RecomputeTime time.Duration // the same with nothing brought back
}

// Plan returns the number of blocks to bring back that gives the prompt the
// earliest first token: blocks are brought in order, store after store, and
// pieces without a block are computed after that.
func (p *Planner) Plan(q PlanRequest, forecast func(store string) (link.Forecast, bool)) Plan {
	missing := max(q.Pieces-q.Cached, 0)
	plan := Plan{RecomputeTime: q.QueueTime + time.Duration(missing)*q.PieceTime}
	plan.ExpectedTime = plan.RecomputeTime
	var brought time.Duration
	for i, b := range q.Found[:min(len(q.Found), missing)] {
		f, ok := forecast(b.Store)
		if !ok {
			break
		}
		if i == 0 || b.Store != q.Found[i-1].Store {
			brought += f.Wait + f.Delay
		}
		brought += f.TransferTime(b.Length) - f.Wait - f.Delay
		total := max(brought, q.QueueTime) + time.Duration(missing-i-1)*q.PieceTime
		if total < plan.ExpectedTime-p.margin(q, i+1-plan.Bring) {
			plan.Bring, plan.ExpectedTime = i+1, total
		}
	}
	return plan
}

// margin is what bringing so many more blocks has to save at least.
func (p *Planner) margin(q PlanRequest, blocks int) time.Duration {
	return time.Duration(p.opts.Margin * float64(blocks) * float64(q.PieceTime))
}

// BlockValue is what a block is worth to keep.
type BlockValue struct {
	Class         contract.Class
	SavedTime     time.Duration // saved by bringing the block back
	BringBackTime time.Duration // spent on bringing it back
	Bytes         int64
}

// ReturnProbability returns how likely a block idle for the given time is to return within
// the planner's horizon.
func (p *Planner) ReturnProbability(r *ReturnEstimator, class string, returns int, idle time.Duration) float64 {
	return r.Probability(class, returns, idle, p.opts.Horizon)
}

// Score returns the worth of the seconds that a block is expected to save for
// each byte it takes, given the chance of its return.
func (p *Planner) Score(chance float64, v BlockValue) float64 {
	saved := (v.SavedTime - v.BringBackTime).Seconds()
	if saved <= 0 || v.Bytes <= 0 {
		return 0
	}
	return chance * saved * max(v.Class.Worth, 0) / float64(v.Bytes)
}

// StoreView is what an instance knows of a store.
type StoreView struct {
	URL   string
	Down  bool
	Used  int64
	Total int64
	Price float64 // score below which the store frees blocks
}

// free returns the part of the store that is not in use.
func (s StoreView) free() float64 {
	if s.Total <= 0 {
		return 0
	}
	return 1 - float64(s.Used)/float64(s.Total)
}

// Rank returns the stores that should hold blocks of the score, the best first:
// of those that would not free them soon, the ones with the most room for what
// their links carry. An export that gets no budget for one goes to the next.
func (p *Planner) Rank(score float64, stores []StoreView, forecast func(store string) (link.Forecast, bool)) []string {
	type ranked struct {
		url string
		fit float64
	}
	var all []ranked
	for _, s := range stores {
		f, ok := forecast(s.URL)
		if ok && !s.Down && score > s.Price {
			all = append(all, ranked{s.URL, f.Rate * (minRoom + s.free())})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.fit, a.fit), cmp.Compare(a.url, b.url))
	})
	urls := make([]string, len(all))
	for i, r := range all {
		urls[i] = r.url
	}
	return urls
}

// minRoom keeps a full store with a fast link a candidate: it frees others.
const minRoom = 0.1

const (
	// priceRise is the part of a score by which the price rises when an export
	// of that score gets no budget.
	priceRise = 0.001
	// priceFall is the part of the price that each export takes off.
	priceFall = 0.005
)

// ExportPrice is the score that an export has to exceed. It rises while exports
// go without budget and falls with each that gets some, so that the links carry
// those of the highest scores. The zero value is ready. Not safe for concurrent
// use.
type ExportPrice struct {
	level float64
}

// Accepts reports whether an export of the score should be tried.
func (p *ExportPrice) Accepts(score float64) bool { return score > p.level }

// Exported records an export that got its budget.
func (p *ExportPrice) Exported() { p.level *= 1 - priceFall }

// Refused records that an export of the score got none in time.
func (p *ExportPrice) Refused(score float64) { p.level += priceRise * score }
