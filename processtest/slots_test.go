package processtest

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/slots"
)

// slotCallers is the number of concurrent callers before slotCount slots. With two gateways, fewer
// than four slots are granted by a coordinator.
const (
	slotCallers = 12
	slotCount   = 3
)

// TestGatewaysShareSlots guards against gateways that send an endpoint more calls than it has slots
// while each knows only its own, and against calls that depend on a coordinator that has ended.
func TestGatewaysShareSlots(t *testing.T) {
	d := newPartitionDeployment(t)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		d.deleteKey(fleetwire.EndpointKey(id))
	}
	w := fleetworker.New(fleetworker.Options{ID: "i-d", Service: "app", Slots: slotCount, WorkTime: 20 * time.Millisecond})
	server := httptest.NewServer(w)
	t.Cleanup(server.CloseClientConnections)
	d.putKey(fleetwire.EndpointKey("i-d"), string(w.Entry(server.Listener.Addr().String(), "z", 1)))
	gateways := []*gatewayProcess{d.startGateway("front-1"), d.startGateway("front-2")}
	for _, g := range gateways {
		d.waitUntilAllServed(g)
	}
	callers := func(calls int, gateways ...*gatewayProcess) (served int64) {
		var group sync.WaitGroup
		var n atomic.Int64
		for i := range slotCallers {
			group.Go(func() {
				for range calls {
					if d.call(gateways[i%len(gateways)], "once") {
						n.Add(1)
					}
				}
			})
		}
		group.Wait()
		return n.Load()
	}
	time.Sleep(time.Second) // both gateways know of both, and the coordinator of their calls
	callers(3, gateways...)
	arrivals, runs := len(w.Arrivals()), len(w.Runs())
	assert.Equal(t, callers(15, gateways...), int64(15*slotCallers))
	arrivals, runs = len(w.Arrivals())-arrivals, len(w.Runs())-runs
	t.Logf("%d of %d arrivals rejected", arrivals-runs, arrivals)
	assert.Check(t, (arrivals-runs)*50 < arrivals, "%d of %d arrivals rejected", arrivals-runs, arrivals)

	assert.NilError(t, gateways[0].cmd.Process.Signal(syscall.SIGKILL))
	assert.Equal(t, callers(3, gateways[1]), int64(3*slotCallers))
}

// TestStopOfSharedSlotsLosesNoCall stops a gateway while callers of calm gateways hold slots and
// wait for them: the one that grants them, and one whose own callers hold some. Each call of a calm
// gateway must be served.
func TestStopOfSharedSlotsLosesNoCall(t *testing.T) {
	for _, stopsCoordinator := range []bool{true, false} {
		t.Run(fmt.Sprintf("stops the coordinator %t", stopsCoordinator), func(t *testing.T) { testStopOfSharedSlots(t, stopsCoordinator) })
	}
}

func testStopOfSharedSlots(t *testing.T, stopsCoordinator bool) {
	d := newPartitionDeployment(t)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		d.deleteKey(fleetwire.EndpointKey(id))
	}
	w := fleetworker.New(fleetworker.Options{ID: "i-d", Service: "app", Slots: slotCount, WorkTime: 20 * time.Millisecond})
	server := httptest.NewServer(w)
	t.Cleanup(server.CloseClientConnections)
	d.putKey(fleetwire.EndpointKey("i-d"), string(w.Entry(server.Listener.Addr().String(), "z", 1)))
	names := []string{"front-1", "front-2", "front-3"}
	coordinator := slots.Coordinators(slots.Group{Service: "app", Count: 1}, names, nil)[0]
	var stopping *gatewayProcess
	var calm []*gatewayProcess
	for _, name := range names {
		g := d.startGateway(name)
		d.waitUntilAllServed(g)
		if stopping == nil && (name == coordinator) == stopsCoordinator {
			stopping = g
		} else {
			calm = append(calm, g)
		}
	}
	time.Sleep(time.Second) // all know of all
	var callers sync.WaitGroup
	var sent, served atomic.Int64
	var ended atomic.Bool
	began := time.Now()
	for i := range slotCallers {
		callers.Go(func() {
			for !ended.Load() {
				after := time.Since(began)
				sent.Add(1)
				if a := d.callOnNewConn(calm[i%len(calm)], "once", nil); a.isWhole() {
					served.Add(1)
				} else {
					t.Logf("sent %v after the beginning: status %d, %v, %s", after, a.status, a.err, a.body)
				}
			}
		})
	}
	for range slotCount {
		callers.Go(func() {
			for d.callOnNewConn(stopping, "once", nil).err == nil {
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, <-stopping.exited)
	time.Sleep(500 * time.Millisecond)
	ended.Store(true)
	callers.Wait()
	t.Logf("%d of %d calls served, %d of %d arrivals rejected", served.Load(), sent.Load(), len(w.Arrivals())-len(w.Runs()), len(w.Arrivals()))
	assert.Equal(t, strings.Contains(stopping.output.String(), "slots-coordinated"), stopsCoordinator)
	assert.Equal(t, served.Load(), sent.Load())
}
