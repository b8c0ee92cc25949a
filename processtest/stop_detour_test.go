package processtest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/soak"
	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

const (
	detourCallTime = 1500 * time.Millisecond
	detourEvents   = 10
	detourCallers  = 12
	// detourNoticeTime is the time after the stop of an instance within which others may still send
	// through it.
	detourNoticeTime = time.Second
)

// detourCall is a stream through a gateway that reaches its endpoint only through others.
type detourCall struct {
	sentAfter time.Duration // since an instance was told to stop
	answer    answer
}

// callLong asks for a stream that takes detourCallTime and can't be resumed.
func (d *partitionDeployment) callLong(g *gatewayProcess) answer {
	return d.callOnNewConn(g, "long", &fleetwire.Prompt{Model: "m", Input: 300, Output: 20, Parts: []string{fmt.Sprintf("%x:50", d.sent.Load())}})
}

// callOnNewConn sends a request of a route on a new connection; prompt may be nil.
func (d *partitionDeployment) callOnNewConn(g *gatewayProcess, route string, prompt *fleetwire.Prompt) answer {
	n := d.sent.Add(1)
	c := fleetwire.Call{Attempt: fmt.Sprint("a-", n), Method: http.MethodPost, Host: "h", Path: fmt.Sprintf("/%s/%d", route, n), Body: "body", Token: "key", Timeout: 8 * time.Second, Prompt: prompt}
	r, err := c.Request()
	if err != nil {
		return answer{err: err}
	}
	r.URL.Host, r.Host, r.Close = g.frontAddr, "h", true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, body: string(body), retryAfter: res.Header.Get("Retry-After"), err: err}
}

// TestStopLosesNoStreamsOfCutOffGateway stops one of two gateways through which a third one, cut off
// from the endpoints, asks for streams. Those that the third one gets after it can know of the stop
// must not be cut when the stopping gateway ends.
func TestStopLosesNoStreamsOfCutOffGateway(t *testing.T) {
	d := newPartitionDeployment(t)
	d.putLongRoute()
	for i := range 8 { // so that calls go through both instances
		d.startEndpoint(fmt.Sprint("i-l", i), fleetworker.Options{
			Service: "long", Model: "m", WeightsVersion: 1, Slots: 4, MaxQueued: 8, EventGap: detourCallTime / detourEvents, StreamEvents: detourEvents,
		})
	}
	stopping, staying := d.startGateway("front-1"), d.startGateway("front-3")
	cut, links := d.startBehindLinks("front-2")
	for _, g := range []*gatewayProcess{stopping, staying, cut} {
		d.waitUntilAllServed(g)
		assert.Equal(t, d.callLong(g).status, http.StatusOK)
	}
	var callers sync.WaitGroup
	stopAt := time.Now().Add(3 * detourCallTime)
	until := stopAt.Add(7 * time.Second) // shortly before the stopping gateway ends
	// The third one prefers instances that have lately reached endpoints.
	for g, end := range map[*gatewayProcess]time.Time{stopping: stopAt, staying: until} {
		callers.Go(func() {
			for time.Now().Before(end) {
				d.call(g, "safe")
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for _, l := range links {
		assert.NilError(t, l.SetFault(soak.LinkFault{NewConns: soak.ConnsRefused}))
		l.Reset()
	}
	d.waitUntilAllServed(cut)

	var mu sync.Mutex
	var calls []detourCall
	for i := range detourCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * detourCallTime / detourCallers)
			for time.Now().Before(until) {
				sent := time.Since(stopAt)
				a := d.callLong(cut)
				mu.Lock()
				calls = append(calls, detourCall{sent, a})
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	assert.NilError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	callers.Wait()
	assert.NilError(t, <-stopping.exited)
	served, refused := 0, 0
	for _, c := range calls {
		switch {
		case c.answer.err == nil && c.answer.status == http.StatusOK && strings.Count(c.answer.body, "\n\n") == detourEvents:
			served++
		case c.answer.isRefusal():
			refused++
		default:
			t.Logf("sent %v after the stop began: status %d, %d events, %v", c.sentAfter, c.answer.status, strings.Count(c.answer.body, "\n\n"), c.answer.err)
			assert.Check(t, c.sentAfter < detourNoticeTime, "a stream was lost that was asked for %v after the stop began", c.sentAfter)
		}
	}
	t.Logf("%d streams, %d whole, %d refused", len(calls), served, refused)
	assert.Check(t, served >= len(calls)-partitionSlack, "%d of %d streams were whole", served, len(calls))
	assert.Check(t, !strings.Contains(stopping.output.String(), "connections of other instances were cut off"))
}

// putLongRoute adds a route whose streams take detourCallTime.
func (d *partitionDeployment) putLongRoute() {
	route := func(name, kind, service string) fleetwire.Route {
		return fleetwire.Route{Name: name, Host: "h", Kind: kind, Service: service, Timeout: 4 * time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2}
	}
	long := route("long", fleetwire.Stream, "long")
	long.Timeout = 8 * time.Second
	config := fleetwire.Config{
		Version: 8, Team: "t", Tokens: []string{"key"},
		Routes: []fleetwire.Route{route("safe", fleetwire.Idempotent, "app"), route("once", fleetwire.NonIdempotent, "app"), route("flow", fleetwire.Stream, "llm"), long},
		Services: []fleetwire.Service{
			{Name: "app", MaxConns: 100}, {Name: "llm", MaxConns: 100, Model: "m", CacheTokens: 100000, TokenBytes: 1000}, {Name: "long", MaxConns: 100, Model: "m", CacheTokens: 100000, TokenBytes: 1000},
		},
	}
	d.putKey(fleetwire.ConfigKey, string(config.Encode()))
}
