package processtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetworker"
)

// crashTiming is how an endpoint crashes.
type crashTiming struct {
	delay   time.Duration // from the beginning of a run that crashes it to its end
	restart time.Duration // how long it is away
}

// quickCrash ends an endpoint at once, and brings it back soon.
var quickCrash = crashTiming{restart: 150 * time.Millisecond}

// crashableEndpoint is an endpoint that requests with fleetworker.CrashBody or
// fleetworker.CrashPart crash. It comes back under a new ID.
type crashableEndpoint struct {
	deployment *gatewayDeployment
	name       string
	timing     crashTiming
	options    fleetworker.Options // of each incarnation, apart from its ID

	mu     sync.Mutex
	starts int
	server *httptest.Server
	all    []*fleetworker.Server
	// endedID is the identifier of the latest incarnation that has crashed.
	endedID   string
	crashedAt []time.Time
}

// crashableApp are the options of an endpoint of the service app.
var crashableApp = fleetworker.Options{Service: "app", Slots: 8, MaxQueued: 16, WorkTime: 10 * time.Millisecond}

func (d *gatewayDeployment) startCrashableEndpoint(name string, timing crashTiming, o fleetworker.Options) *crashableEndpoint {
	e := &crashableEndpoint{deployment: d, name: name, timing: timing, options: o}
	e.start()
	d.t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *crashableEndpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	id := fmt.Sprintf("i-%s-%d", e.name, e.starts)
	o := e.options
	o.ID, o.Crash = id, func() { e.crash(id) }
	worker := fleetworker.New(o)
	e.all = append(e.all, worker)
	e.server = httptest.NewServer(worker)
	e.deployment.putKey("servers/"+id, string(worker.Entry(e.server.Listener.Addr().String(), "z", 1)))
}

// crash ends the endpoint and starts it again. The entry of the one that has crashed stays,
// as it does until its lease ends. Of several runs that crash it, the first ends it.
func (e *crashableEndpoint) crash(id string) {
	time.Sleep(e.timing.delay)
	e.mu.Lock()
	server, ended := e.server, e.endedID == id
	if !ended {
		e.endedID, e.crashedAt = id, append(e.crashedAt, time.Now())
	}
	e.mu.Unlock()
	if ended {
		return
	}
	server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(e.timing.restart, func() {
		e.deployment.deleteKey("servers/" + id)
		e.start()
	})
}

// crashingRuns returns the runs that have crashed the endpoint, or came to one that another
// run was about to crash.
func (e *crashableEndpoint) crashingRuns() []fleetworker.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []fleetworker.Run
	for _, w := range e.all {
		for _, r := range w.Runs() {
			if r.Crashes {
				list = append(list, r)
			}
		}
	}
	return list
}

// crashTimes returns when the endpoint has crashed.
func (e *crashableEndpoint) crashTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashedAt)
}

// crashDeployment is a deployment with three endpoints that a request can crash.
type crashDeployment struct {
	*gatewayDeployment
	endpoints []*crashableEndpoint
	sent      atomic.Int64
}

func newCrashDeployment(t *testing.T, timing crashTiming) *crashDeployment {
	d := &crashDeployment{gatewayDeployment: newGatewayDeployment(t)}
	d.putKey("op/config", `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"idempotent","timeout_ms":3000,
		"target_latency_ms":300,"priority":0,"service":"app","max_attempts":2}],
		"services":[{"name":"app","health_path":"/health","max_conns":50}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	for _, name := range []string{"a", "b", "c"} {
		d.endpoints = append(d.endpoints, d.startCrashableEndpoint(name, timing, crashableApp))
	}
	return d
}

// crashes returns the number of runs that have crashed endpoints.
func (d *crashDeployment) crashes() int {
	n := 0
	for _, e := range d.endpoints {
		n += len(e.crashingRuns())
	}
	return n
}

// call sends a request under a new attempt identifier and returns the answer's status and
// Retry-After, 0 and "" without an answer.
func (d *crashDeployment) call(g *gatewayProcess, path, body string) (status int, retryAfter string) {
	d.t.Helper()
	attempt := d.sent.Add(1)
	r, err := http.NewRequest(http.MethodPost, "http://"+g.frontAddr+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", fmt.Sprint("attempt-", attempt))
	r.Header.Set("Authorization", "Bearer key")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	return res.StatusCode, res.Header.Get("Retry-After")
}

// waitUntilServed waits until a request that crashes nothing is answered.
func (d *crashDeployment) waitUntilServed(g *gatewayProcess) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		status, _ := d.call(g, "/x/innocent", "harmless")
		if status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("status %d", status)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// Bounds of the users for a request that crashes endpoints.
const (
	crashesBeforeLimit = 3 // endpoints that it may crash before it is limited
	crashNoticeTime    = 3 * time.Second
	maxCrashRetries    = 3 // how often it may reach endpoints after crashNoticeTime
)

// TestCrashingRequestIsNotSentOn sends a request that crashes each endpoint at one gateway
// after the other, under a new attempt identifier each time, as its caller does. Later
// than crashNoticeTime after it has crashed the third endpoint, it may reach endpoints
// maxCrashRetries times at most, also from a gateway that has started since. Other
// requests are served.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	d := newCrashDeployment(t, quickCrash)
	gateways := []*gatewayProcess{d.startGateway("front-1"), d.startGateway("front-2")}
	for _, g := range gateways {
		d.waitUntilServed(g)
	}
	crashing := func(g *gatewayProcess) (int, string) { return d.call(g, "/x/1", fleetworker.CrashBody+" it") }
	for n := 0; d.crashes() < crashesBeforeLimit; n++ {
		crashing(gateways[n%len(gateways)])
		d.waitUntilServed(gateways[(n+1)%len(gateways)])
	}
	gateways = append(gateways, d.startGateway("front-3"))
	time.Sleep(crashNoticeTime)
	for _, g := range gateways {
		d.waitUntilServed(g)
	}
	before := d.crashes()
	for n := range 12 {
		status, retryAfter := crashing(gateways[n%len(gateways)])
		t.Logf("request %d: status %d, Retry-After %q, %d endpoints crashed", n, status, retryAfter, d.crashes())
		d.waitUntilServed(gateways[(n+1)%len(gateways)])
	}
	assert.Check(t, d.crashes()-before <= maxCrashRetries, "crashed %d endpoints more", d.crashes()-before)
}

// TestCrashingRequestStaysRefusedAfterAllGatewaysAreKilled has a request crash endpoints
// until it is refused, kills all gateways, and sends it to a new one: it must not be sent
// on.
func TestCrashingRequestStaysRefusedAfterAllGatewaysAreKilled(t *testing.T) {
	d := newCrashDeployment(t, quickCrash)
	first, second := d.startGateway("front-1"), d.startGateway("front-2")
	gateways := []*gatewayProcess{first, second}
	crashing := func(g *gatewayProcess) { d.call(g, "/x/1", fleetworker.CrashBody+" it") }
	for n := 0; d.crashes() < crashesBeforeLimit; n++ {
		crashing(gateways[n%2])
		d.waitUntilServed(gateways[(n+1)%2])
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if entries, _, _ := d.storeContent.Range("redwingknot/suspects/", "redwingknot/suspects0", 0); len(entries) > 0 {
			return poll.Success()
		}
		return poll.Continue("the refusal is not saved")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
	for _, g := range gateways {
		assert.NilError(t, g.cmd.Process.Kill())
		<-g.exited
	}
	third := d.startGateway("front-3")
	d.waitUntilServed(third)
	time.Sleep(crashNoticeTime)
	before := d.crashes()
	for range 5 {
		crashing(third)
		d.waitUntilServed(third)
	}
	assert.Equal(t, d.crashes(), before)
}

// callAtOnce sends copies of a request, each under an attempt identifier of its own, at the
// same time, at one gateway after the other, and waits for the answers.
func (d *crashDeployment) callAtOnce(gateways []*gatewayProcess, copies int, path, body string) {
	var calls sync.WaitGroup
	for n := range copies {
		calls.Go(func() { d.call(gateways[n%len(gateways)], path, body) })
	}
	calls.Wait()
}

// TestCrashingRequestThatComesInWavesIsNotSentOn sends copies of a request that crashes
// endpoints at the same time, so that all endpoints are gone at once and come back
// together, later than crashNoticeTime after the third crash. The copies that come then may
// reach endpoints maxCrashRetries times at most.
func TestCrashingRequestThatComesInWavesIsNotSentOn(t *testing.T) {
	const waves, copies = 3, 8
	d := newCrashDeployment(t, crashTiming{delay: 100 * time.Millisecond, restart: crashNoticeTime + 500*time.Millisecond})
	gateways := []*gatewayProcess{d.startGateway("front-1"), d.startGateway("front-2")}
	for _, g := range gateways {
		d.waitUntilServed(g)
	}
	d.callAtOnce(gateways, copies, "/x/1", fleetworker.CrashBody+" it")
	first := d.crashes()
	assert.Assert(t, first >= crashesBeforeLimit, "%d runs crashed endpoints", first)
	for range waves {
		for _, g := range gateways {
			d.waitUntilServed(g)
		}
		d.callAtOnce(gateways, copies, "/x/1", fleetworker.CrashBody+" it")
		t.Logf("%d runs crashed endpoints", d.crashes())
	}
	assert.Check(t, d.crashes()-first <= maxCrashRetries, "reached endpoints %d times more", d.crashes()-first)
}
