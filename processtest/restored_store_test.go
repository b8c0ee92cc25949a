package processtest

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestGatewayFollowsRestoredStore restores the metadata store to a copy that has an older
// configuration, in which a route still exists that was dropped since. The route must
// stay dropped, and a configuration that the operator writes then must come into force
// although its revision was given out before.
func TestGatewayFollowsRestoredStore(t *testing.T) {
	d := newGatewayDeployment(t)
	g := d.startGateway("front-1")
	waitForStatus := func(want int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, _, err := g.ask("key")
			if err == nil && status == want {
				return poll.Success()
			}
			return poll.Continue("status %d, error %v, want status %d", status, err, want)
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
	}
	waitForStatus(http.StatusOK)
	copied := d.storeContent.Backup()
	// The revisions given out from here on are those that are given out again.
	for range 50 {
		d.registerWorker()
	}
	d.putKey("op/config", smallConfig(10, "another-host"))
	waitForStatus(http.StatusNotFound)
	d.storeServer.Restore(copied)
	for range 20 {
		status, _, err := g.ask("key")
		assert.NilError(t, err)
		assert.Check(t, status != http.StatusOK, "the older copy's configuration is in force")
		time.Sleep(100 * time.Millisecond)
	}
	d.registerWorker()
	d.putKey("op/config", smallConfig(12, "h"))
	waitForStatus(http.StatusOK)
}
