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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/metastore/metastoretest"
)

// events is the length of the worker's streams.
const events = 5

// newWorker returns an engine with a pause between the events of its streams.
func newWorker(t *testing.T, pause time.Duration) (*fleetworker.Server, string) {
	w := fleetworker.New(fleetworker.Options{ID: "i-1", Service: "s", Slots: 8, Model: "m", WeightsVersion: 1, StreamEvents: events, EventGap: pause})
	front := httptest.NewServer(w)
	t.Cleanup(front.CloseClientConnections)
	return w, front.Listener.Addr().String()
}

// machines is a deployment on the users' machines: a store, a worker and
// gateways as processes.
type machines struct {
	t       *testing.T
	content *metastoretest.Store
	store   *fleetstore.Server
	address string
	worker  *fleetworker.Server
	at      string // address of the worker
}

func newMachines(t *testing.T) *machines { return newSlowMachines(t, time.Millisecond) }

// newSlowMachines is newMachines with a worker that pauses between events.
func newSlowMachines(t *testing.T, pause time.Duration) *machines {
	m := &machines{t: t, content: metastoretest.NewStore(time.Now)}
	m.worker, m.at = newWorker(t, pause)
	m.store = fleetstore.New(m.content)
	front := httptest.NewServer(m.store)
	t.Cleanup(front.CloseClientConnections)
	m.address = front.Listener.Addr().String()
	m.put("op/config", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,
		"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1}],
		"services":[{"name":"s","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	m.list()
	return m
}

// put writes a key whatever it held.
func (m *machines) put(key, value string) {
	m.t.Helper()
	assert.NilError(m.t, fleetstore.Put(m.content, key, []byte(value)))
}

// list writes the worker's entry.
func (m *machines) list() { m.put("servers/i-1", string(m.worker.Entry(m.at, "z", 90))) }

// gatewayProcess is a gateway.
type gatewayProcess struct {
	front, ready string
	cmd          *exec.Cmd
	done         chan error
}

// gateway starts a gateway and waits until it is ready.
func (m *machines) gateway(name string) *gatewayProcess {
	m.t.Helper()
	g := &gatewayProcess{front: freeAddr(m.t), ready: freeAddr(m.t), done: make(chan error, 1)}
	_, peers, err := net.SplitHostPort(freeAddr(m.t))
	assert.NilError(m.t, err)
	path := filepath.Join(m.t.TempDir(), "boot.conf")
	settings := fmt.Sprintf(`node_name=%s
zone=z
listen.front=%s
listen.ready=%s
internal_ports=%s,%s
limits.memory_mb=134
limits.max_fds=4100
heartbeat_ms=1200
bounds.drain_ms=2000
bounds.grace_s=8
bounds.strict_revoke=true
bounds.revoke_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.lease_ms=300
bounds.version_ms=6000
platform.address=%s
platform.ttl_min_ms=1000
`, name, g.front, g.ready, peers, peers, m.address)
	assert.NilError(m.t, os.WriteFile(path, []byte(settings), 0o600))
	g.cmd = exec.Command(filepath.Join(binaries, "gatewayd"))
	g.cmd.Env = append(os.Environ(), "REDWINGKNOT_BOOT="+path)
	g.cmd.Stdout, g.cmd.Stderr = io.Discard, os.Stderr
	assert.NilError(m.t, g.cmd.Start())
	go func() { g.done <- g.cmd.Wait() }()
	m.t.Cleanup(func() { g.cmd.Process.Kill() })
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		if g.isReady() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
	return g
}

func (g *gatewayProcess) isReady() bool {
	res, err := http.Get("http://" + g.ready + "/redwingknot/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// ask sends a request and returns its status and the events of its answer.
func (g *gatewayProcess) ask(token string) (status, seen int, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+g.front+"/x/1", strings.NewReader("{}"))
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

// TestGatewayStopsWithoutCuttingAnAnswer sends SIGTERM while an answer runs.
func TestGatewayStopsWithoutCuttingAnAnswer(t *testing.T) {
	m := newSlowMachines(t, 300*time.Millisecond)
	g := m.gateway("front-1")
	type result struct {
		status, seen int
		err          error
	}
	answers := make(chan result, 1)
	go func() {
		status, seen, err := g.ask("key")
		answers <- result{status, seen, err}
	}()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.isReady() {
			return poll.Continue("still ready")
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	// What still comes is served, and its connection is not kept.
	status, seen, err := g.ask("key")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, seen, events)
	first := <-answers
	assert.NilError(t, first.err)
	assert.Equal(t, first.seen, events)
	assert.NilError(t, <-g.done)
}

// TestGatewayOutOfTouchHonoursNoToken takes the store away: tokens are refused
// once they may have been withdrawn, and taken again when it is back.
func TestGatewayOutOfTouchHonoursNoToken(t *testing.T) {
	m := newMachines(t)
	g := m.gateway("front-1")
	status, _, err := g.ask("key")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	m.store.SetFault(fleetstore.Fault{NoAnswer: true})
	until(t, g, http.StatusServiceUnavailable)
	m.store.SetFault(fleetstore.Fault{})
	until(t, g, http.StatusOK)
	m.put("op/config", `{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","service":"s","timeout_ms":8000}],
		"services":[{"name":"s"}],"limits":{"max_body_bytes":65536},"tenants":[]}`)
	until(t, g, http.StatusUnauthorized)
}

// TestGatewayOutlivesReloads sends SIGHUP in series.
func TestGatewayOutlivesReloads(t *testing.T) {
	m := newMachines(t)
	g := m.gateway("front-1")
	for range 20 {
		assert.NilError(t, g.cmd.Process.Signal(syscall.SIGHUP))
		status, seen, err := g.ask("key")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, seen, events)
	}
}

// until asks until the answer has a status.
func until(t *testing.T, g *gatewayProcess, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, _, err := g.ask("key")
		if err == nil && status == want {
			return poll.Success()
		}
		return poll.Continue("status %d, error %v", status, err)
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

// TestOneGatewayOrdersAndTheNextGoesOn kills the one that orders.
func TestOneGatewayOrdersAndTheNextGoesOn(t *testing.T) {
	m := newMachines(t)
	byName := map[string]*gatewayProcess{"front-1": m.gateway("front-1"), "front-2": m.gateway("front-2")}
	m.put("op/version/m", `{"model":"m","version":2}`)
	first := m.awaitOrders(1)[0]
	m.list()
	assert.Equal(t, first.Version, int64(2))
	assert.NilError(t, byName[first.Holder].cmd.Process.Kill())
	m.put("op/version/m", `{"model":"m","version":3}`)
	second := m.awaitOrders(2)[1]
	assert.Equal(t, second.Version, int64(3))
	assert.Check(t, second.Holder != first.Holder)
	assert.Check(t, second.Fence > first.Fence)
}

// awaitOrders waits until the worker has taken so many orders.
func (m *machines) awaitOrders(n int) []fleetworker.Order {
	m.t.Helper()
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		if len(m.worker.Orders()) >= n {
			return poll.Success()
		}
		return poll.Continue("%d orders", len(m.worker.Orders()))
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
	return m.worker.Orders()
}
