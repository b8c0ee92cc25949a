package team

import (
	"time"

	"redwingknot/team/teampb"
)

const (
	// demandHeadroom is the factor by which a wanted share exceeds the demand, so that
	// a team with growing demand is not refused before the next exchange.
	demandHeadroom = 1.25
	// leaseMarginDivisor sets how long a share stays reserved after the end of its
	// lease at the member: the lease time divided by it. The margin allows for clocks
	// that run at different rates.
	leaseMarginDivisor = 10
)

// memberLease is what the home of a team has granted to one member.
type memberLease struct {
	demand        float64   // fraction of the limit that the member expects to need
	surge         float64   // fraction of the limit with which none of its requests in recent bursts would have been refused
	share         float64   // fraction of the limit granted last
	askMs         int64     // time of the ask for which share was granted, in milliseconds since the asker started
	reservedUntil time.Time // end of the lease of share, with margin, by the home's clock
	// priorShare is the largest earlier share that the member may still use until
	// priorUntil, because it has not confirmed a later one.
	priorShare float64
	priorUntil time.Time
}

// reservedShare returns the largest share that the member may be using.
func (l *memberLease) reservedShare(now time.Time) float64 {
	var r float64
	if now.Before(l.reservedUntil) {
		r = l.share
	}
	if now.Before(l.priorUntil) {
		r = max(r, l.priorShare)
	}
	return r
}

// pool is the part of one team's limit that its home grants to members.
//
// Invariant: the sum of reservedShare over all leases is at most size.
type pool struct {
	size   float64                 // fraction of the limit that can be granted
	leases map[string]*memberLease // by member
}

// grantShare returns the share that a member gets for its ask, and reserves it. An
// ask that is not newer than the last one of that member gets 0.
func (p *pool) grantShare(m *Message, ask *teampb.Ask, now time.Time, leaseTime time.Duration) float64 {
	p.removeExpired(now)
	l := p.leases[m.From]
	if l == nil {
		l = &memberLease{}
		p.leases[m.From] = l
	}
	if m.SentMs <= l.askMs {
		return 0 // a duplicate, or an ask that a later one has overtaken
	}
	l.demand, l.surge = float64(ask.Demand), float64(ask.Surge)
	share := max(0, min(p.targetShare(l), p.freeFor(m.From, now)))
	l.updatePrior(m.SentMs-int64(ask.HeldMs), now)
	l.share, l.askMs = share, m.SentMs
	l.reservedUntil = now.Add(leaseTime + leaseTime/leaseMarginDivisor)
	return share
}

// updatePrior records the share that the member may continue to use until it receives
// the grant that is about to be made. heldAskMs is the time of the ask whose grant the
// member uses. If that was the last grant, the share is the last one; otherwise it is
// the largest that the member may be using, because the last grant may not have
// arrived yet.
func (l *memberLease) updatePrior(heldAskMs int64, now time.Time) {
	reserved := l.reservedShare(now)
	if heldAskMs == l.askMs {
		reserved = l.share
	}
	until := l.reservedUntil
	if heldAskMs != l.askMs && l.priorUntil.After(until) {
		until = l.priorUntil
	}
	l.priorShare, l.priorUntil = reserved, until
}

// removeExpired removes the members whose leases have all ended.
func (p *pool) removeExpired(now time.Time) {
	for m, l := range p.leases {
		if !now.Before(l.reservedUntil) && !now.Before(l.priorUntil) {
			delete(p.leases, m)
		}
	}
}

// freeFor returns the fraction of the limit that is not reserved for members other
// than the given one.
func (p *pool) freeFor(member string, now time.Time) float64 {
	free := p.size
	for m, l := range p.leases {
		if m != member {
			free -= l.reservedShare(now)
		}
	}
	return free
}

// targetShare returns the share that a member should get. The members first get what
// they expect to need, all reduced in proportion if the pool is too small, so that a
// request has the same chance of admission at each member. What is left is divided
// in the same way among the members whose bursts need more.
func (p *pool) targetShare(l *memberLease) float64 {
	var wanted, surges float64
	for _, other := range p.leases {
		wanted += other.wantedShare()
		surges += other.surgeShare()
	}
	share := l.wantedShare() * coveredFraction(p.size, wanted)
	left := max(0, p.size-wanted)
	return share + l.surgeShare()*coveredFraction(left, surges)
}

// coveredFraction returns the fraction of total that size covers, at most 1.
func coveredFraction(size, total float64) float64 {
	if total <= size {
		return 1
	}
	return size / total
}

// wantedShare returns the share for the expected arrivals, with headroom.
func (l *memberLease) wantedShare() float64 { return l.demand * demandHeadroom }

// surgeShare returns the share that a burst needs in addition to wantedShare.
func (l *memberLease) surgeShare() float64 { return max(0, l.surge-l.wantedShare()) }
