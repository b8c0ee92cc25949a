package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// score is an endpoint's expected time to first token in seconds.
type score struct {
	slot      int
	total     float64
	rank      float64 // total, hint and the price of another copy of the prefix
	hint      float64 // seconds that others' requests are likely to add
	queue     float64
	prefill   float64
	slow      float64 // learned, of the endpoint
	verdict   Verdict
	bringBack bool
}

// Choose decides where q runs. The error is a *NoEndpointError.
func (r *Router) Choose(q Query, now time.Time, rng *rand.Rand) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lookUp(q.Pieces)
	home := r.home()
	r.seek(&q, home, rng)
	best := r.scoreAll(&q, home, now)
	if math.IsInf(best, 1) {
		r.seekAll()
		best = r.scoreAll(&q, home, now)
	}
	if math.IsInf(best, 1) {
		return Choice{}, r.noEndpoint()
	}
	if q.BringBackTime != nil && len(q.Pieces) > 0 {
		best = r.weighBringBack(&q, home, best, rng)
	}
	return r.choice(&q, r.pick(&q, best, rng)), nil
}

// sampled is the number of endpoints that a decision draws at random, and the
// most that it takes for having the prefix cached. A service of up to twice as
// many is scored whole.
const sampled = 32

// seek fills scores with the endpoints to be scored: the prefix's home, some
// that have it cached and some at random, or all if they are few.
func (r *Router) seek(q *Query, home int, rng *rand.Rand) {
	n := len(r.endpoints)
	if q.Explain || q.PreferIdle || n <= 2*sampled {
		r.seekAll()
		return
	}
	clear(r.sought)
	r.scores = r.scores[:0]
	if home >= 0 {
		r.add(home)
	}
	start := rng.IntN(n)
	r.addCached(start, n)
	r.addCached(0, start)
	for range sampled {
		r.add(rng.IntN(n))
	}
}

func (r *Router) addCached(from, to int) {
	for slot := from; slot < to && len(r.scores) < sampled; slot++ {
		if r.cached[slot] > 0 {
			r.add(slot)
		}
	}
}

func (r *Router) add(slot int) {
	if r.sought[slot] || r.endpoints[slot] == nil {
		return
	}
	r.sought[slot] = true
	r.scores = append(r.scores, score{slot: slot})
}

func (r *Router) seekAll() {
	r.scores = r.scores[:0]
	for slot, e := range r.endpoints {
		if e != nil {
			r.scores = append(r.scores, score{slot: slot})
		}
	}
}

// lookUp fills the scratch with each endpoint's cached prefix.
func (r *Router) lookUp(pieces []string) {
	clear(r.cached)
	r.blocks = r.blocks[:0]
	for _, p := range pieces {
		r.blocks = append(r.blocks, xxhash.Sum64String(p))
	}
	r.view.prefix(r.blocks, r.cached)
}

// pick draws among the endpoints that are near the best, the nearer the
// likelier, so that routers with the same late reports choose differently. It
// returns a position in scores.
func (r *Router) pick(q *Query, best float64, rng *rand.Rand) int {
	limit := best + max(best*r.config.RelativeTolerance, r.config.AbsoluteTolerance.Seconds())
	sum := 0.0
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		if s.rank > limit {
			s.verdict = Slower
			continue
		}
		sum += limit - s.rank
	}
	at := rng.Float64() * sum
	picked := -1
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		picked = i
		if at -= limit - s.rank; at < 0 {
			break
		}
	}
	if q.PreferIdle {
		picked = r.idlest(picked)
	}
	return picked
}

// idlest returns the eligible endpoint with the fewest requests.
func (r *Router) idlest(picked int) int {
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest && s.verdict != Slower {
			continue
		}
		if r.endpoints[s.slot].outstanding() < r.endpoints[r.scores[picked].slot].outstanding() {
			picked = i
		}
	}
	return picked
}

func (r *Router) choice(q *Query, picked int) Choice {
	s := &r.scores[picked]
	s.verdict = Chosen
	c := Choice{
		Endpoint:            r.endpoints[s.slot].spec.Name,
		Expected:            seconds(s.total),
		Queue:               seconds(s.queue),
		MeanQueue:           seconds(r.meanQueue()),
		OutstandingRequests: r.endpoints[s.slot].outstanding(),
		CachedPieces:        int(r.cached[s.slot]),
		BringBack:           s.bringBack,
		prefill:             s.prefill,
		slow:                s.slow,
	}
	if q.Explain {
		c.Considered = r.considered()
	}
	return c
}

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

func (r *Router) considered() []Candidate {
	list := make([]Candidate, 0, len(r.scores))
	for _, s := range r.scores {
		list = append(list, Candidate{
			Endpoint:     r.endpoints[s.slot].spec.Name,
			Verdict:      s.verdict,
			Expected:     seconds(s.total),
			Queue:        seconds(s.queue),
			CachedPieces: int(r.cached[s.slot]),
			BringBack:    s.bringBack,
		})
	}
	return list
}

func (r *Router) noEndpoint() error {
	err := &NoEndpointError{Service: r.config.Service}
	for _, s := range r.scores {
		err.Verdicts[s.verdict]++
	}
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
