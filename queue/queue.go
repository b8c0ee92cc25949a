package queue

import (
	"slices"
	"time"
)

// Request describes a waiting request. It is immutable while the request waits.
type Request struct {
	Rank     int       // 0 is the most urgent
	Team     uint64    // hash of the team, 0 for public routes
	Arrived  time.Time // when the caller's request arrived
	Target   time.Time // until when room must be found for the response to have its full value
	Deadline time.Time // until when room must be found for the request to be answered at all
	Cost     float64   // work that it needs, in any unit that is the same for all requests of a queue
}

// Ticket is the place of a request in a Queue.
type Ticket[T any] struct {
	Request
	Value T

	number uint64 // order of Push, which breaks ties
}

// Queue holds waiting requests in the order in which they get room. It is not safe for
// concurrent use.
//
// Load pattern: for seconds, more requests arrive than the endpoints can run. Served in the
// order of arrival, or by chance, all are late, urgent ones too, and a team that sends much
// leaves nothing to the others. So the most urgent rank goes first; within it those that can
// still be in time go before those that are late already; then the team that has got least;
// then the earliest arrival.
//
// Fairness between teams is start-time fair queueing: a team that was idle does not save up
// room, and one that got room goes behind the others by the cost of what it got.
type Queue[T any] struct {
	waiting  []*Ticket[T]
	pushed   uint64
	clock    float64            // start tag of the request that got room last
	finishes map[uint64]float64 // by team: tag at which its latest request that got room ends
}

// maxIdleTeams bounds the memory for teams without waiting requests.
const maxIdleTeams = 1024

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{finishes: map[uint64]float64{}} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Push adds a request and returns its ticket.
func (q *Queue[T]) Push(r Request, value T) *Ticket[T] {
	q.pushed++
	t := &Ticket[T]{Request: r, Value: value, number: q.pushed}
	q.waiting = append(q.waiting, t)
	return t
}

// Remove removes a request that no longer waits. It reports whether the request waited.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next returns the request that gets room first at now, nil if none waits.
func (q *Queue[T]) Next(now time.Time) *Ticket[T] {
	return q.NextOf(now, nil)
}

// NextOf is Next among the requests that fit, all if fits is nil.
func (q *Queue[T]) NextOf(now time.Time, fits func(*Ticket[T]) bool) *Ticket[T] {
	var best *Ticket[T]
	for _, t := range q.waiting {
		if (best == nil || q.before(t, best, now)) && (fits == nil || fits(t)) {
			best = t
		}
	}
	return best
}

// Take removes a request that has got room and counts its cost for its team.
func (q *Queue[T]) Take(t *Ticket[T]) {
	if !q.Remove(t) {
		return
	}
	start := q.start(t.Team)
	q.clock = max(q.clock, start)
	q.finishes[t.Team] = start + t.Cost
	if len(q.finishes) > maxIdleTeams {
		q.forgetIdleTeams()
	}
}

// forgetIdleTeams drops the teams whose tags no longer matter.
func (q *Queue[T]) forgetIdleTeams() {
	for team, finish := range q.finishes {
		if finish <= q.clock {
			delete(q.finishes, team)
		}
	}
}

// Ahead returns the cost of the waiting requests that get room before r would if it began to
// wait at now.
func (q *Queue[T]) Ahead(r Request, now time.Time) float64 {
	newcomer := &Ticket[T]{Request: r, number: q.pushed + 1}
	cost := 0.0
	for _, t := range q.waiting {
		if q.before(t, newcomer, now) {
			cost += t.Cost
		}
	}
	return cost
}

// AheadOf returns the cost of the waiting requests that get room before t, which waits too.
func (q *Queue[T]) AheadOf(t *Ticket[T], now time.Time) float64 {
	cost := 0.0
	for _, other := range q.waiting {
		if other != t && q.before(other, t, now) {
			cost += other.Cost
		}
	}
	return cost
}

// GiveBack takes back what Take counted for the request's team: it did not run after all.
func (q *Queue[T]) GiveBack(r Request) {
	if finish, ok := q.finishes[r.Team]; ok {
		q.finishes[r.Team] = finish - r.Cost
	}
}

// Each calls f for each waiting request, in no particular order.
func (q *Queue[T]) Each(f func(*Ticket[T])) {
	for _, t := range q.waiting {
		f(t)
	}
}

// Expired removes and returns the requests whose deadline has passed at now.
func (q *Queue[T]) Expired(now time.Time) []*Ticket[T] {
	var expired []*Ticket[T]
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket[T]) bool {
		late := now.After(t.Deadline)
		if late {
			expired = append(expired, t)
		}
		return late
	})
	return expired
}

// start returns the tag at which the next request of a team starts.
func (q *Queue[T]) start(team uint64) float64 { return max(q.clock, q.finishes[team]) }

// before reports whether a gets room before b at now.
func (q *Queue[T]) before(a, b *Ticket[T], now time.Time) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if aLate, bLate := now.After(a.Target), now.After(b.Target); aLate != bLate {
		return bLate
	}
	if aStart, bStart := q.start(a.Team), q.start(b.Team); aStart != bStart {
		return aStart < bStart
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.number < b.number
}
