//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/metastore/metastoretest"
)

// errSetup is the cause of all errors that keep a case from running.
var errSetup = errors.New("the case could not run")

// world is a small deployment on loopback addresses: the platform's store, workers and gateways.
type world struct {
	root  string // of the repository
	dir   string // temporary
	store *metastoretest.Store
	addr  string // of the store
	block string // first three bytes of the gateways' addresses
	// storeOf returns the address at which the next gateway reaches the store, nil for addr.
	storeOf  func() (string, error)
	settings map[string]string // of the gateways, in place of the usual ones
	maxFiles int               // descriptors that the platform gives a process, 0 for its own limit
	dying    time.Duration     // see worker
	stride   int               // between the identifiers of two events of a stream, 0 for 1
	began    time.Time
	record   *record

	mu       sync.Mutex
	gateways []*gateway
	workers  []*worker
	nextID   int
}

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// linef adds a line with the time since the start.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store.
func newWorld(root, recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "redwingknot-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	w := &world{root: root, dir: dir, store: metastoretest.NewStore(time.Now), began: began, record: &record{began: began, file: file}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	m := http.NewServeMux()
	m.Handle("/", fleetstore.New(w.store))
	m.HandleFunc("GET /redwingknot/kv-watch", w.serveWatch)
	go http.Serve(l, m)
	return w, nil
}

// event is a change in the answer to a watch.
type event struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

// serveWatch answers a watch with all changes that there are. The project's stand-in answers with
// the first alone.
func (w *world) serveWatch(res http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		res.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	prefix := q.Get("path_prefix")
	changes, err := w.store.Watch(ctx, prefix, prefix+"\xff", after)
	if err != nil {
		res.WriteHeader(http.StatusGone)
		return
	}
	events, revision := []event{}, after
	var more <-chan time.Time
	for more == nil || len(events) > 0 {
		select {
		case c, ok := <-changes:
			if !ok && len(events) == 0 && ctx.Err() == nil {
				res.WriteHeader(http.StatusGone)
				return
			}
			if ok {
				events = append(events, event{c.Entry.Key, c.Entry.Value, c.Entry.ModRevision, c.Entry.CreateRevision, int64(c.Entry.Lease), c.Deleted})
				revision = c.Entry.ModRevision
				if more == nil {
					more = time.After(5 * time.Millisecond)
				}
				continue
			}
		case <-more:
		}
		break
	}
	res.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(res).Encode(map[string]any{"events": events, "store_revision": revision})
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.record.file.Close()
	os.RemoveAll(w.dir)
}

// put writes a key as the operator or a worker does. The return of the store is the
// acknowledgement.
func (w *world) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return fleetstore.Put(w.store, key, data)
}

// tenant is a tenant of the configuration, with one key of the same name.
type tenant struct {
	name     string
	isolated bool
}

// key returns the tenant's key.
func (t tenant) key() string { return "key-" + t.name }

// split is a route's share for a service.
type split struct {
	service string
	weight  float64
}

// config is a configuration with one host and one stream route.
type config struct {
	version  int64
	tenants  []tenant
	shares   []split
	timeout  time.Duration
	services []string
	fillers  int  // further routes, of which no test request makes use
	public   bool // the route needs no key
}

const (
	routeHost   = "review.example"
	routePrefix = "/ask/"
	modelName   = "m"
)

// encode returns the configuration as the operator writes it.
func (c config) encode() any {
	var services, tenants, shares []any
	for _, s := range c.services {
		services = append(services, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": workerSlots, "kv_capacity_tokens": 136551, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "max_concurrent": 12, "models": []any{map[string]any{"name": modelName}}},
		})
	}
	for _, t := range c.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "api_keys": []string{t.key()}, "priority": 1, "isolated": t.isolated})
	}
	for _, s := range c.shares {
		shares = append(shares, map[string]any{"service": s.service, "weight": s.weight})
	}
	route := map[string]any{
		"name": "ask", "host": routeHost, "path_prefix": routePrefix, "kind": "stream", "timeout_ms": c.timeout.Milliseconds(), "target_latency_ms": 600,
		"priority": 1, "max_attempts": 2, "public": c.public, "sticky": true, "resumable": true, "gap_aim_ms": 300,
	}
	if len(shares) == 1 {
		route["service"] = c.shares[0].service
	} else {
		route["traffic_split"] = shares
	}
	routes := []any{route}
	for i := range c.fillers {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%05d", i), "host": routeHost, "path_prefix": fillerPath(i), "kind": "stream", "timeout_ms": 10000, "target_latency_ms": 250,
			"priority": 1, "service": c.services[0], "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 300 + int(c.version),
		})
	}
	return map[string]any{
		"version": c.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// fillerPath returns the prefix of a further route.
func fillerPath(i int) string { return fmt.Sprintf("/idle%05d/", i) }

// apply writes the configuration and returns when it was acknowledged.
func (w *world) apply(c config) (time.Time, error) {
	value, err := json.Marshal(c.encode())
	if err != nil {
		return time.Time{}, err
	}
	if err := fleetstore.Put(w.store, "op/config", value); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	w.record.linef("configuration %d of %d bytes acknowledged", c.version, len(value))
	return at, nil
}

// gateway is a process of the deploy file's role.
type gateway struct {
	world *world
	name  string
	ip    string
	conf  string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// settings are those of a machine of a small deployment.
const settings = `node_name=%[1]s
role=gateway
machine_class=front
serves=front
ip=%[2]s
zone=za
region=ra
zones.za=ra
listen.front=%[2]s:8005
listen.ready=%[2]s:8002
internal_ports=7700,7715
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=134
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.recover_s=12
bounds.transit_ms=120
bounds.again_s=20
bounds.fencing_required=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.version_ms=6000
bounds.version_all_ms=8400
platform.address=%[3]s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// startGateways starts n gateways and waits until they are ready.
func (w *world) startGateways(n int) error {
	if err := w.chooseBlock(n); err != nil {
		return err
	}
	for i := range n {
		g := &gateway{world: w, name: fmt.Sprintf("front-za-%d", i+1), ip: fmt.Sprintf("%s.%d", w.block, i+1)}
		g.conf = filepath.Join(w.dir, g.name+".conf")
		if err := w.writeSettings(g); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, g := range w.gateways {
		for !g.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s does not become ready", errSetup, g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// writeSettings writes the settings file of a gateway.
func (w *world) writeSettings(g *gateway) error {
	store := w.addr
	if w.storeOf != nil {
		var err error
		if store, err = w.storeOf(); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(settings, g.name, g.ip, store)
	for name, value := range w.settings {
		before, after, _ := strings.Cut(text, name+"=")
		_, after, _ = strings.Cut(after, "\n")
		text = before + name + "=" + value + "\n" + after
	}
	return os.WriteFile(g.conf, []byte(text), 0o600)
}

// chooseBlock chooses loopback addresses at which the gateways' ports are free.
func (w *world) chooseBlock(n int) error {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range n {
			for _, port := range []int{8005, 8002, 7700, 9102} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", block, i+1, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			w.block = block
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errSetup)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command("target/gatewayd", "--metrics-port", "9102")
	if n := g.world.maxFiles; n > 0 {
		g.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/gatewayd --metrics-port 9102", n))
	}
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = g.world.root, out, out
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGKNOT_BOOT=" + g.conf}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.world.record.linef("%s starts at %s", g.name, g.ip)
	return g.cmd.Start()
}

// kill sends SIGKILL and waits for the end of the process.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	g.world.record.linef("%s gets SIGKILL", g.name)
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	g.cmd = nil
}

// restart sends SIGTERM, waits for the end of the process and starts it again.
func (g *gateway) restart() error {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	g.world.record.linef("%s gets SIGTERM", g.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	g.mu.Lock()
	killed := g.cmd == nil
	g.mu.Unlock()
	if killed {
		return nil // at the end of the case
	}
	return g.start()
}

// ended returns how the process has ended by itself, empty if it runs.
func (g *gateway) ended() string {
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(g.cmd.Process.Pid, &status, syscall.WNOHANG, nil)
	if err != nil || pid == 0 {
		return ""
	}
	return fmt.Sprintf("exit status %d, signal %d", status.ExitStatus(), status.Signal())
}

// ready reports whether the gateway answers the platform's check.
func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8002/redwingknot/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// newID returns an identifier with a prefix.
func (w *world) newID(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%s%04x%08x", prefix, w.nextID, rand.Uint32())
}

// logsOf returns the lines of a gateway's log that contain a text.
func (w *world) logsOf(g *gateway, text string) []string {
	data, _ := os.ReadFile(filepath.Join(w.dir, g.name+".log"))
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
