package processtest

import (
	"net/http"
	"testing"
	"time"

	"redwingknot/internal/standin/fleetstore"
)

// TestGatewayStartsAtSlowStore starts a gateway while the metadata store takes longer to
// respond than a usual call may: it must become ready and serve.
func TestGatewayStartsAtSlowStore(t *testing.T) {
	const slowAnswer = 1200 * time.Millisecond
	d := newGatewayDeployment(t)
	d.putKey("op/config", largeConfig(10, "h"))
	d.storeServer.SetFault(fleetstore.Fault{Delay: slowAnswer})
	g := d.startGateway("front-1")
	g.waitForStatus(t, http.StatusOK)
}
