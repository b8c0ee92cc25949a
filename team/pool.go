package team

import (
	"time"

	"redwingknot/team/teampb"
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
	surge  float64
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
func (p *pool) lend(m *Message, a *teampb.Ask, now time.Time, lease time.Duration) float64 {
	p.expire(now)
	l := p.loans[m.From]
	if l == nil {
		l = &loan{}
		p.loans[m.From] = l
	}
	if m.SentMs <= l.sent {
		return 0 // a copy, or overtaken by a later ask
	}
	l.demand, l.surge = float64(a.Demand), float64(a.Surge)
	share := max(0, min(p.target(l), p.free(m.From, now)))
	l.keepPrior(m.SentMs-int64(a.HeldMs), now)
	l.share, l.sent = share, m.SentMs
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

// target returns the share for a member: first what the members expect to need,
// all cut in proportion if the pool is too small, so that a request has the same
// chance at each of them; then, of what is left, the more that their bursts ask.
func (p *pool) target(l *loan) float64 {
	var wants, extras float64
	for _, o := range p.loans {
		wants += o.want()
		extras += o.extra()
	}
	share := l.want() * portionOf(p.size, wants)
	left := max(0, p.size-wants)
	return share + l.extra()*portionOf(left, extras)
}

// portionOf returns the part of total that size covers.
func portionOf(size, total float64) float64 {
	if total <= size {
		return 1
	}
	return size / total
}

func (l *loan) want() float64 { return l.demand * headroom }

// extra is what a burst needs above the expected arrivals.
func (l *loan) extra() float64 { return max(0, l.surge-l.want()) }
