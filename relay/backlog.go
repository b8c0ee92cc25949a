package relay

import (
	"time"

	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/queue"
)

// Backlogs implements peers.BacklogSource: it returns what waits at this instance, by service
// and rank, and at what rate it gets room.
func (e *Endpoints) Backlogs() []peers.Backlog {
	if e.waiting.Load() == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []peers.Backlog
	for name, s := range e.services {
		if s.waitQueue == nil || s.waitQueue.queue.Len() == 0 {
			continue
		}
		b := peers.Backlog{Service: place.Hash(name), PerSecond: s.waitQueue.drain.Current(now)}
		s.waitQueue.queue.Each(func(t *queue.Ticket[*waiter]) { b.Add(t.Rank, uint64(t.Cost)) })
		list = append(list, b)
	}
	return list
}

// RecordBacklogs implements peers.BacklogSource: it records what waits at all other instances
// after one of them has reported, and wakes requests that may have room by the report.
func (e *Endpoints) RecordBacklogs(others []peers.Backlog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.otherBacklogs = others
	e.wakeAllQueues(causeReport)
}

// otherBacklog returns what waits at the other instances for a service, nil if nothing does.
// The caller holds mu.
func (e *Endpoints) otherBacklog(service string) *peers.Backlog {
	if len(e.otherBacklogs) == 0 {
		return nil
	}
	hash := place.Hash(service)
	for i := range e.otherBacklogs {
		if e.otherBacklogs[i].Service == hash {
			return &e.otherBacklogs[i]
		}
	}
	return nil
}

// maxCredit bounds what an instance saves up, in prompt tokens: some large prompts.
const maxCredit = 50_000

// mayShare reports whether the request of c may take room now. While more urgent requests wait
// at other instances, an instance takes only as much room as its own requests have given back,
// and one request in waitFallback, because what keeps the others waiting may concern only
// them. The caller holds mu.
//
// Load pattern: a burst of urgent requests of one data centre meets instances of others that
// have only less urgent ones, which take each gap at the engines first.
func (e *Endpoints) mayShare(c *callerRequest, l *waitQueue, now time.Time) bool {
	others := e.otherBacklog(c.query.service)
	if others == nil || others.Before(c.priority()) == 0 {
		return true
	}
	if l.credit >= c.query.waitCost() || now.Sub(l.admittedAt) >= waitFallback {
		return true
	}
	if !e.explains {
		metric.Counter("wait_shares_held_total", "service", c.query.service).Inc(1)
	}
	return false
}

// earnCredit records that an attempt of this instance has given back room. The caller holds
// mu.
func (e *Endpoints) earnCredit(s *serviceState, p *pick) {
	if s.waitQueue != nil && !p.rejected {
		s.waitQueue.credit = min(s.waitQueue.credit+p.waitCost, maxCredit)
	}
}

// expectedWait returns how long the request of c is expected to wait for room, and whether
// that can be estimated: from the backlog ahead of it and the rate at which it drains. The
// caller holds mu.
func (e *Endpoints) expectedWait(c *callerRequest, l *waitQueue, now time.Time) (time.Duration, bool) {
	b := queue.Backlog{OwnPerSecond: l.drain.Current(now)}
	if b.OwnPerSecond == 0 {
		return 0, false
	}
	b.Own = l.queue.AheadOf(c.query.waiter.ticket, now)
	if others := e.otherBacklog(c.query.service); others != nil {
		b.Others, b.OthersPerSecond = float64(others.Before(c.priority()+1)), others.PerSecond
	}
	return b.Wait()
}

// updateWaitGauges updates the gauges of what waits.
func (e *Endpoints) updateWaitGauges() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for name, s := range e.services {
		if s.waitQueue == nil {
			continue
		}
		metric.Gauge("requests_waiting", "service", name).Update(int64(s.waitQueue.queue.Len()))
		metric.Gauge("wait_drain_rate", "service", name).Update(int64(s.waitQueue.drain.Current(now)))
	}
}
