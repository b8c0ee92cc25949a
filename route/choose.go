package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// score is the score of one endpoint for one request. All times and costs are in
// seconds.
type score struct {
	index      int     // of the endpoint in Router.endpoints
	expected   float64 // time to first token
	cost       float64 // expected + othersLoad + the cost of another copy of the prefix
	othersLoad float64 // delay that other routers' requests are likely to add
	queue      float64 // part of expected spent queued
	prefill    float64 // time to prefill the prompt tokens that are not cached, at Config.PrefillRate
	slowness   float64 // learned slowness of the endpoint
	verdict    Verdict
	bringBack  bool
}

// Choose returns the endpoint that is to run q. If none is eligible, the error is
// a *NoEndpointError.
func (r *Router) Choose(q Query, now time.Time, rng *rand.Rand) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lookUpCachedPrefixes(q.Pieces)
	preferred := r.preferredEndpoint()
	r.selectCandidates(&q, preferred, rng)
	best := r.scoreCandidates(&q, preferred, now)
	if math.IsInf(best, 1) {
		r.selectAll()
		best = r.scoreCandidates(&q, preferred, now)
	}
	if math.IsInf(best, 1) {
		return Choice{}, r.newNoEndpointError()
	}
	if q.BringBackTime != nil && len(q.Pieces) > 0 {
		best = r.applyBringBack(&q, preferred, best, rng)
	}
	return r.newChoice(&q, r.pickNearBest(&q, best, rng)), nil
}

// sampleSize limits the number of endpoints that are scored in a large service:
// endpoints that have a part of the prefix cached are added until there are
// sampleSize candidates, and then sampleSize endpoints are drawn at random. In a
// service of at most 2*sampleSize endpoints, all are scored.
const sampleSize = 32

// selectCandidates fills r.scores with the endpoints to be scored: the preferred
// endpoint of the prefix, some that have a part of the prefix cached and some
// chosen at random. It selects all endpoints if they are few or if q.Explain or
// q.PreferIdle is set.
func (r *Router) selectCandidates(q *Query, preferred int, rng *rand.Rand) {
	n := len(r.endpoints)
	if q.Explain || q.PreferIdle || n <= 2*sampleSize {
		r.selectAll()
		return
	}
	clear(r.selected)
	r.scores = r.scores[:0]
	if preferred >= 0 {
		r.selectEndpoint(preferred)
	}
	start := rng.IntN(n)
	r.selectCached(start, n)
	r.selectCached(0, start)
	for range sampleSize {
		r.selectEndpoint(rng.IntN(n))
	}
}

// selectCached adds the endpoints with indexes in [from, to) that have a part of
// the prefix cached, until there are sampleSize candidates.
func (r *Router) selectCached(from, to int) {
	for index := from; index < to && len(r.scores) < sampleSize; index++ {
		if r.cachedPieces[index] > 0 {
			r.selectEndpoint(index)
		}
	}
}

// selectEndpoint adds the endpoint with the given index to r.scores unless it is
// already there or the index is unused.
func (r *Router) selectEndpoint(index int) {
	if r.selected[index] || r.endpoints[index] == nil {
		return
	}
	r.selected[index] = true
	r.scores = append(r.scores, score{index: index})
}

// selectAll fills r.scores with all endpoints.
func (r *Router) selectAll() {
	r.scores = r.scores[:0]
	for index, e := range r.endpoints {
		if e != nil {
			r.scores = append(r.scores, score{index: index})
		}
	}
}

// lookUpCachedPrefixes sets r.pieceHashes to the hashes of the pieces and
// r.cachedPieces to the number of leading pieces that each endpoint has cached.
func (r *Router) lookUpCachedPrefixes(pieces []string) {
	clear(r.cachedPieces)
	r.pieceHashes = r.pieceHashes[:0]
	for _, p := range pieces {
		r.pieceHashes = append(r.pieceHashes, xxhash.Sum64String(p))
	}
	r.cacheView.countCachedPrefix(r.pieceHashes, r.cachedPieces)
}

// pickNearBest chooses at random among the endpoints whose cost is near best, the
// lowest cost, and returns a position in r.scores. The probability grows as the cost
// approaches best. The random choice keeps routers that work from the same late
// reports from all choosing the same endpoint. If q.PreferIdle is set, pickNearBest
// returns the eligible endpoint with the fewest requests.
func (r *Router) pickNearBest(q *Query, best float64, rng *rand.Rand) int {
	maxCost := best + max(best*r.config.RelativeTolerance, r.config.AbsoluteTolerance.Seconds())
	sum := 0.0
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		if s.cost > maxCost {
			s.verdict = Slower
			continue
		}
		sum += maxCost - s.cost
	}
	draw := rng.Float64() * sum
	picked := -1
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		picked = i
		if draw -= maxCost - s.cost; draw < 0 {
			break
		}
	}
	if q.PreferIdle {
		picked = r.leastOutstanding(picked)
	}
	return picked
}

// leastOutstanding returns the position in r.scores of the eligible endpoint with
// the fewest outstanding requests. It returns picked, the position of an eligible
// endpoint, if no endpoint has fewer.
func (r *Router) leastOutstanding(picked int) int {
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest && s.verdict != Slower {
			continue
		}
		if r.endpoints[s.index].outstanding() < r.endpoints[r.scores[picked].index].outstanding() {
			picked = i
		}
	}
	return picked
}

// newChoice returns the Choice of the endpoint at position picked in r.scores.
func (r *Router) newChoice(q *Query, picked int) Choice {
	s := &r.scores[picked]
	s.verdict = Chosen
	c := Choice{
		Endpoint:            r.endpoints[s.index].spec.Name,
		Expected:            seconds(s.expected),
		Queue:               seconds(s.queue),
		MeanQueue:           seconds(r.meanQueue()),
		OutstandingRequests: r.endpoints[s.index].outstanding(),
		CachedPieces:        int(r.cachedPieces[s.index]),
		BringBack:           s.bringBack,
		prefillSeconds:      s.prefill,
		slowness:            s.slowness,
	}
	if q.Explain {
		c.Considered = r.candidates()
	}
	return c
}

// meanQueue returns the mean expected queueing time in seconds of all eligible
// endpoints that were scored.
func (r *Router) meanQueue() float64 {
	sum, n := 0.0, 0.0
	for i := range r.scores {
		if v := r.scores[i].verdict; v == Chosen || v == NearBest || v == Slower {
			sum += r.scores[i].queue
			n++
		}
	}
	return sum / n
}

// candidates returns all scored endpoints for Choice.Considered.
func (r *Router) candidates() []Candidate {
	list := make([]Candidate, 0, len(r.scores))
	for _, s := range r.scores {
		list = append(list, Candidate{
			Endpoint:     r.endpoints[s.index].spec.Name,
			Verdict:      s.verdict,
			Expected:     seconds(s.expected),
			Queue:        seconds(s.queue),
			CachedPieces: int(r.cachedPieces[s.index]),
			BringBack:    s.bringBack,
		})
	}
	return list
}

// newNoEndpointError returns an error that counts the scored endpoints by verdict.
func (r *Router) newNoEndpointError() error {
	err := &NoEndpointError{Service: r.config.Service}
	for _, s := range r.scores {
		err.Verdicts[s.verdict]++
	}
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
