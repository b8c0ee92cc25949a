package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/suspect"
)

// TestPromptBehindLongBacklogIsRefusedAtOnce checks that a prompt does not wait for
// admission if all engines have more to prefill than they can within the wait, and that
// it waits if one of them is expected to admit it by then.
func TestPromptBehindLongBacklogIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		pendingTokens int // at each engine, which prefills 100 tokens in a ms
		waits         bool
	}{
		{500_000, false},
		{50_000, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			e := newEngineEndpoints(3, &now)
			e.syncView()
			for _, ep := range e.byKey {
				ep.ownLoad.PendingTokens = c.pendingTokens
			}
			request := &callerRequest{
				server: &Server{endpoints: e, opts: Options{Suspects: suspect.NewReplica(suspect.Config{}, time.Now)}}, route: &fleet.Route{},
				query: &placementQuery{service: "s", prompt: heavyPrompt("x"), target: 300 * time.Millisecond, maxAttempts: 1},
			}
			began := time.Now()
			p, refusal := request.selectEndpoint(t.Context())
			assert.Check(t, p == nil)
			assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
			waited := time.Since(began)
			assert.Equal(t, waited > 0, c.waits, "%v", waited)
			assert.Check(t, waited <= maxEndpointWait)
		})
	}
}
