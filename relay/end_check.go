package relay

import (
	"context"
	"sync/atomic"
	"time"

	"redwingknot/fleet"
	"redwingknot/upstream"
)

// endCheck is a check whether an endpoint's process has ended, shared by all requests
// that lost their connections to it.
type endCheck struct {
	startedAt time.Time
	first     chan struct{} // closed after the first look
	done      chan struct{} // closed after the last look, or once the process has ended
	ended     atomic.Bool
}

// endCheckTime is how long the result of an endCheck is used. The requests that a process
// ran when it ended lose their connections within a moment.
const endCheckTime = time.Second

// endCheckLooks are the times from the start of an endCheck at which it looks for signs of
// the end. A process may close its connections before its listener, and its supervisor may
// start the next one within a moment; that one then takes a while to register.
var endCheckLooks = []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second}

// connectLooks is the number of looks that open a connection. The others are at the listing
// alone.
const connectLooks = 2

// endMargin is how much earlier than planned the process of an endpoint that leaves may end.
const endMargin = 500 * time.Millisecond

// startEndCheck returns the current check of an endpoint, which it starts if necessary. It
// returns nil for one that has been leaving for so long that its end is planned, and says
// nothing of the requests that it ran. Before that it serves, and its end is a crash.
func (e *Endpoints) startEndCheck(ep *endpoint) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endIsPlanned(ep) {
		return nil
	}
	now := e.now()
	if c := ep.endCheck; c != nil && now.Sub(c.startedAt) < endCheckTime {
		return c
	}
	check := &endCheck{startedAt: now, first: make(chan struct{}), done: make(chan struct{})}
	ep.endCheck = check
	go e.runEndCheck(check, ep.spec, ep.pool)
	return check
}

// endIsPlanned reports whether an endpoint has been leaving for so long that its process may
// end. The caller holds mu.
func (e *Endpoints) endIsPlanned(ep *endpoint) bool {
	e.syncView()
	since := ep.endPlannedSince
	return !since.IsZero() && e.now().Sub(since) >= e.drainTime-endMargin
}

// runEndCheck looks for signs that the process of an endpoint has ended: nothing listens at
// its address any more, or another incarnation is listed there.
func (e *Endpoints) runEndCheck(check *endCheck, spec *fleet.Endpoint, pool *upstream.Pool) {
	defer close(check.done)
	for i, at := range endCheckLooks {
		time.Sleep(at - e.now().Sub(check.startedAt))
		refused := i < connectLooks && upstream.ConnRefused(pool.Connect(context.Background()))
		ended := refused || isSucceeded(e.view.Snapshot(), spec)
		check.ended.Store(ended)
		if i == 0 {
			close(check.first)
		}
		if ended {
			return
		}
	}
}

// isSucceeded reports whether another incarnation is listed at the address of an endpoint,
// or a later one under its identifier.
func isSucceeded(s *fleet.Snapshot, spec *fleet.Endpoint) bool {
	if same := s.Endpoints[spec.ID]; same != nil && same.StartMillis > spec.StartMillis {
		return true
	}
	for _, other := range s.Endpoints {
		if other.Address == spec.Address && other.ID != spec.ID {
			return true
		}
	}
	return false
}
