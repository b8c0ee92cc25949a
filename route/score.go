package route

import (
	"math"
	"time"

	"redwingknot/note"
)

// scoreAll scores without bringing back and returns the best rank.
func (r *Router) scoreAll(q *Query, home int, now time.Time) float64 {
	best := math.Inf(1)
	for i := range r.scores {
		s := &r.scores[i]
		e := r.endpoints[s.slot]
		s.verdict = e.verdict(q, &r.config, now)
		if s.verdict != NearBest {
			continue
		}
		r.score(s, q, e, now)
		s.rank = s.total + s.hint + r.copyPrice(q, s.slot, home)
		best = min(best, s.rank)
	}
	return best
}

func (r *Router) score(s *score, q *Query, e *endpoint, now time.Time) {
	if r.config.Kind == note.KindPlain {
		r.scorePlain(s, q, e, now)
		return
	}
	tokens := float64(q.PromptTokens - int(r.cached[s.slot])*r.config.PieceTokens)
	s.prefill = max(tokens, 1) / r.config.PrefillRate
	s.slow = e.slowness(now)
	wait, hint := r.wait(e, now)
	s.queue = wait * s.slow
	s.hint = hint * s.slow
	s.total = s.queue + s.prefill*r.calibration*s.slow + r.network(q, e) + e.overdue(now)
}

// wait returns the seconds that a prompt is expected to queue at e. The report
// counts by its freshness; the rest is what this router's own requests waited
// of late anywhere, plus how far its load here is from its mean. The hint is
// what other routers, which share the prefixes' homes, are likely to add to
// that: it orders endpoints but is too rough to refuse a request by.
func (r *Router) wait(e *endpoint, now time.Time) (wait, hint float64) {
	told := e.queuedTokens() / r.config.PrefillRate * r.calibration
	if slots := e.spec.Slots; slots > 0 {
		over := float64(e.outstanding() + 1 - slots)
		told = max(told, over*r.hold/float64(slots))
	}
	if !r.recent.fresh(now) {
		return told, 0
	}
	local := freshness(now.Sub(e.recent.at), r.config.ReportHalfWeightAge)
	usual := local*e.recent.expected(now) + (1-local)*r.recent.expected(now)
	own := e.pendingTokens / r.config.PrefillRate
	apart := own - r.pending/float64(len(r.byName))
	old := 1 - freshness(now.Sub(e.report.At), r.config.ReportHalfWeightAge)
	wait = (1-old)*told + old*max(usual+apart, own)
	return wait, old * (r.config.OwnLoadWeight - 1) * apart
}

// scorePlain scores by outstanding requests: plain endpoints report no load.
func (r *Router) scorePlain(s *score, q *Query, e *endpoint, now time.Time) {
	s.prefill = 0
	s.queue = float64(len(e.inFlight)) * r.hold / float64(max(e.spec.Slots, 1))
	s.slow = e.slowness(now)
	s.total = (s.queue+r.hold)*s.slow + r.network(q, e) + e.overdue(now)
}

// home returns the slot with the highest rendezvous weight for the prefix that
// was looked up, -1 without one. Routers that don't yet know of each other's
// copies agree on it.
func (r *Router) home() int {
	home, highest := -1, uint64(0)
	if len(r.blocks) == 0 {
		return home
	}
	for slot, hash := range r.homes {
		if w := mix(r.blocks[0] ^ hash); hash != 0 && w > highest {
			home, highest = slot, w
		}
	}
	return home
}

// mix is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// copyPrice is what a further copy of the missing pieces costs others: it takes
// cache from other prefixes. A copy at home is wanted and free.
func (r *Router) copyPrice(q *Query, slot, home int) float64 {
	missing := len(q.Pieces) - int(r.cached[slot])
	if slot == home || missing <= 0 {
		return 0
	}
	return r.config.CopyCost * float64(missing*r.config.PieceTokens) / r.config.PrefillRate
}

func (r *Router) network(q *Query, e *endpoint) float64 {
	if q.DataCentre == e.spec.DataCentre {
		return 0
	}
	return 2 * r.config.CrossDataCentreDelay.Seconds()
}
