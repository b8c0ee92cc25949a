package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"redwingknot/event"
	"redwingknot/internal/drainlistener"
	"redwingknot/internal/timer"
)

// The end of a stop is kept for the answers to the requests that are still running and for the
// records of their claims.
const (
	maxDrainReserve      = 3 * time.Second
	drainReserveFraction = 0.2 // of the drain timeout
)

// drain finishes the instance's work within the drain timeout; see docs/design/stopping.md. It
// first announces that this instance is leaving, to the balancer and to the other instances, so
// that they stop using it while it still answers.
func (e *Entry) drain(server *http.Server, callers *drainlistener.Listener) {
	started := time.Now()
	event.ProcessDraining.Log(e.log)
	reserve := min(maxDrainReserve, time.Duration(drainReserveFraction*float64(e.opts.DrainTimeout)))
	end := started.Add(e.opts.DrainTimeout - reserve)
	e.server.BeginStop(end)
	e.draining.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(reserve))
	defer cancel()
	e.members.Leave(ctx)
	noticed := started.Add(min(e.opts.BalancerNotice, end.Sub(started)/2))
	timer.Sleep(ctx, time.Until(noticed))
	callers.Stop()
	e.finishRequests(callers, end, reserve/2)
	server.Close()
	ctx, cancel = context.WithTimeout(context.Background(), max(time.Until(end)+reserve, reserve/2))
	defer cancel()
	e.logDrainError("requests", e.server.Drain(ctx))
	e.logDrainError("claims", e.ledger.Drain(ctx))
	e.suspects.Wait()
	e.ledger.Close()
}

// finishRequests waits until callers' connections are closed, and ends the requests that are
// running at end. Their answers have answerTime, also if the process stood still until after end.
func (e *Entry) finishRequests(callers *drainlistener.Listener, end time.Time, answerTime time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	open := callers.Retire(ctx)
	if open == 0 {
		return
	}
	event.RequestsCutOff.Log(e.log, slog.Int("connections", open))
	e.server.End()
	answerCtx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	callers.Retire(answerCtx)
}

// logDrainError logs an error in draining a part of the instance; nil is ignored.
func (e *Entry) logDrainError(part string, err error) {
	if err != nil {
		event.ComponentFailed.Log(e.log, slog.String("component", "drain "+part), slog.Any("error", err))
	}
}

// closing returns a handler whose responses ask the caller to close the connection once the
// instance drains.
func (e *Entry) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, closes: e.draining.Load}, r)
	})
}

// closingWriter is an http.ResponseWriter that adds Connection: close to a header that is
// written while closes returns true.
type closingWriter struct {
	http.ResponseWriter
	closes        func() bool
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.headerWritten = true
	if w.closes() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the http.ResponseWriter for an http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
