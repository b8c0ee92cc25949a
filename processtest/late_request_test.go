package processtest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetworker"
)

// lateStreamTime is how long the streams of the tests of late requests take.
const lateStreamTime = 4500 * time.Millisecond

// newLateDeployment starts a deployment with streams and calls that take lateStreamTime, and
// with calls that take a moment and have a second.
func newLateDeployment(t *testing.T) *gatewayDeployment {
	d := newGatewayDeploymentWithEventGap(t, lateStreamTime/eventsPerStream)
	d.putKey("op/config", `{"version":4,"routes":[
		{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1},
		{"name":"o","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"slow","max_attempts":1},
		{"name":"b","host":"h","path_prefix":"/brief/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":300,"priority":0,"service":"quick","max_attempts":1}],
		"services":[{"name":"s","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}},
			{"name":"slow","health_path":"/health","max_conns":50},{"name":"quick","health_path":"/health","max_conns":50}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	for id, o := range map[string]fleetworker.Options{"i-2": {Service: "slow", WorkTime: lateStreamTime}, "i-3": {Service: "quick", WorkTime: time.Millisecond}} {
		o.ID, o.Slots = id, 8
		w := fleetworker.New(o)
		server := httptest.NewServer(w)
		t.Cleanup(server.CloseClientConnections)
		d.putKey("servers/"+id, string(w.Entry(server.Listener.Addr().String(), "z", 90)))
	}
	return d
}

// answer is what a caller got for a request.
type answer struct {
	status     int
	body       string
	retryAfter string
	err        error
}

// post sends a request to a path and reads the response.
func (c *callerConn) post(path string) answer {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a%d\r\nAuthorization: Bearer key\r\nModel: m\r\nToken-Count: 10,5\r\nContent-Length: 2\r\n\r\n{}", path, time.Now().UnixNano())
	if err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, body: string(data), retryAfter: res.Header.Get("Retry-After"), err: err}
}

// isWhole reports whether the answer is a whole one of an endpoint.
func (a answer) isWhole() bool {
	return a.err == nil && a.status == http.StatusOK && (!strings.Contains(a.body, "data:") || strings.Count(a.body, "\n\n") == eventsPerStream)
}

// isRefusal reports whether the answer says that the request has not run and when to come back.
func (a answer) isRefusal() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && a.retryAfter != ""
}

// TestLateRequestsOfStopAreNotCut sends requests late in the stop of a calm gateway, on
// connections that it had accepted. Each must be answered whole or refused as not run.
func TestLateRequestsOfStopAreNotCut(t *testing.T) {
	d := newLateDeployment(t)
	g := d.startGateway("front-1")
	status, events, err := g.ask("key") // the gateway has seen how long streams take
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, events, eventsPerStream)

	type request struct {
		name      string
		after     time.Duration // from the stop until it is sent
		path      string
		served    bool // it ends in time, so that it must be answered whole
		keepsConn bool // it is the second one on its connection, whose first began before the stop
	}
	requests := []request{
		{"soon", 300 * time.Millisecond, "/x/1", true, false},
		{"in the middle", 2000 * time.Millisecond, "/x/2", true, false},
		{"as the listener closes", 2900 * time.Millisecond, "/x/3", false, false},
		{"first on its connection", 4500 * time.Millisecond, "/x/4", false, false},
		{"second on its connection", 4500 * time.Millisecond, "/x/5", false, true},
		{"a call that may not be repeated", 4500 * time.Millisecond, "/once/1", false, false},
		{"a call with a short limit", 4500 * time.Millisecond, "/brief/1", true, false},
	}
	conns := make([]*callerConn, len(requests))
	begun := make(chan answer, len(requests))
	connectFor := func(i int) {
		c, err := connect(g)
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		conns[i] = c
	}
	for i, r := range requests {
		if r.keepsConn {
			connectFor(i)
			go func() { begun <- conns[i].post("/x/0") }()
		}
	}
	time.Sleep(400 * time.Millisecond) // the first stream goes on
	stopAt := time.Now()
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	answers := make([]chan answer, len(requests))
	for i, r := range requests {
		time.Sleep(time.Until(stopAt.Add(min(r.after, 2800*time.Millisecond))))
		if !r.keepsConn {
			connectFor(i)
		}
		answers[i] = make(chan answer, 1)
		go func() {
			if r.keepsConn {
				if first := <-begun; !first.isWhole() {
					answers[i] <- first
					return
				}
			}
			time.Sleep(time.Until(stopAt.Add(r.after)))
			answers[i] <- conns[i].post(r.path)
		}()
	}
	for i, r := range requests {
		a := <-answers[i]
		t.Logf("%s, %v after the stop: status %d, error %v", r.name, r.after, a.status, a.err)
		if r.served {
			assert.Check(t, a.isWhole(), "%s: status %d, body %q, %v", r.name, a.status, a.body, a.err)
		} else {
			assert.Check(t, a.isWhole() || a.isRefusal(), "%s: status %d, body %q, %v", r.name, a.status, a.body, a.err)
		}
	}
	assert.NilError(t, <-g.exited)
}
