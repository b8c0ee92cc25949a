package soak

import (
	"net"
	"net/http"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

const (
	// awayTime is how long nothing listens at the address of a killed endpoint.
	awayTime = 300 * time.Millisecond
	// registerTime is the time from the start of an endpoint until it writes its entry.
	registerTime = 150 * time.Millisecond
	// lateFactor makes streams last beyond drainTime.
	lateFactor = 2 * slowFactor
)

// killEndpoint ends an endpoint as a kernel ends a process, and has a supervisor start it again
// at the same address. By the step's variants its responses are unframed until then, and the
// next incarnation has the same identifier. An endpoint that leaves is killed when its time to
// do so is over.
func (r *run) killEndpoint(e *endpoint, s Step, waitEnd func()) {
	i := e.running()
	if i == nil || s.Kind == EndpointLeftKilled && !r.tryLeave(e, i) {
		return
	}
	if s.variant(0) {
		i.worker.SetUnframed(true)
	}
	if s.Kind == EndpointLeftKilled {
		i.worker.SetSlowFactor(lateFactor)
		time.Sleep(drainTime)
	} else {
		waitEnd()
	}
	id := i.id
	if s.variant(1) {
		id = r.operator.nextEndpointID()
	}
	away := awayTime
	if s.Kind == EndpointKilled {
		away = 0
	}
	next, err := e.kill(i, id, away)
	if err != nil {
		r.recordViolation(NoRecovery, "an endpoint failed to start: %v", err)
	}
	if next == nil {
		return
	}
	time.Sleep(registerTime)
	if e.running() == next {
		r.operator.writeEntry(e, next)
	}
	time.Sleep(entryDeleteDelay - registerTime)
	e.removeEntry(i)
}

// kill ends incarnation i with its connections closed in good order, and starts the next one
// at the same addresses. Without time away that one listens before the connections close. It
// returns nil if i is not running, or if another incarnation has started meanwhile.
func (e *endpoint) kill(i *incarnation, id string, away time.Duration) (*incarnation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != i {
		return nil, nil
	}
	i.recordStop()
	if away == 0 {
		defer i.closeConns()
		return e.launch(id, i.links)
	}
	e.current = nil
	for _, l := range i.links {
		// The next incarnation's links report that they don't listen again.
		_ = l.SetFault(LinkFault{NewConns: ConnsRefused})
	}
	i.closeConns()
	e.mu.Unlock()
	time.Sleep(away)
	e.mu.Lock()
	if e.current != nil {
		endLinks(i.links)
		return nil, nil
	}
	return e.launch(id, i.links)
}

// keepHijacked follows the connections of the incarnation that its server does not close.
func (i *incarnation) keepHijacked(c net.Conn, state http.ConnState) {
	if state != http.StateHijacked {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hijacked = append(i.hijacked, c)
	if !i.stoppedAt.IsZero() {
		c.Close()
	}
}

// closeConns stops listening and closes all connections in good order. The incarnation must
// have stopped.
func (i *incarnation) closeConns() {
	i.server.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.hijacked {
		c.Close()
	}
}

// removeEntry deletes the entry of an incarnation that has stopped, or is about to, unless a
// later one has its identifier.
func (e *endpoint) removeEntry(i *incarnation) {
	if next := e.running(); next == nil || next == i || next.id != i.id {
		e.operator.deleteEntry(i)
	}
}

// faultyOneIn is the share of endpoints that get a fault of streams or heads.
const faultyOneIn = 3

// disturbStreams has some engines write streams with a fault until the end of a step.
// Meanwhile streams break off at all engines, so that they are resumed.
func (r *run) disturbStreams(s Step, waitEnd func()) {
	for n, e := range r.endpoints {
		i := e.running()
		if i == nil || e.model == "" {
			continue
		}
		if n%faultyOneIn == s.Target%faultyOneIn {
			defer i.worker.AddStreamFault(fleetworker.StreamFault(s.Kind))()
		}
		defer i.worker.AddStreamFault(fleetworker.StreamBreaks)()
	}
	waitEnd()
}

// spoilHeads has some endpoints write heads of responses with a fault until the end of a step.
func (r *run) spoilHeads(s Step, waitEnd func()) {
	for n, e := range r.endpoints {
		if i := e.running(); i != nil && n%faultyOneIn == s.Target%faultyOneIn {
			defer i.worker.AddHeadFault(fleetworker.HeadFault(s.Kind))()
		}
	}
	waitEnd()
}
