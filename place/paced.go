package place

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time within which requests are sent that may arrive in the same
	// second: some are delayed by opening a connection or by a detour.
	arrivalWindow = 1.25
	// pacedToleranceShare is the part of the interval between two requests by which a request
	// may be early after a pause. It makes up for demand that comes at random.
	pacedToleranceShare = 0.5
)

// PacedRate is a rate of requests to an endpoint from all instances together that holds in
// each second, not only on average.
type PacedRate struct {
	PerSecond float64
	Most      float64 // requests that may arrive in any one second
}

// capped returns the rate, lowered if a single instance that sends at it could exceed Most.
func (r PacedRate) capped() PacedRate {
	lowest := r.Most / 4
	r.PerSecond = min(r.PerSecond, max((r.Most-1-pacedToleranceShare)/arrivalWindow, lowest))
	return r
}

// holders returns how many of a number of instances share the rate: as many as possible, so
// that their callers' demand suffices, but no more than the requests in a second, and such
// that even if all of them send at the same moments, Most is kept.
func (r PacedRate) holders(instances int) int {
	for n := atMost(instances, r.PerSecond); n > 1; n-- {
		interval := float64(n) / r.PerSecond
		each := math.Floor((arrivalWindow+pacedToleranceShare*interval)/interval) + 1
		if float64(n)*each <= r.Most {
			return n
		}
	}
	return 1
}

// Share returns the share of self in the rate of requests to an endpoint, 0 if it holds none,
// and the part of the interval between its requests after which the first one may be sent.
// endpoint is the hash of the endpoint's incarnation. The shares of all instances that have
// learnt of changes within SettleTime sum to the rate at most.
func (r PacedRate) Share(endpoint uint64, members *Members, self string, now time.Time) (perSecond, phase float64) {
	return r.shareOf(endpoint, members.settled(now), self)
}

// shareOf returns the share of self that follows from each of the given lists.
func (r PacedRate) shareOf(endpoint uint64, views []memberView, self string) (perSecond, phase float64) {
	r = r.capped()
	if len(views) == 0 || r.PerSecond <= 0 {
		return 0, 0
	}
	perSecond = r.PerSecond
	for _, v := range views {
		n := r.holders(len(v.names))
		rank, known := holderRank(endpoint, v.names, self)
		if !known || rank >= n {
			return 0, 0
		}
		perSecond = min(perSecond, r.PerSecond/float64(n))
		phase = float64(rank+1) / float64(n)
	}
	return perSecond, phase
}

// PacedShare is an instance's share of a PacedRate: requests with an interval between them,
// of which none is saved up. It does no I/O; callers pass in the time. It is not safe for
// concurrent use.
type PacedShare struct {
	interval time.Duration // 0 without a share
	next     time.Time     // when the next request is admitted
}

// Set changes the share to perSecond requests a second, 0 if the instance holds none. The
// first request of a new share is admitted after the given part of the interval.
func (p *PacedShare) Set(perSecond, phase float64, now time.Time) {
	if perSecond <= 0 {
		p.interval = 0
		return
	}
	interval := max(Duration(1/perSecond), 1)
	switch first := now.Add(time.Duration(phase * float64(interval))); {
	case p.interval == 0 && first.After(p.next):
		p.next = first
	case interval > p.interval && p.interval > 0:
		p.next = p.next.Add(interval - p.interval)
	}
	p.interval = interval
}

// Admits reports whether a request may be sent now.
func (p *PacedShare) Admits(now time.Time) bool { return p.interval > 0 && !now.Before(p.next) }

// Take records that a request is sent.
func (p *PacedShare) Take(now time.Time) {
	earliest := now.Add(-time.Duration(pacedToleranceShare * float64(p.interval)))
	if p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(p.interval)
}

// PerSecond returns the rate of the share, 0 without one.
func (p *PacedShare) PerSecond() float64 {
	if p.interval == 0 {
		return 0
	}
	return float64(time.Second) / float64(p.interval)
}

// Wait returns the time until the share admits a request. It must not be called without a
// share.
func (p *PacedShare) Wait(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }
