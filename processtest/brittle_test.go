package processtest

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

// Bounds of the users for brittle endpoints.
const (
	brittleNoticeTime = 3 * time.Second // from when they say so until the bound holds
	maxBrittleFalls   = 2               // and one for each ten of them
	brittleCallers    = 50              // far more than the endpoints have room for
)

// TestBrittleEndpointsDoNotFallOver has more callers at two gateways than the endpoints of a
// service have room for, while these say that they fall over if they turn away more than two
// requests in a second.
func TestBrittleEndpointsDoNotFallOver(t *testing.T) {
	d := newPartitionDeployment(t)
	var falls, served, sent atomic.Int64
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		o := crashableApp
		o.ID, o.Slots, o.MaxQueued, o.WorkTime = id, 4, 8, 100*time.Millisecond
		o.FallOver = func() { falls.Add(1) }
		w := fleetworker.New(o)
		server := httptest.NewServer(w)
		t.Cleanup(server.CloseClientConnections)
		d.putKey(fleetwire.EndpointKey(id), string(w.Entry(server.Listener.Addr().String(), "z", 2)))
		w.SetBrittle(2)
	}
	gateways := []*gatewayProcess{d.startGateway("front-1"), d.startGateway("front-2")}
	for _, g := range gateways {
		d.waitUntilAllServed(g)
	}
	ctx, stop := context.WithTimeout(t.Context(), 2*brittleNoticeTime)
	defer stop()
	var callers sync.WaitGroup
	for n := range brittleCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				sent.Add(1)
				if d.call(gateways[n%len(gateways)], "safe") {
					served.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	t.Logf("%d falls; %d of %d requests served", falls.Load(), served.Load(), sent.Load())
	assert.Check(t, falls.Load() <= maxBrittleFalls, "%d falls", falls.Load())
	assert.Check(t, served.Load() > brittleCallers, "%d requests served", served.Load())
}
