package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
)

// suspendedAndSound are two other instances, one of which never answers.
type suspendedAndSound struct {
	t       *testing.T
	address string // of the endpoint, as the sound one reaches it
}

func (d *suspendedAndSound) Peers(uint64) []string { return []string{"suspended", "sound"} }

func (d *suspendedAndSound) Dial(ctx context.Context, peer string, _ fleet.EndpointKey) (net.Conn, error) {
	if peer == "suspended" {
		<-d.t.Context().Done()
		return nil, d.t.Context().Err()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", d.address)
}

// TestSuspendedInstanceHoldsUpNoDetour sends requests to an endpoint that this instance reaches
// only through others, the first of which is suspended.
func TestSuspendedInstanceHoldsUpNoDetour(t *testing.T) {
	detours := &suspendedAndSound{t: t}
	b := newTestBedOf(t, detours)
	b.view.ApplyConfig(newConfig(1, 2))
	b.view.Confirm(b.now())
	f := b.startEndpoint("i-1", respondOK)
	detours.address = f.spec.Address
	unreachable, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable.Close()
	spec := *f.spec
	spec.Address = unreachable.Addr().String()
	b.view.PutEndpoint(&spec)
	for range 3 {
		assert.Equal(t, b.send("/once/").status, http.StatusOK)
	}
	assert.Equal(t, len(f.requests()), 3)
}
