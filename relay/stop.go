package relay

import (
	"context"
	"net/http"
	"time"

	"redwingknot/contract"
	"redwingknot/fleet"
	"redwingknot/metric"
)

// StopTimes says when the phases of a planned stop begin, see docs/design/stopping.md.
type StopTimes struct {
	Began    time.Time
	Unrouted time.Time // callers' new connections go to other instances from then on
	End      time.Time // pending requests are ended
}

// Drain begins a planned stop: every response from now on asks the caller to close its
// connection, and requests that the stop would cut off are refused.
func (s *Server) Drain(t StopTimes) { s.stop.Store(&t) }

// Stop ends the requests in progress: those that wait or run are answered with a refusal, and
// responses of which a part was sent are aborted.
func (s *Server) Stop() { s.stopping.stop() }

// stopRetryAfter is when a caller may come back whose request was refused because the instance
// stops: other instances are ready.
const stopRetryAfter = 10 * time.Millisecond

// refuseStopping returns a refusal if the instance stops and the next attempt can't be known to
// end before that.
func (c *callerRequest) refuseStopping() *contract.Refusal {
	if !c.wouldBeCutOff(time.Now()) {
		return nil
	}
	metric.Counter("requests_refused_in_stop_total", "service", c.query.service).Inc(1)
	return c.markPossibleExecution(contract.Unavailable(contract.ReasonDraining, stopRetryAfter, "the instance stops before the time of the request is over"))
}

// wouldBeCutOff reports whether the stop may cut off an attempt that begins at now.
func (c *callerRequest) wouldBeCutOff(now time.Time) bool {
	stop := c.server.stop.Load()
	if stop == nil {
		return false
	}
	return stop.mayCutOff(stopAttempt{
		deadline: c.deadline, once: c.route.Kind == fleet.KindNonIdempotent, begun: c.headerSent,
		usual: func() time.Duration { return c.server.answerTimes.longestUsual(c.route.Name) },
	}, now)
}

// stopAttempt is what a stop asks of an attempt.
type stopAttempt struct {
	deadline time.Time
	once     bool                 // a call that may not be repeated; streams are none
	begun    bool                 // the caller has got a part of the response
	usual    func() time.Duration // time that all but a few of the latest answers on the route took at most
}

// mayCutOff reports whether the stop may cut off an attempt that begins at now.
//
// Load pattern: in a release, instances stop one after the other, each half second. Callers go on
// sending to each for seconds, on connections that they keep, and until the platform sends new
// ones elsewhere. What is taken and takes too long is cut off; what is refused comes to another
// instance, which may be stopping, too, and then has used up its tries.
//
// So an attempt whose deadline lies before the end begins, and nothing else does once new
// connections go elsewhere, nor a call that may not be repeated at any time. Before that, and
// for a stream that a refusal would break off, it begins if the answers on its route usually take
// no longer than what is left.
func (t *StopTimes) mayCutOff(a stopAttempt, now time.Time) bool {
	switch {
	case !a.deadline.After(t.End):
		return false
	case a.once, !now.Before(t.Unrouted) && !a.begun:
		return true
	}
	return now.Add(a.usual()).After(t.End)
}

// writeHeader sends the response header to the caller. In a stop it asks the caller to close
// its connection, also if the request arrived before.
func (c *callerRequest) writeHeader(status int) {
	if c.server.stop.Load() != nil {
		c.askToClose()
	}
	c.w.WriteHeader(status)
}

// askToClose makes the response ask the caller to close its connection.
func (c *callerRequest) askToClose() {
	c.w.Header().Set("Connection", "close")
	if c.conn != nil {
		c.conn.askedToClose.Store(true)
	}
}

// errStopped is the context's cause of requests that were in progress when the server stopped.
var errStopped = &stoppedError{}

// stoppedError reports that the instance stopped before a request was answered.
type stoppedError struct{}

// Error implements error.
func (*stoppedError) Error() string { return "the instance stops" }

// stopSignal ends the contexts of the requests in progress. It is safe for concurrent use.
type stopSignal struct {
	ctx  context.Context // ends when the server stops
	stop context.CancelFunc
}

func newStopSignal() *stopSignal {
	ctx, stop := context.WithCancel(context.Background())
	return &stopSignal{ctx: ctx, stop: stop}
}

// attach returns a context that also ends, with the cause errStopped, when the server stops,
// and the function that frees it.
func (s *stopSignal) attach(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.ctx, func() { cancel(errStopped) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// endReads ends reads of the request that w responds to when the server stops, and returns the
// function that ends this and reports whether the server has stopped before.
func (s *stopSignal) endReads(w http.ResponseWriter) (wasStopped func() bool) {
	detach := context.AfterFunc(s.ctx, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only if the connection is closed
	})
	return func() bool { return !detach() }
}
