package processtest

import (
	"context"
	"encoding/json"
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

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/metastore/metastoretest"
)

// worker is a model engine of the users' protocol, as far as these tests need
// it: it streams slowly, and loads weights when ordered.
type worker struct {
	*httptest.Server

	mu      sync.Mutex
	orders  []order
	version int64
	pause   time.Duration // between the events of a stream
}

type order struct {
	Version  int64  `json:"version"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fencing_token"`
	Expected *int64 `json:"expected"`
}

func newWorker(t *testing.T) *worker {
	w := &worker{version: 1}
	m := http.NewServeMux()
	m.HandleFunc("GET /redwingknot/report", w.report)
	m.HandleFunc("POST /redwingknot/order", w.order)
	m.HandleFunc("/", w.run)
	w.Server = httptest.NewServer(m)
	t.Cleanup(w.Server.CloseClientConnections)
	return w
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(rw, `{"sequence":%d,"busy":false,"models":[{"name":"m","version":%d}]}`, len(w.orders), w.version)
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Expected == nil || *o.Expected != int64(len(w.orders)) {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.orders = append(w.orders, o)
	w.version = o.Version
	rw.WriteHeader(http.StatusAccepted)
}

func (w *worker) given() []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]order(nil), w.orders...)
}

const events = 5

func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	pause := w.pause
	w.mu.Unlock()
	rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	rw.Header().Set("Response-Stamp", "mark")
	rw.Header().Set("Content-Type", "text/event-stream")
	for id := range events {
		fmt.Fprintf(rw, "id: %d\ndata: x\n\n", id)
		http.NewResponseController(rw).Flush()
		time.Sleep(pause)
	}
}

// machines is a deployment on the users' machines: a store, a worker and
// gateways as processes.
type machines struct {
	t       *testing.T
	content *metastoretest.Store
	store   *fleetstore.Server
	address string
	worker  *worker
}

func newMachines(t *testing.T) *machines {
	m := &machines{t: t, content: metastoretest.NewStore(time.Now), worker: newWorker(t)}
	m.store = fleetstore.New(m.content)
	front := httptest.NewServer(m.store)
	t.Cleanup(front.CloseClientConnections)
	m.address = front.Listener.Addr().String()
	m.put("op/config", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,
		"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1}],
		"services":[{"name":"s","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	m.list(1)
	return m
}

// put writes a key whatever it held.
func (m *machines) put(key, value string) {
	m.t.Helper()
	if e, err := m.content.Get(key); err == nil {
		_, err = m.content.Swap(key, []byte(value), e.ModRevision, 0)
		assert.NilError(m.t, err)
		return
	}
	_, err := m.content.Create(key, []byte(value), 0)
	assert.NilError(m.t, err)
}

// list writes the worker's entry with the weights that it has.
func (m *machines) list(version int64) {
	m.put("servers/i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready",
		"models":[{"name":"m","version":%d}],"sequence":90,"born":1790000000000}`, m.worker.Listener.Addr().String(), version))
}

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
	m := newMachines(t)
	g := m.gateway("front-1")
	m.worker.pause = 300 * time.Millisecond
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
	m.store.SetFault(fleetstore.Fault{Silent: true})
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
	m.list(2)
	assert.Equal(t, first.Version, int64(2))
	assert.NilError(t, byName[first.Holder].cmd.Process.Kill())
	m.put("op/version/m", `{"model":"m","version":3}`)
	second := m.awaitOrders(2)[1]
	assert.Equal(t, second.Version, int64(3))
	assert.Check(t, second.Holder != first.Holder)
	assert.Check(t, second.Fence > first.Fence)
}

// awaitOrders waits until the worker has taken so many orders.
func (m *machines) awaitOrders(n int) []order {
	m.t.Helper()
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		if len(m.worker.given()) >= n {
			return poll.Success()
		}
		return poll.Continue("%d orders", len(m.worker.given()))
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
	return m.worker.given()
}
