package relay

import "context"

// writeHeader sends the response header to the caller. In a stop it asks the caller to close
// its connection, also if the request arrived before.
func (c *callerRequest) writeHeader(status int) {
	if c.server.stopBegan.Load() != nil {
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
