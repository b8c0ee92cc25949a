package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/tunnel"
	"redwingknot/tunnel/tunnelpb"
)

// leavingAndSound are other instances, of which all but the last shut down.
type leavingAndSound struct {
	address string // of the endpoint, as the sound one reaches it
}

func (d *leavingAndSound) Peers(uint64) []string {
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprint("leaving-", i))
	}
	return append(names, "sound")
}

func (d *leavingAndSound) Dial(ctx context.Context, peer string, _ fleet.EndpointKey) (net.Conn, error) {
	if peer != "sound" {
		return nil, &tunnel.RefusedError{Result: tunnelpb.Result_RESULT_LEAVING}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", d.address)
}

// TestStoppingInstancesHideNoDetour sends requests to an endpoint that this instance reaches only
// through others, most of which are being stopped at the same time.
func TestStoppingInstancesHideNoDetour(t *testing.T) {
	detours := &leavingAndSound{}
	b := newTestBedOf(t, detours)
	b.view.ApplyConfig(newConfig(1, 2))
	b.view.Confirm(b.now())
	f := b.startEndpoint("i-1", respondOK)
	detours.address = f.spec.Address
	refusing, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	refusing.Close()
	spec := *f.spec
	spec.Address = refusing.Addr().String()
	b.view.PutEndpoint(&spec)
	for range 3 {
		assert.Equal(t, b.send("/once/").status, http.StatusOK)
	}
	assert.Equal(t, len(f.requests()), 3)
}
