package processtest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// abandonedCalls is the number of callers that give up on a gateway that stands still.
const abandonedCalls = 50

// sendAndClose writes a whole request that must run once at most to a gateway, on a
// connection of its own, and closes the connection without having read an answer.
func (d *crashDeployment) sendAndClose(g *gatewayProcess, path string) {
	d.t.Helper()
	c, err := net.Dial("tcp4", g.frontAddr)
	assert.NilError(d.t, err)
	defer c.Close()
	attempt := d.sent.Add(1)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: attempt-%d\r\nAuthorization: Bearer key\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}", path, attempt)
	assert.NilError(d.t, err)
}

// runsByPath returns how often the requests with each path have run.
func (d *crashDeployment) runsByPath() map[string]int {
	runs := map[string]int{}
	for _, e := range d.endpoints {
		e.mu.Lock()
		for _, w := range e.all {
			for _, r := range w.Runs() {
				runs[r.Path]++
			}
		}
		e.mu.Unlock()
	}
	return runs
}

// TestAbandonedRequestIsNotSentOn sends requests that must run once at most to a gateway
// that stands still. Their callers close their connections and turn to another gateway.
// When the first one goes on, it must not send on what its callers have given up.
func TestAbandonedRequestIsNotSentOn(t *testing.T) {
	d := newCrashDeployment(t, quickCrash)
	d.putKey("op/config", `{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"non_idempotent","timeout_ms":3000,
		"target_latency_ms":300,"priority":0,"service":"app","max_attempts":2}],
		"services":[{"name":"app","health_path":"/health","max_conns":50}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	frozen, other := d.startGateway("front-1"), d.startGateway("front-2")
	d.waitUntilServed(frozen)
	d.waitUntilServed(other)
	path := func(n int) string { return fmt.Sprint("/x/abandoned-", n) }
	assert.NilError(t, frozen.cmd.Process.Signal(syscall.SIGSTOP))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if allThreadsStopped(t, frozen.cmd.Process.Pid) {
			return poll.Success()
		}
		return poll.Continue("the gateway has not stopped")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	for n := range abandonedCalls {
		d.sendAndClose(frozen, path(n))
	}
	for n := range abandonedCalls {
		d.call(other, path(n), "{}")
	}
	assert.NilError(t, frozen.cmd.Process.Signal(syscall.SIGCONT))
	d.waitUntilServed(frozen)
	time.Sleep(500 * time.Millisecond)
	runs, twice := d.runsByPath(), 0
	for n := range abandonedCalls {
		if runs[path(n)] > 1 {
			twice++
			t.Logf("ran twice: request %d", n)
		}
	}
	assert.Equal(t, twice, 0, "of %d requests that callers had given up at a gateway that stood still, and sent to another one, so many ran twice", abandonedCalls)
}
