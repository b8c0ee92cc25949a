package processtest

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGatewayFollowsRestoredStore restores the metadata store to a copy that has an older
// configuration, in which a route still exists that was dropped since. The route must
// stay dropped, and a configuration that the operator writes then must come into force
// although its revision was given out before.
func TestGatewayFollowsRestoredStore(t *testing.T) {
	d := newGatewayDeployment(t)
	g := d.startGateway("front-1")
	g.waitForStatus(t, http.StatusOK)
	copied := d.storeContent.Backup()
	// The revisions given out from here on are those that are given out again.
	for range 50 {
		d.registerWorker()
	}
	d.putKey("op/config", smallConfig(10, "another-host"))
	g.waitForStatus(t, http.StatusNotFound)
	d.storeServer.Restore(copied)
	for range 20 {
		status, _, err := g.ask("key")
		assert.NilError(t, err)
		assert.Check(t, status != http.StatusOK, "the older copy's configuration is in force")
		time.Sleep(100 * time.Millisecond)
	}
	d.registerWorker()
	d.putKey("op/config", smallConfig(12, "h"))
	g.waitForStatus(t, http.StatusOK)
}
