package route

import (
	"math/rand/v2"
)

// applyBringBack lowers the scores of endpoints that answer sooner if the missing
// pieces are brought back, that is, imported from a store, and returns the lowest
// cost. It queries the import time of the prefix's preferred endpoint and of at most
// maxQueried others whose queue is shorter than the lowest cost so far. The preferred
// endpoint comes first: if its missing pieces can't be imported, imports to other
// endpoints are scored without the copy cost.
func (r *Router) applyBringBack(q *Query, preferred int, best float64, rng *rand.Rand) float64 {
	const maxQueried = 16
	chargeCopies := true
	if i := r.scorePosition(preferred); i >= 0 {
		chargeCopies = r.tryBringBack(q, &r.scores[i], true)
		if r.scores[i].verdict == NearBest {
			best = min(best, r.scores[i].cost)
		}
	}
	queried := 0
	start := rng.IntN(len(r.scores))
	for i := range r.scores {
		s := &r.scores[(start+i)%len(r.scores)]
		if s.index == preferred || s.queue >= best {
			continue
		}
		if queried++; queried > maxQueried {
			break
		}
		if r.tryBringBack(q, s, chargeCopies) && s.verdict == NearBest {
			best = min(best, s.cost)
		}
	}
	return best
}

// scorePosition returns the position in r.scores of the endpoint with the given
// index, or -1 if it has no score.
func (r *Router) scorePosition(index int) int {
	for i := range r.scores {
		if r.scores[i].index == index {
			return i
		}
	}
	return -1
}

// tryBringBack rescores an eligible endpoint with an import of its missing pieces
// if an import is possible and faster. It returns false only if pieces are
// missing and can't be imported, and true also if none are missing or the endpoint
// is not eligible. The copy cost is dropped from the new score unless chargeCopies
// is set.
func (r *Router) tryBringBack(q *Query, s *score, chargeCopies bool) bool {
	missing := len(q.Pieces) - int(r.cachedPieces[s.index])
	if s.verdict != NearBest || missing <= 0 {
		return true
	}
	importTime, ok := q.BringBackTime(r.endpoints[s.index].spec.Name, missing)
	if !ok {
		return false
	}
	prefillAfterImport := max(float64(q.PromptTokens-len(q.Pieces)*r.config.PieceTokens), 1) / r.config.PrefillRate
	// The endpoint goes on prefilling its queue while the pieces are copied.
	wait := max(s.queue, importTime.Seconds())
	expectedAfterImport := s.expected - s.queue + wait - (s.prefill-prefillAfterImport)*r.calibration*s.slowness
	if expectedAfterImport >= s.expected {
		return true
	}
	s.cost += expectedAfterImport - s.expected
	if !chargeCopies {
		s.cost = expectedAfterImport + s.othersLoad
	}
	s.expected = expectedAfterImport
	s.prefill = prefillAfterImport
	s.bringBack = true
	return true
}
