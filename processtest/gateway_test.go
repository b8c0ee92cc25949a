package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/metastore/metastoretest"
)

// eventsPerStream is the number of events in each of the worker's streams.
const eventsPerStream = 5

// newWorker starts a stand-in of an engine that waits eventGap between the events
// of its streams, and returns it and its address.
func newWorker(t *testing.T, eventGap time.Duration) (*fleetworker.Server, string) {
	w := fleetworker.New(fleetworker.Options{ID: "i-1", Service: "s", Slots: 8, Model: "m", WeightsVersion: 1, StreamEvents: eventsPerStream, EventGap: eventGap})
	server := httptest.NewServer(w)
	t.Cleanup(server.CloseClientConnections)
	return w, server.Listener.Addr().String()
}

// gatewayDeployment is a deployment of gateways on the users' machines. The
// metadata store and the worker run inside the test, the gateways as processes.
type gatewayDeployment struct {
	t            *testing.T
	storeContent *metastoretest.Store
	storeServer  *fleetstore.Server // serves storeContent
	storeAddr    string
	worker       *fleetworker.Server
	workerAddr   string // host:port
	grace        int    // seconds that gateways have to stop
	memoryMiB    int    // memory limit of gateways
	maxFDs       int    // descriptors that gateways may have open
	loadMillis   int    // within which wanted weights must be loaded
}

// newGatewayDeployment starts a deployment whose worker waits 1 ms between the
// events of a stream.
func newGatewayDeployment(t *testing.T) *gatewayDeployment {
	return newGatewayDeploymentWithEventGap(t, time.Millisecond)
}

// newGatewayDeploymentWithEventGap starts a metadata store and a worker, which
// waits eventGap between the events of a stream, and writes the configuration and
// the worker's entry to the store. It starts no gateway.
func newGatewayDeploymentWithEventGap(t *testing.T, eventGap time.Duration) *gatewayDeployment {
	d := &gatewayDeployment{t: t, storeContent: metastoretest.NewStore(time.Now), grace: 8, memoryMiB: 134, maxFDs: 4100, loadMillis: 6000}
	d.worker, d.workerAddr = newWorker(t, eventGap)
	d.storeServer = fleetstore.New(d.storeContent)
	server := httptest.NewServer(d.storeServer)
	t.Cleanup(server.CloseClientConnections)
	d.storeAddr = server.Listener.Addr().String()
	d.putKey("op/config", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,
		"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1}],
		"services":[{"name":"s","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	d.registerWorker()
	return d
}

// putKey writes a key of the metadata store, whatever its present value.
func (d *gatewayDeployment) putKey(key, value string) {
	d.t.Helper()
	assert.NilError(d.t, fleetstore.Put(d.storeContent, key, []byte(value)))
}

// deleteKey deletes a key of the metadata store if it is there.
func (d *gatewayDeployment) deleteKey(key string) {
	if e, err := d.storeContent.Get(key); err == nil {
		// The delete fails only if the key has been deleted already.
		_ = d.storeContent.Delete(key, e.ModRevision)
	}
}

// registerWorker writes the worker's entry, with its present state, to the
// metadata store.
func (d *gatewayDeployment) registerWorker() {
	d.putKey("servers/i-1", string(d.worker.Entry(d.workerAddr, "z", 90)))
}

// gatewayProcess is a gateway that runs as a process.
type gatewayProcess struct {
	frontAddr, readyAddr string // addresses for callers and for readiness checks
	peerAddr             string // address for other instances
	cmd                  *exec.Cmd
	exited               chan error // receives the result of cmd.Wait
	output               keptOutput // the beginning of its log
}

// startGateway starts a gateway as a process and waits until it reports that it is
// ready.
func (d *gatewayDeployment) startGateway(name string) *gatewayProcess {
	d.t.Helper()
	return d.startGatewayAt(name, d.storeAddr)
}

// startGatewayAt starts a gateway as a process that uses the metadata store at an address,
// and waits until it reports that it is ready.
func (d *gatewayDeployment) startGatewayAt(name, storeAddr string) *gatewayProcess {
	d.t.Helper()
	for {
		g := d.launchGateway(name, storeAddr)
		if exit := g.waitUntilReady(d.t); exit == "" {
			return g
		} else if !strings.Contains(exit, "address already in use") {
			d.t.Fatalf("the gateway has exited: %s", exit)
		}
		d.t.Logf("another process has taken a port of gateway %s; it is started with others", name)
	}
}

// waitUntilReady waits until the gateway reports that it is ready. If it exits before, it returns
// what the gateway wrote.
func (g *gatewayProcess) waitUntilReady(t *testing.T) (exit string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-g.exited:
			g.exited <- err
			exit = fmt.Sprintf("%v\n%s", err, g.output.String())
			return poll.Success()
		default:
		}
		if g.isReady() {
			return poll.Success()
		}
		return poll.Continue("the gateway is not ready; it has written:\n%s", g.output.String())
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	return exit
}

// maxKeptOutput bounds what is kept of a gateway's log.
const maxKeptOutput = 1 << 20

// keptOutput keeps the first bytes that are written to it. It is safe for concurrent use.
type keptOutput struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer.
func (k *keptOutput) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.text = append(k.text, p[:min(len(p), maxKeptOutput-len(k.text))]...)
	return len(p), nil
}

func (k *keptOutput) String() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return string(k.text)
}

// launchGateway starts a gateway as a process that uses the metadata store at an address.
func (d *gatewayDeployment) launchGateway(name, storeAddr string) *gatewayProcess {
	d.t.Helper()
	return d.launchGatewayWithPeerAddr(name, storeAddr, freeAddr(d.t))
}

// launchGatewayWithPeerAddr is launchGateway with an address for other instances.
func (d *gatewayDeployment) launchGatewayWithPeerAddr(name, storeAddr, peerAddr string) *gatewayProcess {
	d.t.Helper()
	g := &gatewayProcess{frontAddr: freeAddr(d.t), readyAddr: freeAddr(d.t), peerAddr: peerAddr, exited: make(chan error, 1)}
	_, internalPort, err := net.SplitHostPort(peerAddr)
	assert.NilError(d.t, err)
	settingsPath := filepath.Join(d.t.TempDir(), "boot.conf")
	settings := fmt.Sprintf(`node_name=%s
zone=z
listen.front=%s
listen.ready=%s
internal_ports=%s,%s
limits.memory_mb=%d
limits.max_fds=%d
heartbeat_ms=1200
bounds.drain_ms=2000
bounds.grace_s=%d
bounds.strict_revoke=true
bounds.revoke_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.lease_ms=300
bounds.version_ms=%d
platform.address=%s
platform.ttl_min_ms=1000
`, name, g.frontAddr, g.readyAddr, internalPort, internalPort, d.memoryMiB, d.maxFDs, d.grace, d.loadMillis, storeAddr)
	assert.NilError(d.t, os.WriteFile(settingsPath, []byte(settings), 0o600))
	g.cmd = exec.Command(filepath.Join(binaryDir, "gatewayd"))
	g.cmd.Env = append(os.Environ(), "REDWINGKNOT_BOOT="+settingsPath)
	g.cmd.Stdout, g.cmd.Stderr = &g.output, os.Stderr
	assert.NilError(d.t, g.cmd.Start())
	go func() { g.exited <- g.cmd.Wait() }()
	d.t.Cleanup(func() { g.cmd.Process.Kill() })
	return g
}

// isReady reports whether the gateway answers its readiness check with status 200.
func (g *gatewayProcess) isReady() bool {
	res, err := http.Get("http://" + g.readyAddr + "/redwingknot/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// ask sends a request with token as its API key and returns the status of the
// answer and the number of its events.
func (g *gatewayProcess) ask(token string) (status, events int, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+g.frontAddr+"/x/1", strings.NewReader("{}"))
	if err != nil {
		return 0, 0, err
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Count", "10,5")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, strings.Count(string(data), "\n\n"), err
}

// waitForStatus sends requests until one is answered with the status.
func (g *gatewayProcess) waitForStatus(t *testing.T, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, _, err := g.ask("key")
		if err == nil && status == want {
			return poll.Success()
		}
		return poll.Continue("status %d, error %v, want status %d", status, err, want)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestGatewayCompletesStreamOnSIGTERM sends SIGTERM while an answer streams: that
// answer must be complete, requests that still arrive must be served, and the
// process must exit without an error.
func TestGatewayCompletesStreamOnSIGTERM(t *testing.T) {
	d := newGatewayDeploymentWithEventGap(t, 300*time.Millisecond)
	g := d.startGateway("front-1")
	type result struct {
		status, events int
		err            error
	}
	answers := make(chan result, 1)
	go func() {
		status, events, err := g.ask("key")
		answers <- result{status, events, err}
	}()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.isReady() {
			return poll.Continue("the gateway is still ready")
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	// Requests that still arrive are served; the gateway asks their callers to close
	// the connection.
	status, events, err := g.ask("key")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, events, eventsPerStream)
	first := <-answers
	assert.NilError(t, first.err)
	assert.Equal(t, first.events, eventsPerStream)
	assert.NilError(t, <-g.exited)
}

// TestGatewayRefusesTokensDuringStoreOutage makes the metadata store unresponsive.
// The gateway must refuse every token once it can't exclude that the token has been
// revoked, and accept tokens again when the store is back. A token that is revoked
// after that is refused with status 401.
func TestGatewayRefusesTokensDuringStoreOutage(t *testing.T) {
	d := newGatewayDeployment(t)
	g := d.startGateway("front-1")
	status, _, err := g.ask("key")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	d.storeServer.SetFault(fleetstore.Fault{NoAnswer: true})
	waitForStatus(t, g, http.StatusServiceUnavailable)
	d.storeServer.SetFault(fleetstore.Fault{})
	waitForStatus(t, g, http.StatusOK)
	d.putKey("op/config", `{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","service":"s","timeout_ms":8000}],
		"services":[{"name":"s"}],"limits":{"max_body_bytes":65536},"tenants":[]}`)
	waitForStatus(t, g, http.StatusUnauthorized)
}

// TestGatewayServesAcrossReloads sends SIGHUP 20 times: each time the next request
// must be answered completely.
func TestGatewayServesAcrossReloads(t *testing.T) {
	d := newGatewayDeployment(t)
	g := d.startGateway("front-1")
	for range 20 {
		assert.NilError(t, g.cmd.Process.Signal(syscall.SIGHUP))
		status, events, err := g.ask("key")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, events, eventsPerStream)
	}
}

// waitForStatus sends requests until one is answered with status want.
func waitForStatus(t *testing.T, g *gatewayProcess, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, _, err := g.ask("key")
		if err == nil && status == want {
			return poll.Success()
		}
		return poll.Continue("status %d, error %v", status, err)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestGatewayTakesOverVersionOrders kills the gateway that ordered the worker to
// load a weight version. The other gateway must send the next order, with a higher
// fencing token.
func TestGatewayTakesOverVersionOrders(t *testing.T) {
	d := newGatewayDeployment(t)
	byName := map[string]*gatewayProcess{"front-1": d.startGateway("front-1"), "front-2": d.startGateway("front-2")}
	d.putKey("op/version/m", `{"model":"m","version":2}`)
	first := d.waitForOrders(1)[0]
	d.registerWorker()
	assert.Equal(t, first.Version, int64(2))
	assert.NilError(t, byName[first.Holder].cmd.Process.Kill())
	d.putKey("op/version/m", `{"model":"m","version":3}`)
	second := d.waitForOrders(2)[1]
	assert.Equal(t, second.Version, int64(3))
	assert.Check(t, second.Holder != first.Holder)
	assert.Check(t, second.Fence > first.Fence)
}

// waitForOrders waits until the worker has accepted n orders, and returns all that
// it has accepted.
func (d *gatewayDeployment) waitForOrders(n int) []fleetworker.Order {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if len(d.worker.Orders()) >= n {
			return poll.Success()
		}
		return poll.Continue("the worker has accepted %d orders", len(d.worker.Orders()))
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	return d.worker.Orders()
}

// TestGatewayCatchesHangupFirst checks the order in which the gateway's packages are
// initialised: SIGHUP is caught before any package of another module is, so that a
// slow start does not leave the process without a handler.
func TestGatewayCatchesHangupFirst(t *testing.T) {
	cmd := exec.Command(filepath.Join(binaryDir, "gatewayd"))
	cmd.Env = []string{"GODEBUG=inittrace=1"}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit), "without settings the gateway ends with an error: %v", err)
	for line := range strings.Lines(string(out)) {
		name, found := strings.CutPrefix(line, "init ")
		if !found {
			continue
		}
		name, _, _ = strings.Cut(name, " ")
		if name == "redwingknot/internal/hangup" {
			return
		}
		module, _, _ := strings.Cut(name, "/")
		assert.Check(t, !strings.Contains(module, ".") && module != "redwingknot", "initialised before SIGHUP is caught: %s", name)
	}
	t.Errorf("the handler of SIGHUP is not initialised:\n%s", out)
}

// TestGatewayWithoutPeerPortIsNeverReady starts a gateway whose port for other instances is taken: it
// must end, and before it serves readiness checks, so that no caller is sent to it.
func TestGatewayWithoutPeerPortIsNeverReady(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { taken.Close() })
	d := newGatewayDeployment(t)
	g := d.launchGatewayWithPeerAddr("front-1", d.storeAddr, taken.Addr().String())
	select {
	case err := <-g.exited:
		assert.ErrorContains(t, err, "exit status 1")
	case <-time.After(20 * time.Second):
		t.Errorf("the gateway runs on after 20 s")
	}
	assert.Check(t, !strings.Contains(g.output.String(), "process-started"), "%s", g.output.String())
}
