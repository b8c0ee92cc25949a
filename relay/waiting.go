package relay

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/place"
	"redwingknot/queue"
)

// wakeCause is why a waiting request decides again. It is a label of the metric that counts
// decisions.
type wakeCause string

const (
	causeArrival    wakeCause = "arrival"     // the request has just come, or come back from an endpoint
	causeRelease    wakeCause = "release"     // an attempt of this instance has ended
	causeFirstEvent wakeCause = "first-event" // a prompt of this instance has been prefilled
	causeReport     wakeCause = "report"      // another instance has reported
	causeView       wakeCause = "view"        // the known endpoints have changed, or one is in reach again
	causeTurn       wakeCause = "turn"        // a request ahead has got room, has left or can't go anywhere
	causeDue        wakeCause = "due"         // the time has come at which room was expected, or the wait ends
	causeFallback   wakeCause = "fallback"    // none of these for waitFallback
)

const (
	// maxEndpointWait is the longest time that a request waits for room if it can't be
	// estimated when that comes, over all its attempts. Loading weights and reopening
	// connections take less, and a caller that is refused after this time still has time to
	// retry.
	maxEndpointWait = 700 * time.Millisecond
	// waitFallback is the time after which a waiting request decides again without a wake-up.
	waitFallback = 200 * time.Millisecond
	// reportWakeInterval is the shortest time between wake-ups by reports. An instance gets
	// some 80 of them a second, and one with 0.192 of a core has no time for a decision at
	// each.
	reportWakeInterval = 20 * time.Millisecond
	// minDue is the shortest time until a request decides again because room was expected then:
	// the estimate may say so again and again.
	minDue = 10 * time.Millisecond
	// minRest and maxRest bound how long a request rests that a second endpoint, and further
	// ones, have rejected. minRest is the shortest time in which a slot may become free that
	// this instance does not know of.
	minRest = 10 * time.Millisecond
	maxRest = 320 * time.Millisecond
	// unknownWait is a wait whose end is not known.
	unknownWait = time.Nanosecond
	// maxClassesAhead is the number of classes ahead of a request for which it is found out
	// which endpoints they need. With more, the request waits for its turn.
	maxClassesAhead = 8
	// waitBaseCost is the cost of a request without a prompt in the units of a queue. With
	// prompts, it stands for the first step of an engine, about 10 ms.
	waitBaseCost = 1000
)

// waitQueue holds the requests of one service that wait for room at this instance, in the order
// of package queue. It is guarded by the mutex of Endpoints.
//
// Load pattern: for seconds, more prompts arrive than the engines admit. If each request
// decides anew every 20 ms, the first to poll gets the room, however urgent others are, and
// the decisions use up the instance's processor.
//
// Invariants: a request decides only if none of its class is ahead of it, and then uses no
// endpoint that a class ahead of it could use. So a request that no endpoint can take holds up
// only its own class. Whoever leaves the queue wakes the next.
//
// These events wake the first request of the queue: the end of an attempt (release), the first
// data of a response (recordFirstData), a report of another instance (RecordBacklogs), a
// limit or a list of instances that changes, a changed view (viewChanged), an endpoint that is
// in reach again (probe, recordDetour). If it gets no room, the first of another class is
// woken; if it does, the next. Times at which something becomes possible (the end of a pause,
// a share of a limit, a backlog that shrinks) wake the request that has found them itself, or
// by it the first of its class.
type waitQueue struct {
	queue      *queue.Queue[*waiter]
	drain      queue.Drain // of requests that got room while others waited
	failed     []waitClass // classes that got no room since the latest event
	reportWake time.Time   // when a report last woke a request
	loggedAt   time.Time   // when it was last logged that requests wait

	urgent []urgentWait // by rank: requests that had to wait
	// credit is the cost of this instance's requests that have ended, which less urgent ones
	// may use while more urgent ones wait at other instances; see mayShare.
	credit     float64
	admittedAt time.Time // when a request last got room
}

func newWaitQueue() *waitQueue { return &waitQueue{queue: queue.New[*waiter]()} }

// waiter is a request that waits. It is guarded by the mutex of Endpoints but for wake, which
// the request's own goroutine receives from.
type waiter struct {
	query  *placementQuery
	ticket *queue.Ticket[*waiter]
	class  waitClass
	wake   chan wakeCause // holds one cause
	since  time.Time      // when the request first waited
	// decidedAt is when the request last decided, zero if it has not since it joined the queue.
	decidedAt time.Time
}

// waitClass identifies requests that the same endpoints may run, but for their room.
type waitClass struct {
	model    string
	software origin.Version
	excluded uint64 // hash of the endpoints that the request may not use, 0 for none
}

// classOf returns the class of q.
func classOf(q *placementQuery) waitClass {
	c := waitClass{software: q.software}
	if q.prompt != nil {
		c.model = q.prompt.Model
	}
	for _, k := range q.excluded {
		c.excluded += incarnationHash(k)
	}
	if len(q.mayHaveRun) >= q.maxAttempts {
		c.excluded = ^c.excluded
		for _, k := range q.mayHaveRun {
			c.excluded += incarnationHash(k)
		}
	}
	return c
}

// isOverdue reports whether a waiting request has waited longer than requests wait without an
// estimate. It goes on waiting only as long as it takes nothing from those within their
// objective.
func (w *waiter) isOverdue(now time.Time) bool {
	return now.Sub(w.since) > maxEndpointWait && now.After(w.ticket.Target)
}

// isResting reports whether the request may not be sent yet because endpoints have rejected
// it.
func (w *waiter) isResting(now time.Time) bool { return now.Before(w.query.notBefore) }

// urgentWait is the objective of the requests of a rank, and when one of them last had to wait.
type urgentWait struct {
	target   time.Duration
	waitedAt time.Time
}

// urgentTime is how long less urgent requests leave room at the engines after a more urgent
// one had to wait. It is about the period with which demand varies.
const urgentTime = 10 * time.Second

// maxUrgentRanks is the number of ranks for which less urgent ones leave room.
const maxUrgentRanks = 32

// recordUrgent records that a request of a rank has to wait.
func (l *waitQueue) recordUrgent(rank int, target time.Duration, now time.Time) {
	if rank >= maxUrgentRanks {
		return
	}
	for len(l.urgent) <= rank {
		l.urgent = append(l.urgent, urgentWait{})
	}
	l.urgent[rank] = urgentWait{target, now}
}

// admissionTarget returns the objective by which a prompt of a rank is admitted to engines: the
// shortest of its own and those of more urgent requests that had to wait lately.
//
// Load pattern: a burst of large prompts with an objective of 1.2 s fills each engine with as
// much as it prefills in 0.6 s. Urgent prompts with an objective of 0.25 s that come then are
// all late, however few they are.
func (l *waitQueue) admissionTarget(rank int, target time.Duration, now time.Time) time.Duration {
	for _, u := range l.urgent[:min(rank, len(l.urgent))] {
		if u.target > 0 && now.Sub(u.waitedAt) < urgentTime {
			target = min(target, u.target)
		}
	}
	return target
}

// next returns the request that gets room first among those whose class is not skipped, nil
// if there is none. Overdue requests go behind all others while one of these can be in time.
func (l *waitQueue) next(now time.Time, skipped []waitClass) *waiter {
	inTime := false
	fits := func(t *queue.Ticket[*waiter]) bool {
		return !t.Value.isResting(now) && !slices.Contains(skipped, t.Value.class)
	}
	l.queue.Each(func(t *queue.Ticket[*waiter]) { inTime = inTime || !now.After(t.Target) && fits(t) })
	t := l.queue.NextOf(now, func(t *queue.Ticket[*waiter]) bool { return fits(t) && !(inTime && t.Value.isOverdue(now)) })
	if t == nil {
		return nil
	}
	return t.Value
}

// wakeNext wakes the first request whose class has not failed since the latest event.
func (l *waitQueue) wakeNext(now time.Time, cause wakeCause) {
	if w := l.next(now, l.failed); w != nil {
		select {
		case w.wake <- cause:
		default: // it has yet to decide
		}
	}
}

// wakeQueue wakes the first request that waits for a service's endpoints, because of an event
// after which there may be room. The caller holds mu.
func (e *Endpoints) wakeQueue(service *serviceState, cause wakeCause) {
	l := service.waitQueue
	if l == nil || l.queue.Len() == 0 {
		return
	}
	l.failed = l.failed[:0]
	l.wakeNext(e.now(), cause)
}

// wakeAllQueues is wakeQueue for all services. The caller holds mu.
func (e *Endpoints) wakeAllQueues(cause wakeCause) {
	if e.waiting.Load() == 0 {
		return
	}
	now := e.now()
	for _, s := range e.services {
		if s.waitQueue == nil || s.waitQueue.queue.Len() == 0 {
			continue
		}
		if cause == causeReport {
			if now.Sub(s.waitQueue.reportWake) < reportWakeInterval {
				continue
			}
			s.waitQueue.reportWake = now
		}
		e.wakeQueue(s, cause)
	}
}

// viewChanged wakes the requests for which a changed view may have brought room.
func (e *Endpoints) viewChanged() {
	if e.waiting.Load() == 0 {
		return
	}
	go func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.syncView()
	}()
}

// decide chooses an endpoint for the request of c if it is its turn. If there is none, the
// request waits from then on, until endWaits. Nothing else of c than its query is changed.
func (e *Endpoints) decide(c *callerRequest, cause wakeCause) *pick {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncView()
	q, now := c.query, e.now()
	if q.waiter != nil {
		select {
		case cause = <-q.waiter.wake: // this decision is for that cause, too
		default:
		}
	}
	service := e.service(q.service)
	l := service.waitQueue
	if l == nil {
		l = newWaitQueue()
		service.waitQueue = l
	}
	if q.waiter == nil && (l.queue.Len() > 0 || now.Before(q.notBefore)) {
		e.join(c, l, now)
	}
	p, decided := e.chooseInTurn(c, l, now)
	if !decided && !q.heldByShare {
		l.passOn(q.waiter, cause, now)
	}
	if decided && q.waiter != nil {
		q.waiter.decidedAt = now
		metric.Counter("wait_decisions_total", "service", q.service, "cause", string(cause)).Inc(1)
	}
	if p == nil {
		if q.waiter == nil {
			e.join(c, l, now)
		}
		e.noteFailure(c, l, decided, now)
		return nil
	}
	e.recordRoom(c, l, p, cause, now)
	return p
}

// chooseInTurn chooses an endpoint for the request of c if it is its turn, and reports whether
// it was. It adds the request to the load of the endpoint. The caller holds mu.
func (e *Endpoints) chooseInTurn(c *callerRequest, l *waitQueue, now time.Time) (p *pick, decided bool) {
	p, decided = e.selectInTurn(c, l, now)
	if p != nil {
		e.reserve(c.query, p)
	}
	return p, decided
}

// selectInTurn is chooseInTurn without adding the request to the load of the endpoint. The caller
// holds mu.
func (e *Endpoints) selectInTurn(c *callerRequest, l *waitQueue, now time.Time) (p *pick, decided bool) {
	q := c.query
	q.ahead, q.heldByShare = nil, false
	if q.waiter != nil {
		ahead, ok := l.turn(q.waiter, now)
		if !ok {
			return nil, false
		}
		q.ahead = e.endpointsOf(ahead, now)
	}
	target := q.target
	q.target = l.admissionTarget(c.priority(), target, now)
	defer func() { q.target = target }()
	if !e.mayShare(c, l, now) {
		q.heldByShare = true
		return nil, false
	}
	return e.selectLocked(q), true
}

// passOn wakes the first request of the class of w, whose own time has come although it is not
// its turn: the order changes as requests become late. A request that has decided lately is
// left alone.
func (l *waitQueue) passOn(w *waiter, cause wakeCause, now time.Time) {
	interval := minDue
	switch {
	case w.isResting(now):
		return
	case cause == causeFallback:
		interval = waitFallback
	case cause != causeDue:
		return
	}
	t := l.queue.NextOf(now, func(t *queue.Ticket[*waiter]) bool { return t.Value.class == w.class && !t.Value.isResting(now) })
	if t == nil || now.Sub(t.Value.decidedAt) < interval {
		return
	}
	select {
	case t.Value.wake <- cause:
	default: // it has yet to decide
	}
}

// turn reports whether a request may decide: no request of its class is ahead of it. It
// returns the first request of each class ahead.
func (l *waitQueue) turn(w *waiter, now time.Time) (ahead []*waiter, ok bool) {
	if w.isResting(now) {
		return nil, false
	}
	var classes []waitClass
	for len(ahead) <= maxClassesAhead {
		first := l.next(now, classes)
		switch {
		case first == w:
			return ahead, true
		case first == nil || first.class == w.class:
			return nil, false
		}
		ahead, classes = append(ahead, first), append(classes, first.class)
	}
	return nil, false
}

// endpointsOf returns the endpoints that waiting requests could use but for their room. The
// caller holds mu.
func (e *Endpoints) endpointsOf(waiters []*waiter, now time.Time) map[*endpoint]bool {
	if len(waiters) == 0 {
		return nil
	}
	s, list := e.syncView(), map[*endpoint]bool{}
	for _, w := range waiters {
		held := w.query.ahead
		w.query.ahead = nil
		for _, ep := range e.eligible(s, w.query, now) {
			list[ep] = true
		}
		w.query.ahead = held
	}
	return list
}

// join adds the request of c to a wait queue. The caller holds mu.
func (e *Endpoints) join(c *callerRequest, l *waitQueue, now time.Time) {
	q := c.query
	if l.queue.Len() == 0 {
		l.drain.Resume(now)
	}
	if q.took != nil {
		l.queue.GiveBack(*q.took)
		q.took = nil
	}
	if q.waitingSince.IsZero() {
		q.waitingSince = now
	}
	w := e.newWaiter(c, l, now)
	l.recordUrgent(w.ticket.Rank, q.target, now)
	e.waiting.Add(1)
	if now.Sub(l.loggedAt) > waitLogInterval {
		event.RequestsWait.Log(e.log, slog.String("service", q.service), slog.Int("rank", w.ticket.Rank))
	}
	l.loggedAt = now
}

// newWaiter puts the request of c into a wait queue. The caller holds mu.
func (e *Endpoints) newWaiter(c *callerRequest, l *waitQueue, now time.Time) *waiter {
	q := c.query
	w := &waiter{query: q, class: classOf(q), wake: make(chan wakeCause, 1), since: q.waitingSince}
	r := c.queueRequest(now)
	r.Target = r.Target.Add(-e.answerTime(q))
	w.ticket = l.queue.Push(r, w)
	q.waiter = w
	return w
}

// waitLogInterval is the time without a waiting request after which it is logged again that
// requests wait.
const waitLogInterval = 10 * time.Second

// queueRequest describes the request of c for a queue whose time is now. One that is only
// explained arrives now.
func (c *callerRequest) queueRequest(now time.Time) queue.Request {
	arrived := now
	if !c.explains {
		arrived = now.Add(-time.Since(c.arrivedAt))
	}
	r := queue.Request{Rank: c.priority(), Arrived: arrived, Target: arrived.Add(c.query.target), Deadline: arrived.Add(c.answerBy().Sub(c.arrivedAt)), Cost: c.query.waitCost()}
	if c.team != nil {
		r.Team = place.Hash(c.team.Name)
	}
	return r
}

// waitCost returns the cost of q in the units of a queue.
func (q *placementQuery) waitCost() float64 {
	if q.prompt == nil {
		return waitBaseCost
	}
	return waitBaseCost + float64(q.prompt.InputTokens)
}

// noteFailure records that the request of c has got no room. The caller holds mu.
func (e *Endpoints) noteFailure(c *callerRequest, l *waitQueue, decided bool, now time.Time) {
	e.estimateWait(c, l, decided, now)
	if decided {
		l.failed = append(l.failed, c.query.waiter.class)
		l.wakeNext(now, causeTurn)
	}
}

// estimateWait sets what the query of c says about its wait, after the request has got no room
// although it decided, or has not decided. The caller holds mu.
func (e *Endpoints) estimateWait(c *callerRequest, l *waitQueue, decided bool, now time.Time) {
	q, s := c.query, e.syncView()
	l.drain.Record(0, now)
	q.hasCandidate = e.hasCandidate(s, q)
	if !decided {
		q.admissionDelay = e.blockedFor(s, q, now)
		q.awaitsAdmission = true
	}
	q.backlogWait, q.estimated = e.expectedWait(c, l, now)
	q.answerTime = e.answerTime(q)
	q.nextChange = e.nextChange(s, q, now)
	if q.heldByShare {
		q.nextChange = max(waitFallback-now.Sub(l.admittedAt), minDue)
	}
}

// recordRoom records that the request of c has got room by p. The caller holds mu.
func (e *Endpoints) recordRoom(c *callerRequest, l *waitQueue, p *pick, cause wakeCause, now time.Time) {
	q := c.query
	p.waitCost = q.waitCost()
	l.credit = max(l.credit-p.waitCost, 0)
	l.admittedAt = now
	if l.queue.Len() == 0 {
		return
	}
	l.drain.Record(p.waitCost, now)
	w := q.waiter
	if w == nil {
		return
	}
	if cause == causeFallback {
		metric.Counter("wait_fallback_picks_total", "service", q.service).Inc(1)
		event.WaitFallback.Log(e.log, slog.String("service", q.service), slog.String("endpoint", p.spec.ID))
	}
	metric.Histogram("wait_ms", "service", q.service).Update(now.Sub(w.since).Milliseconds())
	took := w.ticket.Request
	l.queue.Take(w.ticket)
	q.waiter, q.took = nil, &took
	e.waiting.Add(-1)
	l.failed = slices.DeleteFunc(l.failed, func(c waitClass) bool { return c == w.class })
	l.wakeNext(now, causeTurn)
}

// leaveQueue removes q from its wait queue if it waits, and wakes the next. The caller holds mu.
func (e *Endpoints) leaveQueue(q *placementQuery) {
	if q.waiter == nil {
		return
	}
	l := e.service(q.service).waitQueue
	l.queue.Remove(q.waiter.ticket)
	q.waiter = nil
	e.waiting.Add(-1)
	l.failed = l.failed[:0] // the request may not have decided yet after the latest event
	l.wakeNext(e.now(), causeTurn)
}

// hasCandidate reports whether an endpoint is listed that may run q at some time. The caller
// holds mu.
func (e *Endpoints) hasCandidate(s *fleet.Snapshot, q *placementQuery) bool {
	return slices.ContainsFunc(s.Serving[q.service], func(spec *fleet.Endpoint) bool {
		ep := e.byKey[spec.Key()]
		return ep != nil && !ep.replaced && !spec.Leaving && q.mayTry(spec)
	})
}

// nextChange returns the shortest time until an endpoint may admit q again that does not now
// because it is loading weights, has rejected a request or has asked for a pause; 0 if there
// is none. The caller holds mu.
func (e *Endpoints) nextChange(s *fleet.Snapshot, q *placementQuery, now time.Time) time.Duration {
	shortest := max(q.notBefore.Sub(now), 0)
	for _, spec := range s.Serving[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !q.mayTry(spec) {
			continue
		}
		left := max(ep.rejection.Left(now), ep.pause.Left(now))
		if q.prompt != nil {
			left = max(left, ep.loadingUntil[q.prompt.Model].Sub(now))
		}
		if left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// awaitTurn waits until the request of c is woken, or something may have changed without a
// wake-up. It returns the cause, and false if ctx ends first.
func (c *callerRequest) awaitTurn(ctx context.Context) (wakeCause, bool) {
	wait, cause := waitFallback, causeFallback
	sooner := func(d time.Duration) {
		if d > 0 && d < wait {
			wait, cause = d, causeDue
		}
	}
	q := c.query
	if q.admissionDelay > unknownWait {
		sooner(max(q.admissionDelay, minDue))
	}
	if q.nextChange > 0 {
		sooner(max(q.nextChange, minDue))
	}
	if !q.estimated {
		sooner(maxEndpointWait - c.waited)
	}
	if left, limited := c.confirmationLeft(); limited {
		sooner(left + confirmationMargin)
	}
	began := time.Now()
	t := time.NewTimer(wait)
	defer t.Stop()
	defer func() { c.waited += time.Since(began) }()
	select {
	case <-ctx.Done():
		return "", false
	case woken := <-q.waiter.wake:
		return woken, true
	case <-t.C:
		return cause, true
	}
}

// recordRejection records that an endpoint has rejected the request of c because it is full.
// After the first, another endpoint is tried at once. Then the request goes back to its place
// in the queue, and rests for a time that doubles.
//
// Load pattern: all slots of a service are taken for a moment. A request that goes on to each
// endpoint in turn is rejected by all within milliseconds, and refused with seconds left.
func (c *callerRequest) recordRejection() {
	c.rejections++
	if c.rejections == 1 {
		return
	}
	rest := min(minRest<<(c.rejections-2), maxRest)
	c.query.notBefore = c.server.endpoints.now().Add(rest)
	metric.Counter("requests_requeued_total", "service", c.query.service).Inc(1)
	if c.rejections == 2 {
		event.RequestRequeued.Log(c.server.opts.Log, c.logAttrs()...)
	}
}

// refuseToWait returns a refusal if the request of c, which has got no room, should not wait.
func (c *callerRequest) refuseToWait() *contract.Refusal {
	if r := c.refuseWithoutSoftware(); r != nil {
		return r
	}
	if r := c.refuseUnconfirmed(); r != nil {
		return r
	}
	return c.refuseWait()
}

// refuseWait returns a refusal if the request of c should not go on waiting for room: it can't
// be answered in time for its caller by the estimate, or not before it has waited for its
// objective and no less than maxEndpointWait. What waits longer is late when it gets room, and
// takes that from requests that could be in time; a caller that is refused comes back.
func (c *callerRequest) refuseWait() *contract.Refusal {
	q := c.query
	expected := max(q.admissionDelay, q.backlogWait)
	limit := maxEndpointWait - c.waited
	if q.estimated {
		limit = min(time.Until(c.answerBy())-q.answerTime, max(maxEndpointWait, q.target)-c.waited)
	}
	if expected <= limit && limit > 0 {
		return nil
	}
	if !c.explains {
		metric.Counter("waits_refused_total", "service", q.service, "estimated", boolLabel(q.estimated)).Inc(1)
	}
	reason := contract.ReasonNoEndpoint
	if q.awaitsAdmission {
		reason = contract.ReasonOverload
	}
	return contract.Unavailable(reason, c.retryAfter(), "no endpoint can take the request")
}

// boolLabel returns the value of a metric's label for b.
func boolLabel(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// answerTime returns how long it takes from getting room until a response to q begins, if the
// parts of the prompt that other requests share are cached and nothing else waits at the
// engine. The caller holds mu.
func (e *Endpoints) answerTime(q *placementQuery) time.Duration {
	if q.prompt == nil {
		return minRetryTime
	}
	own := q.prompt.InputTokens
	if n := len(q.prompt.Parts); n > 0 {
		own = q.prompt.Parts[n-1].Tokens
	}
	return max(minRetryTime, e.service(q.service).prefillRate.PrefillTime(waitBaseCost+own))
}
