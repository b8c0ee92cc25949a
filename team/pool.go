package team

import (
	"slices"
	"time"
)

const (
	// headroom is what is lent above the demand, so that a growing team is not
	// refused before the next exchange.
	headroom = 1.25
	// leaseMargin is the part of a lease for which a share stays reserved after
	// the borrower has stopped using it; it allows for clocks of unequal rate.
	leaseMargin = 10
)

// loan is what a home has lent to one member.
type loan struct {
	demand float64
	share  float64
	sent   int64 // the ask that share answers, in the asker's milliseconds
	until  time.Time
	// prior is the largest share that the member may still use because it has
	// not confirmed a later one.
	prior      float64
	priorUntil time.Time
}

// reserved returns the largest share that the member may be using.
func (l *loan) reserved(now time.Time) float64 {
	var r float64
	if now.Before(l.until) {
		r = l.share
	}
	if now.Before(l.priorUntil) {
		r = max(r, l.prior)
	}
	return r
}

// pool is the part of one team's limit that its home lends out.
//
// Invariant: the sum of reserved over all loans is at most size.
type pool struct {
	size  float64
	loans map[string]*loan
}

// lend answers a member's ask with a share.
func (p *pool) lend(member string, demand float64, sent, held int64, now time.Time, lease time.Duration) float64 {
	p.expire(now)
	l := p.loans[member]
	if l == nil {
		l = &loan{}
		p.loans[member] = l
	}
	if sent <= l.sent {
		return 0 // a copy, or overtaken by a later ask
	}
	l.demand = demand
	share := max(0, min(p.target(demand), p.free(member, now)))
	l.keepPrior(held, now)
	l.share, l.sent = share, sent
	l.until = now.Add(lease + lease/leaseMargin)
	return share
}

// keepPrior remembers the share that the member may go on using: if it has not
// confirmed the last grant, an earlier one as well.
func (l *loan) keepPrior(held int64, now time.Time) {
	reserved := l.reserved(now)
	if held == l.sent {
		reserved = l.share
	}
	until := l.until
	if held != l.sent && l.priorUntil.After(until) {
		until = l.priorUntil
	}
	l.prior, l.priorUntil = reserved, until
}

// expire forgets the members whose leases have all ended.
func (p *pool) expire(now time.Time) {
	for m, l := range p.loans {
		if !now.Before(l.until) && !now.Before(l.priorUntil) {
			delete(p.loans, m)
		}
	}
}

// free returns what is not reserved for members other than the given one.
func (p *pool) free(member string, now time.Time) float64 {
	free := p.size
	for m, l := range p.loans {
		if m != member {
			free -= l.reserved(now)
		}
	}
	return free
}

// target returns the max-min fair share for a demand: each member gets what it
// needs as long as the pool lasts, and the others the same share.
func (p *pool) target(demand float64) float64 {
	return min(want(demand), p.level())
}

func want(demand float64) float64 { return demand * headroom }

// level returns the share above which no member gets its whole want.
func (p *pool) level() float64 {
	wants := make([]float64, 0, len(p.loans))
	for _, l := range p.loans {
		wants = append(wants, want(l.demand))
	}
	slices.Sort(wants)
	left := p.size
	for i, w := range wants {
		even := left / float64(len(wants)-i)
		if w > even {
			return even
		}
		left -= w
	}
	return p.size
}
