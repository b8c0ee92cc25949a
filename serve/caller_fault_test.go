package serve

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"redwingknot/contract"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/note"
	"redwingknot/retry"
)

// unwritable is a ResponseWriter of a caller to which nothing can be written.
type unwritable struct{ *httptest.ResponseRecorder }

func (unwritable) SetWriteDeadline(time.Time) error { return nil }
func (unwritable) Write([]byte) (int, error)        { return 0, errors.New("connection lost") }
func (unwritable) WriteString(string) (int, error)  { return 0, errors.New("connection lost") }
func (unwritable) FlushError() error                { return errors.New("connection lost") }

// serve has the Server handle a request in this goroutine.
func (f *fixture) serve(ctx context.Context, w http.ResponseWriter, method, path, body string) {
	f.t.Helper()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+teamToken)
	routes := mux.NewRouter()
	f.server.RegisterRoutes(routes)
	routes.ServeHTTP(w, r)
}

// onlyTrace returns the trace of the only request.
func (f *fixture) onlyTrace() *Trace {
	f.t.Helper()
	f.server.traces.mu.Lock()
	defer f.server.traces.mu.Unlock()
	assert.Equal(f.t, len(f.server.traces.byID), 1)
	for _, tr := range f.server.traces.byID {
		return tr
	}
	return nil
}

// retriesLeft takes and returns the retries that the service's budget holds.
func (f *fixture) retriesLeft(service string) (n int) {
	f.t.Helper()
	svc, err := f.server.service(service)
	assert.NilError(f.t, err)
	for svc.retryBudget.Take(retry.Resume) == nil {
		n++
	}
	return n
}

// TestCallersFaultIsNotRetried guards against attempts at further endpoints, and against
// retries taken from the service's budget, after an answer that could not be written to its
// caller.
func TestCallersFaultIsNotRetried(t *testing.T) {
	f := newFixture(t, enginestandin.Options{}, enginestandin.Options{}, enginestandin.Options{})
	f.serve(t.Context(), unwritable{httptest.NewRecorder()}, "POST", "/v1/chat/completions", chatJSON("lost", true))
	tr := f.onlyTrace()
	assert.Check(t, len(tr.Attempts) == 1, "%+v", tr.Attempts)
	assert.Check(t, tr.Refusal != nil && tr.Refusal.Reason == contract.ReasonCallerDisconnected, "%v", tr.Refusal)
	assert.Equal(t, f.retriesLeft("llm"), initialRetryBudget)
}

// TestCallThatCallerLeavesTakesNoRetry guards against callers that leave and so use up the
// retries of a plain service.
func TestCallThatCallerLeavesTakesNoRetry(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	t.Cleanup(host.Close)
	f.state.Endpoints["app-1"] = note.Endpoint{Name: "app-1", DataCentre: "ilala", Service: "app", URL: host.URL, Slots: 8}
	f.server.opts.Services.Apply(f.state)
	f.serve(ctx, httptest.NewRecorder(), "GET", "/svc/app/roster/juma", "")
	assert.Equal(t, len(f.onlyTrace().Attempts), 1)
	assert.Equal(t, f.retriesLeft("app"), initialRetryBudget)
}
