package serve

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingknot/contract"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/note"
)

// stoppingLimiter begins the stop of a server while it decides about a request.
type stoppingLimiter struct{ server *Server }

func (l stoppingLimiter) Allow(note.Team) (bool, time.Duration) {
	l.server.BeginStop(time.Now())
	return true, 0
}

// engineRuns returns the runs of the first engine as JSON.
func (f *fixture) engineRuns() string {
	f.t.Helper()
	resp, err := http.Get(f.httpServers[0].URL + "/runs")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	runs, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return string(runs)
}

// TestRequestOfBegunStopIsNotSent guards against a request that came before the stop and is sent
// to an endpoint although the stop may end before it, and against a claim that is left behind.
func TestRequestOfBegunStopIsNotSent(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	f.server.opts.Limits = stoppingLimiter{f.server}
	assertRefused := func(got response) {
		t.Helper()
		assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
		assert.Assert(t, strings.Contains(got.body, string(contract.ReasonDraining)), got.body)
		assert.Assert(t, strings.Contains(got.body, `"ran":"`+string(contract.NotRun)+`"`), got.body)
		assert.Equal(t, got.header.Get("Retry-After"), "1")
		f.server.stopEnd.Store(nil)
	}
	assertRefused(f.do("POST", "/v1/chat/completions", teamToken, chatJSON("x", true)))
	assert.Equal(t, f.engineRuns(), "null\n")
	key := uuid.Must(uuid.NewV7()).String()
	assertRefused(f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key))
	assertRefused(f.do("GET", "/svc/app/roster/juma", teamToken, ""))
	assert.Equal(t, len(f.app.Runs()), 0)
	f.server.opts.Limits = &fakeLimiter{}
	again := f.do("POST", "/svc/app/certificates", teamToken, "juma", HeaderIdempotencyKey, key)
	assert.Equal(t, again.status, http.StatusCreated, again.body)
	assert.Equal(t, len(f.app.Runs()), 1)
}
