package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingknot/queue"
)

// Endpoint is an incarnation of an endpoint whose slots are granted.
type Endpoint struct {
	ID         uint64 // hash of the incarnation
	Slots      int
	DataCentre string
	Ungranted  int // requests there that hold no grant of this coordinator, as far as known
}

// Request is a request for a slot. Times are durations, because the clocks of instances differ.
type Request struct {
	Rank       int           // 0 is the most urgent
	Team       uint64        // hash of the team, 0 for public routes
	Age        time.Duration // since the caller's request arrived
	Left       time.Duration // until its deadline
	TargetLeft time.Duration // until its objective
	Excluded   []uint64      // incarnations of endpoints that must not be used
}

// Outcome says how a grant ended.
type Outcome uint8

// The outcomes of grants.
const (
	Done     Outcome = iota // the request was answered, or its caller left
	Rejected                // the endpoint had no slot and did not run the request
	Failed                  // the endpoint could not be reached, or its response was lost
	Unused                  // the request was not sent
)

// AnswerKind is the kind of an Answer.
type AnswerKind uint8

// The kinds of answers. A request gets at most one Waiting, and then one of the others.
const (
	Waiting  AnswerKind = iota // the request waits for a slot
	Granted                    // it has a slot of Endpoint
	Refused                    // it gets none in its time; its caller should come back after Delay
	Declined                   // its instance is to choose an endpoint itself
)

// Answer is an answer to a request of a holder.
type Answer struct {
	Kind     AnswerKind
	Holder   uint64
	Number   uint64
	Endpoint uint64
	Delay    time.Duration
}

const (
	// maxCallsPerSecond bounds the processor time of a coordinator: both ends of a call over TCP
	// take some 110 us together, so that 1,000 calls take less than 11% of a core. Instances choose
	// for themselves beyond it.
	maxCallsPerSecond = 1000
	// maxWaiting bounds the memory and the time of a decision, which looks at all requests that
	// wait.
	maxWaiting = 1024
	// maxExcluded bounds the endpoints that one request excludes.
	maxExcluded = 64
	// maxTime bounds the times that an instance states. No route's timeout is near it.
	maxTime = 10 * time.Minute
	// fullTime is how long an endpoint counts as full that rejected a request and runs none
	// that holds a grant. The reports that show what runs there come within this time.
	fullTime = 100 * time.Millisecond
	// failedTime is how long an endpoint that failed is chosen last. Without it, one that
	// refuses connections would have free slots always and attract all requests.
	failedTime = 500 * time.Millisecond
	// silentTime is how long a holder of grants may be silent. Holders send something each
	// pingInterval.
	silentTime = 1500 * time.Millisecond
	// maxOverlap bounds the grants for each slot. Endpoints queue a few requests.
	maxOverlap = 1.5
	// rejectedQueueing and acceptedQueueing change the part of overlap that is used: with one
	// rejection in a hundred requests it stays.
	rejectedQueueing = 0.5
	acceptedQueueing = 0.005
	// holdWeight is the weight of a call in the moving average of the times that grants are
	// held.
	holdWeight = 0.05
)

// Coordinator grants the slots of a group of endpoints. It does no I/O; callers pass in the
// time, and take the answers that result. It is not safe for concurrent use.
//
// Invariant: an endpoint has no more grants than it had slots, times overlap, less the requests
// without a grant, when the latest of them was given.
//
// Load pattern: many instances, each with a few requests a second, before an endpoint set
// that is nearly busy. Calls are shorter than reports between instances are old, so that
// instances that choose for themselves meet at the same endpoints, and are rejected while other
// endpoints are idle.
type Coordinator struct {
	random   func() float64
	slots    []*slotState
	byID     map[uint64]*slotState
	waiting  *queue.Queue[*waiter]
	tickets  map[key]*queue.Ticket[*waiter]
	grants   map[key]*grant
	holders  map[uint64]*holder
	drain    queue.Drain
	hold     time.Duration // moving average of the time that a grant is held, 0 before the first
	queueing float64       // part of the grants beyond the slots that endpoints take, from 0 to 1
	took     time.Duration // moving average of the part of it that the endpoint takes, 0 before the first
	answers  []Answer

	second time.Time // start of the second in which calls are counted
	calls  int       // since then
	counts Counts
}

// Counts are numbers of events since a Coordinator began.
type Counts struct {
	Granted, Refused, Declined int
	Rejected                   int // grants whose requests the endpoint rejected
	Lapsed                     int // grants that ended without a release
	Invalid                    int // messages that made no sense
}

// key identifies a request.
type key struct{ holder, number uint64 }

// holder is an instance whose requests get slots.
type holder struct {
	dataCentre string
	heardAt    time.Time
}

// slotState is the state of an endpoint.
type slotState struct {
	Endpoint
	granted     int
	listed      bool
	full        bool      // it rejected a request, and none of its grants has ended since
	fullUntil   time.Time // when full ends at the latest, zero for no such time
	failedUntil time.Time
	turn        int // value of Counts.Granted when it last got a request
}

// waiter is a request that waits.
type waiter struct {
	key
	dataCentre string
	excluded   []uint64
	lapses     time.Time // its deadline
}

// grant is a slot in use.
type grant struct {
	slots *slotState
	since time.Time
	until time.Time
}

// NewCoordinator returns a Coordinator without endpoints. random returns numbers that are
// uniform in [0, 1).
func NewCoordinator(random func() float64) *Coordinator {
	return &Coordinator{
		random: random, queueing: 1, byID: map[uint64]*slotState{}, waiting: queue.New[*waiter](),
		tickets: map[key]*queue.Ticket[*waiter]{}, grants: map[key]*grant{}, holders: map[uint64]*holder{},
	}
}

// Answers returns the answers since the last call. They are valid until the next call of any
// method.
func (c *Coordinator) Answers() []Answer {
	answers := c.answers
	c.answers = c.answers[:0]
	return answers
}

// Counts returns the counts.
func (c *Coordinator) Counts() Counts { return c.counts }

// InUse returns the number of requests that wait, and of those that hold a grant.
func (c *Coordinator) InUse() (waiting, granted int) { return c.waiting.Len(), len(c.grants) }

// SetEndpoints sets the endpoints and what is known of the requests there that hold no
// grant. Endpoints that are no longer listed get no new requests.
func (c *Coordinator) SetEndpoints(list []Endpoint, now time.Time) {
	for _, s := range c.slots {
		s.listed = false
	}
	for _, e := range list {
		s := c.byID[e.ID]
		if s == nil {
			s = &slotState{}
			c.byID[e.ID] = s
			c.slots = append(c.slots, s)
		}
		s.Endpoint, s.listed = e, true
		s.Ungranted = max(e.Ungranted, 0)
	}
	c.slots = slices.DeleteFunc(c.slots, func(s *slotState) bool {
		gone := !s.listed && s.granted == 0
		if gone {
			delete(c.byID, s.ID)
		}
		return gone
	})
	c.assign(now)
}

// Join adds a holder.
func (c *Coordinator) Join(id uint64, dataCentre string, now time.Time) {
	c.holders[id] = &holder{dataCentre: dataCentre, heardAt: now}
}

// Leave removes a holder: its grants end, and its requests wait no more. It returns how many
// grants ended.
func (c *Coordinator) Leave(id uint64, now time.Time) int {
	delete(c.holders, id)
	return c.endLapsed(now)
}

// endLapsed ends the grants whose requests' deadlines have passed, and the grants and waits of
// holders that have left or are silent. It returns how many grants ended.
func (c *Coordinator) endLapsed(now time.Time) int {
	for k, t := range c.tickets {
		if c.isLost(k.holder, now) {
			c.waiting.Remove(t)
			delete(c.tickets, k)
			c.answer(Answer{Kind: Declined, Holder: k.holder, Number: k.number})
		}
	}
	ended := 0
	for k, g := range c.grants {
		if now.After(g.until) || c.isLost(k.holder, now) {
			c.end(k)
			ended++
		}
	}
	c.counts.Lapsed += ended
	c.assign(now)
	return ended
}

// isLost reports whether a holder has left or is silent.
func (c *Coordinator) isLost(id uint64, now time.Time) bool {
	h := c.holders[id]
	return h == nil || now.Sub(h.heardAt) > silentTime
}

// DeclineWaiting declines all requests that wait.
func (c *Coordinator) DeclineWaiting() {
	for k, t := range c.tickets {
		c.waiting.Remove(t)
		delete(c.tickets, k)
		c.answer(Answer{Kind: Declined, Holder: k.holder, Number: k.number})
	}
}

// Hear records that a holder has sent something.
func (c *Coordinator) Hear(id uint64, now time.Time) {
	if h := c.holders[id]; h != nil {
		h.heardAt = now
	}
}

// Acquire asks for a slot.
func (c *Coordinator) Acquire(id, number uint64, r Request, now time.Time) {
	k := key{id, number}
	h := c.holders[id]
	if h == nil || c.tickets[k] != nil || c.grants[k] != nil {
		c.counts.Invalid++
		return
	}
	if r.Rank < 0 || r.Left <= 0 || r.Left > maxTime || r.Age < 0 || r.Age > maxTime || len(r.Excluded) > maxExcluded {
		c.counts.Invalid++
		c.answer(Answer{Kind: Declined, Holder: id, Number: number})
		return
	}
	if !c.takesCall(now) || !c.anyUsable(r.Excluded) || c.waiting.Len() >= maxWaiting {
		c.answer(Answer{Kind: Declined, Holder: id, Number: number})
		return
	}
	request := c.queueRequest(r, now)
	ticket := c.waiting.Push(request, &waiter{key: k, dataCentre: h.dataCentre, excluded: r.Excluded, lapses: now.Add(r.Left)})
	c.tickets[k] = ticket
	c.assign(now)
	if c.tickets[k] == nil {
		return
	}
	wait := c.expectedWait(c.waiting.Ahead(request, now)) // the request itself included
	if now.Add(wait).After(request.Deadline) {
		c.refuse(ticket, wait)
		return
	}
	c.answer(Answer{Kind: Waiting, Holder: id, Number: number})
}

// queueRequest returns the request as the queue orders it: room must be found early enough
// for the call itself.
func (c *Coordinator) queueRequest(r Request, now time.Time) queue.Request {
	return queue.Request{
		Rank: r.Rank, Team: r.Team, Arrived: now.Add(-r.Age), Target: now.Add(min(r.TargetLeft, maxTime) - c.hold),
		Deadline: now.Add(r.Left - c.hold), Cost: 1,
	}
}

// takesCall counts a call and reports whether it is within maxCallsPerSecond.
func (c *Coordinator) takesCall(now time.Time) bool {
	if since := now.Sub(c.second); since >= time.Second || since < 0 {
		c.second, c.calls = now, 0
	}
	c.calls++
	return c.calls <= maxCallsPerSecond
}

// anyUsable reports whether a listed endpoint is not excluded.
func (c *Coordinator) anyUsable(excluded []uint64) bool {
	for _, s := range c.slots {
		if s.listed && !slices.Contains(excluded, s.ID) {
			return true
		}
	}
	return false
}

// expectedWait returns how long it takes until n requests have got slots: at the rate at which
// they did of late, or the rate that the slots allow, whichever is higher. 0 stands for unknown.
func (c *Coordinator) expectedWait(n float64) time.Duration {
	rate := c.drain.PerSecond()
	if c.hold > 0 {
		usable := 0
		for _, s := range c.slots {
			if s.listed {
				usable += max(s.Slots-s.Ungranted, 0)
			}
		}
		rate = max(rate, c.overlap()*float64(usable)/c.hold.Seconds())
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(n/rate, maxTime.Seconds()) * float64(time.Second))
}

// refuse refuses a request whose backlog takes the given time.
func (c *Coordinator) refuse(t *queue.Ticket[*waiter], backlog time.Duration) {
	c.waiting.Remove(t)
	delete(c.tickets, t.Value.key)
	c.answer(Answer{Kind: Refused, Holder: t.Value.holder, Number: t.Value.number, Delay: queue.RetryAfter(backlog, c.random())})
}

// answer adds an answer.
func (c *Coordinator) answer(a Answer) {
	switch a.Kind {
	case Granted:
		c.counts.Granted++
	case Refused:
		c.counts.Refused++
	case Declined:
		c.counts.Declined++
	}
	c.answers = append(c.answers, a)
}

// Release ends a grant. took is the time from the sending of the request to the end of its
// response, 0 if it is not known.
func (c *Coordinator) Release(id, number uint64, outcome Outcome, took time.Duration, now time.Time) {
	k := key{id, number}
	g := c.grants[k]
	if g == nil {
		c.counts.Invalid++ // or the grant has lapsed
		return
	}
	c.end(k)
	switch outcome {
	case Done:
		c.observeHold(now.Sub(g.since), took)
		c.observeQueueing(false)
	case Rejected:
		c.observeQueueing(true)
		c.counts.Rejected++
		g.slots.full, g.slots.fullUntil = true, time.Time{}
		if g.slots.granted == 0 {
			g.slots.fullUntil = now.Add(fullTime)
		}
	case Failed:
		g.slots.failedUntil = now.Add(failedTime)
	}
	c.assign(now)
}

// observeHold records how long the grant of a request that was answered was held, and how long
// the endpoint took of that, 0 if that is not known.
func (c *Coordinator) observeHold(held, took time.Duration) {
	if c.hold == 0 {
		c.hold = held
	}
	c.hold += time.Duration(holdWeight * float64(held-c.hold))
	if took <= 0 || took > held {
		return
	}
	if c.took == 0 {
		c.took = took
	}
	c.took += time.Duration(holdWeight * float64(took-c.took))
}

// overlap returns the number of grants for each slot of an endpoint: while grants, requests
// and releases are on their way, the slot would be idle.
func (c *Coordinator) overlap() float64 {
	if c.took == 0 {
		return 1
	}
	ratio := min(max(float64(c.hold)/float64(c.took), 1), maxOverlap)
	return 1 + (ratio-1)*c.queueing
}

// observeQueueing records whether an endpoint took a request or rejected it: those that queue
// none get no more grants than they have slots.
func (c *Coordinator) observeQueueing(rejected bool) {
	if rejected {
		c.queueing *= rejectedQueueing
		return
	}
	c.queueing = min(c.queueing+acceptedQueueing, 1)
}

// Cancel removes a request that needs no slot any more, and ends its grant if it has one.
func (c *Coordinator) Cancel(id, number uint64, now time.Time) {
	k := key{id, number}
	if t := c.tickets[k]; t != nil {
		c.waiting.Remove(t)
		delete(c.tickets, k)
		return
	}
	if c.grants[k] != nil {
		c.end(k)
		c.assign(now)
	}
}

// end ends a grant.
func (c *Coordinator) end(k key) {
	s := c.grants[k].slots
	delete(c.grants, k)
	s.granted--
	s.full = false
}

// Tick ends what has outlived its time: grants that have lapsed, and the waits of requests that
// can't be answered any more.
func (c *Coordinator) Tick(now time.Time) {
	for _, t := range c.waiting.Expired(now) {
		c.refuse(t, c.expectedWait(float64(c.waiting.Len())))
	}
	c.drain.Record(0, now)
	c.endLapsed(now)
}

// assign gives free slots to waiting requests.
func (c *Coordinator) assign(now time.Time) {
	for c.waiting.Len() > 0 && c.hasRoom(now) {
		t := c.waiting.NextOf(now, func(t *queue.Ticket[*waiter]) bool {
			return len(t.Value.excluded) == 0 || c.choose(t.Value, now) != nil
		})
		if t == nil {
			return
		}
		c.give(t, c.choose(t.Value, now), now)
	}
}

// give gives a slot to a waiting request.
func (c *Coordinator) give(t *queue.Ticket[*waiter], s *slotState, now time.Time) {
	w := t.Value
	c.waiting.Take(t)
	delete(c.tickets, w.key)
	s.granted++
	c.grants[w.key] = &grant{slots: s, since: now, until: w.lapses}
	c.drain.Record(1, now)
	c.answer(Answer{Kind: Granted, Holder: w.holder, Number: w.number, Endpoint: s.ID})
	s.turn = c.counts.Granted
}

// hasRoom reports whether an endpoint has a free slot.
func (c *Coordinator) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(c.slots, func(s *slotState) bool { return s.free(c.overlap(), now) > 0 })
}

// free returns the number of grants that the endpoint may get.
func (s *slotState) free(overlap float64, now time.Time) int {
	if s.full && !s.fullUntil.IsZero() && now.After(s.fullUntil) {
		s.full = false
	}
	if !s.listed || s.full {
		return 0
	}
	return int(math.Round(overlap*float64(s.Slots))) - s.granted - s.Ungranted
}

// choose returns the endpoint for a request, nil if none that it may use has a free slot: one
// that has not just failed, then one in its data centre, then the one with the most free
// slots for its size, then the one whose latest request was the earliest.
func (c *Coordinator) choose(w *waiter, now time.Time) *slotState {
	var best *slotState
	bestRank, bestFree, overlap := 0, 0.0, c.overlap()
	for _, s := range c.slots {
		n := s.free(overlap, now)
		if n <= 0 || slices.Contains(w.excluded, s.ID) {
			continue
		}
		rank := 0
		if !now.Before(s.failedUntil) {
			rank += 2
		}
		if s.DataCentre == w.dataCentre {
			rank++
		}
		free := float64(n) / float64(s.Slots)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(free, bestFree), cmp.Compare(best.turn, s.turn)) > 0 {
			best, bestRank, bestFree = s, rank, free
		}
	}
	return best
}
