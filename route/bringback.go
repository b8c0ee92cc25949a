package route

import (
	"math/rand/v2"
)

// weighBringBack lowers scores by importing the missing pieces where that is
// faster. Only endpoints that could then beat the best are asked about, the
// home first: if nothing can be brought there, a copy elsewhere has no price.
func (r *Router) weighBringBack(q *Query, home int, best float64, rng *rand.Rand) float64 {
	const maxAsked = 16
	priced := true
	if i := r.position(home); i >= 0 {
		priced = r.tryBringBack(q, &r.scores[i], true)
		if r.scores[i].verdict == NearBest {
			best = min(best, r.scores[i].rank)
		}
	}
	asked := 0
	start := rng.IntN(len(r.scores))
	for i := range r.scores {
		s := &r.scores[(start+i)%len(r.scores)]
		if s.slot == home || s.queue >= best {
			continue
		}
		if asked++; asked > maxAsked {
			break
		}
		if r.tryBringBack(q, s, priced) && s.verdict == NearBest {
			best = min(best, s.rank)
		}
	}
	return best
}

// position returns where slot is in scores, -1 if it is not.
func (r *Router) position(slot int) int {
	for i := range r.scores {
		if r.scores[i].slot == slot {
			return i
		}
	}
	return -1
}

// tryBringBack scores an endpoint with an import of its missing pieces if there
// is one and it is faster. It reports whether the endpoint can have them, by an
// import or as it is.
func (r *Router) tryBringBack(q *Query, s *score, priced bool) bool {
	missing := len(q.Pieces) - int(r.cached[s.slot])
	if s.verdict != NearBest || missing <= 0 {
		return true
	}
	cost, ok := q.BringBackTime(r.endpoints[s.slot].spec.Name, missing)
	if !ok {
		return false
	}
	rest := max(float64(q.PromptTokens-len(q.Pieces)*r.config.PieceTokens), 1) / r.config.PrefillRate
	// The endpoint's queue moves on while the pieces are copied.
	wait := max(s.queue, cost.Seconds())
	total := s.total - s.queue + wait - (s.prefill-rest)*r.calibration*s.slow
	if total >= s.total {
		return true
	}
	s.rank += total - s.total
	if !priced {
		s.rank = total + s.hint
	}
	s.total = total
	s.prefill = rest
	s.bringBack = true
	return true
}
