package processtest

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingLeaderGivesNoOrders stops the gateway that gives the orders. The next order must come
// from the other one, although the first one goes on answering its callers.
func TestStoppingLeaderGivesNoOrders(t *testing.T) {
	d := newGatewayDeployment(t)
	byName := map[string]*gatewayProcess{"front-1": d.startGateway("front-1"), "front-2": d.startGateway("front-2")}
	d.putKey("op/version/m", `{"model":"m","version":2}`)
	first := d.waitForOrders(1)[0]
	d.registerWorker()
	stopping := byName[first.Holder]
	stoppedAt := time.Now()
	assert.NilError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	d.putKey("op/version/m", `{"model":"m","version":3}`)
	second := d.waitForOrders(2)[1]
	t.Logf("the next order came %v after the stop began", time.Since(stoppedAt))
	assert.Equal(t, second.Version, int64(3))
	assert.Check(t, second.Holder != first.Holder)
	assert.Check(t, second.Fence > first.Fence)
	assert.NilError(t, <-stopping.exited)
}
