package route

import (
	"math"
	"time"

	"redwingknot/note"
)

// scoreCandidates scores all endpoints in r.scores without an import of missing
// pieces and returns the lowest cost, or +Inf if none is eligible.
func (r *Router) scoreCandidates(q *Query, preferred int, now time.Time) float64 {
	best := math.Inf(1)
	for i := range r.scores {
		s := &r.scores[i]
		e := r.endpoints[s.index]
		s.verdict = e.verdict(q, &r.config, now)
		if s.verdict != NearBest {
			continue
		}
		r.scoreEndpoint(s, q, e, now)
		s.cost = s.expected + s.othersLoad + r.copyCost(q, s.index, preferred)
		best = min(best, s.cost)
	}
	return best
}

// scoreEndpoint sets the expected times and the slowness in s; the cost is left to
// the caller.
func (r *Router) scoreEndpoint(s *score, q *Query, e *endpoint, now time.Time) {
	if r.config.Kind == note.KindPlain {
		r.scorePlain(s, q, e, now)
		return
	}
	tokens := float64(q.PromptTokens - int(r.cachedPieces[s.index])*r.config.PieceTokens)
	s.prefill = max(tokens, 1) / r.config.PrefillRate
	s.slowness = e.slowness(now)
	wait, othersLoad := r.expectedWait(e, now)
	s.queue = wait * s.slowness
	s.othersLoad = othersLoad * s.slowness
	s.expected = s.queue + s.prefill*r.calibration*s.slowness + r.networkDelay(q, e) + e.overdueSeconds(now)
}

// expectedWait returns the seconds that a prompt is expected to be queued at e.
// It is a weighted mean of two estimates: the queue that e reported, which counts
// less the older the report is, and the recent queueing times of this router's
// own requests, at e and at all endpoints, plus the difference of this router's load
// at e from its mean load per endpoint. othersLoad is the number of seconds that
// other routers, which prefer the same endpoints for the same prefixes, are likely
// to add. The caller orders endpoints by othersLoad, but it is too imprecise to
// refuse a request because of it.
func (r *Router) expectedWait(e *endpoint, now time.Time) (wait, othersLoad float64) {
	reported := e.queuedTokens() / r.config.PrefillRate * r.calibration
	if slots := e.spec.Slots; slots > 0 {
		over := float64(e.outstanding() + 1 - slots)
		reported = max(reported, over*r.meanHold/float64(slots))
	}
	if !r.recentWait.isFresh(now) {
		return reported, 0
	}
	localWeight := recencyWeight(now.Sub(e.recentWait.observedAt), r.config.ReportHalfWeightAge)
	recent := localWeight*e.recentWait.expectedSeconds(now) + (1-localWeight)*r.recentWait.expectedSeconds(now)
	ownPrefill := e.pendingTokens / r.config.PrefillRate
	aboveMean := ownPrefill - r.pendingPrefill/float64(len(r.byName))
	staleness := 1 - recencyWeight(now.Sub(e.report.At), r.config.ReportHalfWeightAge)
	wait = (1-staleness)*reported + staleness*max(recent+aboveMean, ownPrefill)
	return wait, staleness * (r.config.OwnLoadWeight - 1) * aboveMean
}

// scorePlain scores an endpoint of a plain service, which runs an application and no
// model, by this router's own outstanding requests, since plain endpoints report no
// load.
func (r *Router) scorePlain(s *score, q *Query, e *endpoint, now time.Time) {
	s.prefill = 0
	s.queue = float64(len(e.inFlight)) * r.meanHold / float64(max(e.spec.Slots, 1))
	s.slowness = e.slowness(now)
	s.expected = (s.queue+r.meanHold)*s.slowness + r.networkDelay(q, e) + e.overdueSeconds(now)
}

// preferredEndpoint returns the index of the endpoint with the highest rendezvous
// hash for the prefix that was looked up, or -1 if there is no prefix or no
// endpoint can be preferred. Several routers thus prefer the same endpoint for a
// prefix even before they learn at which endpoints it is cached.
func (r *Router) preferredEndpoint() int {
	preferred, highest := -1, uint64(0)
	if len(r.pieceHashes) == 0 {
		return preferred
	}
	for index, hash := range r.preferenceHashes {
		if w := mixHash(r.pieceHashes[0] ^ hash); hash != 0 && w > highest {
			preferred, highest = index, w
		}
	}
	return preferred
}

// mixHash scrambles the bits of x. It is the 64-bit finalizer of MurmurHash3.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// copyCost returns the seconds that other requests lose by another copy of the
// missing pieces: the copy takes cache space from other prefixes. A copy at the
// preferred endpoint is wanted and costs nothing.
func (r *Router) copyCost(q *Query, index, preferred int) float64 {
	missing := len(q.Pieces) - int(r.cachedPieces[index])
	if index == preferred || missing <= 0 {
		return 0
	}
	return r.config.CopyCost * float64(missing*r.config.PieceTokens) / r.config.PrefillRate
}

// networkDelay returns the round-trip time to e in seconds: 0 within a data centre.
func (r *Router) networkDelay(q *Query, e *endpoint) float64 {
	if q.DataCentre == e.spec.DataCentre {
		return 0
	}
	return 2 * r.config.CrossDataCentreDelay.Seconds()
}
