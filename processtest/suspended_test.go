package processtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspendedLeaderKeepsItsStreams suspends the gateway that leads for longer than its lease
// while streams run through it. The streams must be completed by the runs that began them, and
// the gateway must not give orders under its old lease when it goes on.
func TestSuspendedLeaderKeepsItsStreams(t *testing.T) {
	const streams = 4
	d := newGatewayDeploymentWithEventGap(t, 600*time.Millisecond)
	byName := map[string]*gatewayProcess{"front-1": d.startGateway("front-1"), "front-2": d.startGateway("front-2")}
	d.putKey("op/version/m", `{"model":"m","version":2}`)
	first := d.waitForOrders(1)[0]
	d.registerWorker()
	leader := byName[first.Holder]
	leader.waitForStatus(t, http.StatusOK)
	before := len(d.worker.Runs())
	ended := make(chan error, streams)
	events := make(chan int, streams)
	for range streams {
		go func() {
			_, n, err := leader.ask("key")
			events <- n
			ended <- err
		}()
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, leader.cmd.Process.Signal(syscall.SIGSTOP))
	d.putKey("op/version/m", `{"model":"m","version":3}`)
	second := d.waitForOrders(2)[1]
	d.registerWorker()
	assert.Check(t, second.Holder != first.Holder)
	assert.NilError(t, leader.cmd.Process.Signal(syscall.SIGCONT))
	for range streams {
		assert.Check(t, <-ended)
		assert.Equal(t, <-events, eventsPerStream)
	}
	assert.Equal(t, len(d.worker.Runs())-before, streams, "a stream was run again")
	d.putKey("op/version/m", `{"model":"m","version":4}`)
	orders := d.waitForOrders(3)
	for i := 1; i < len(orders); i++ {
		assert.Check(t, orders[i].Fence >= orders[i-1].Fence && orders[i].Version > orders[i-1].Version, "%+v", orders)
	}
}

// TestStreamTakenUpFromSuspendedGatewayIsNotJoined suspends a gateway in the middle of streams
// until their callers have taken them up at another one, and lets it go on while these read.
// They must get each event once and in order, of the runs at one software version.
func TestStreamTakenUpFromSuspendedGatewayIsNotJoined(t *testing.T) {
	d, _ := newVersionedDeployment(t)
	suspended, other := d.startGateway("front-1"), d.startGateway("front-2")
	waitUntilStreamed(t, suspended)
	waitUntilStreamed(t, other)
	leaves, leave := context.WithCancel(t.Context())
	var streams []*streamOf
	var readers sync.WaitGroup
	for n := range streamsPerTest {
		s := &streamOf{path: fmt.Sprint("/x/suspended", n)}
		streams = append(streams, s)
		readers.Go(func() { _ = s.readUntil(leaves, suspended, fmt.Sprint("begun-", n)) })
	}
	time.Sleep(600 * time.Millisecond)
	assert.NilError(t, suspended.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(300 * time.Millisecond)
	leave()
	readers.Wait()
	for n, s := range streams {
		if s.events != "" {
			readers.Go(func() { _ = s.read(other, fmt.Sprint("taken-up-", n)) })
		}
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, suspended.cmd.Process.Signal(syscall.SIGCONT))
	readers.Wait()
	checkStreams(t, streams)
	for _, s := range streams {
		assert.Check(t, s.inOrder(), "%s: %q", s.path, s.events)
	}
}

// inOrder reports whether the identifiers of the events count up from 0.
func (s *streamOf) inOrder() bool {
	want := 0
	for rest := s.events; rest != ""; want++ {
		if !strings.Contains(rest[:strings.Index(rest, "\n\n")+1], fmt.Sprintf("id: %d\n", want)) {
			return false
		}
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	return true
}

// TestStopOfSuspendedGatewayEndsInTime tells a gateway to stop while it is suspended. The platform
// counts the grace period from then on: a request that arrives must not be passed on if it can't
// end within what is left, and the process must have ended by then.
func TestStopOfSuspendedGatewayEndsInTime(t *testing.T) {
	d := newLateDeployment(t)
	g := d.startGateway("front-1")
	status, _, err := g.ask("key") // the gateway has seen how long streams take
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(time.Second)
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGSTOP))
	stopAt := time.Now()
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond) // a connection that is accepted before is idle for 4 s
	c, err := connect(g)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	time.Sleep(4 * time.Second)
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGCONT))
	time.AfterFunc(time.Until(stopAt.Add(time.Duration(d.grace)*time.Second)), func() { _ = g.cmd.Process.Kill() })
	time.Sleep(300 * time.Millisecond) // the gateway has confirmed the configuration again
	a := c.post("/x/1")
	assert.Check(t, a.isWhole() || a.isRefusal(), "status %d, body %q, %v", a.status, a.body, a.err)
	assert.NilError(t, <-g.exited)
}

// TestSuspendedStopAnswersQueuedRequests suspends a gateway during its stop until the time has come
// to close its listener, or to end all requests. The kernel accepts connections meanwhile: the
// requests on them must be answered.
func TestSuspendedStopAnswersQueuedRequests(t *testing.T) {
	const queued = 6
	d := newGatewayDeployment(t)
	for _, goesOnAfter := range []time.Duration{4 * time.Second, 7400 * time.Millisecond} {
		g := d.startGateway("front-1")
		http.DefaultClient.CloseIdleConnections() // none is open but those that are queued
		stopAt := time.Now()
		assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(1500 * time.Millisecond)
		assert.NilError(t, g.cmd.Process.Signal(syscall.SIGSTOP))
		answers := make(chan error, queued)
		for range queued {
			c, err := connect(g)
			assert.NilError(t, err)
			t.Cleanup(func() { c.Close() })
			go func() {
				_, _, _, err := c.ask("unknown")
				answers <- err
			}()
		}
		time.Sleep(time.Until(stopAt.Add(goesOnAfter)))
		assert.NilError(t, g.cmd.Process.Signal(syscall.SIGCONT))
		for range queued {
			assert.Check(t, <-answers, "the gateway goes on %v after the stop began", goesOnAfter)
		}
		assert.NilError(t, <-g.exited)
	}
}
