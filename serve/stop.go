package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
)

// StoppedError is the cause with which the contexts of running requests end in End.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "this instance has ended its running requests" }

// isStopped reports whether ctx has ended because of End.
func isStopped(ctx context.Context) bool {
	var stopped *StoppedError
	return errors.As(context.Cause(ctx), &stopped)
}

// BaseContext returns the context from which those of requests must be derived, so that End ends
// them. It is meant as the BaseContext function of the http.Server.
func (s *Server) BaseContext(net.Listener) context.Context { return s.ended }

// BeginStop tells the server that the instance stops, and that the requests that run at end are
// then ended. From now on requests that may run longer are refused.
func (s *Server) BeginStop(end time.Time) { s.stopEnd.Store(&end) }

// End ends the contexts of all running requests. Their callers get an answer that says whether
// they may have run.
func (s *Server) End() { s.end(&StoppedError{}) }

// CheckEnd returns a *contract.Refusal if the instance stops and may end requests before the
// deadline. It is asked for a request of which nothing was sent yet.
func (s *Server) CheckEnd(deadline time.Time) error {
	if end := s.stopEnd.Load(); end != nil && deadline.After(*end) {
		return refusalOfStop(contract.NotRun)
	}
	return nil
}

// refusalOfStop returns the refusal of a request because the instance stops; ran says whether the
// request may have been executed.
func refusalOfStop(ran contract.ExecutionStatus) *contract.Refusal {
	r := contract.Unavailable(contract.ReasonDraining, drainRetryAfter, "this instance is stopping")
	if ran == contract.MayHaveRun {
		r.Status, r.Ran, r.Detail = http.StatusBadGateway, ran, "this instance has stopped before the request ended"
	}
	return r
}
