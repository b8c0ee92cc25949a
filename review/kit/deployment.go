//go:build review

package main

import (
	"bytes"
	"encoding/json"
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
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/metastore/metastoretest"
)

// The ports of every machine, as a day has them. Each machine has an address of its own.
const (
	frontPort   = "8005"
	readyPort   = "8002"
	peerPorts   = "7700,7715"
	metricsPort = "9102"
)

// Settings of a small deployment, as the pages show them.
const (
	heartbeat   = 1200 * time.Millisecond
	memoryMiB   = 134
	descriptors = 4200
)

// deployment is the platform with its store, machines and workers.
type deployment struct {
	program string
	dir     string
	network string // first three numbers of all addresses
	began   time.Time

	store     *metastoretest.Store
	storeHTTP *fleetstore.Server
	storeAddr string

	mu       sync.Mutex
	record   *os.File
	hosts    int
	gateways []*gateway
	closers  []func()
}

// newDeployment starts the platform's store on addresses of the loopback network that are free.
func newDeployment(program, record string) (*deployment, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{program: path, dir: dir, record: f, began: time.Now(), store: metastoretest.NewStore(time.Now)}
	d.network = fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250))
	d.storeHTTP = fleetstore.New(d.store)
	l, err := net.Listen("tcp4", d.address()+":0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	s := &http.Server{Handler: d.storeHTTP}
	go s.Serve(l)
	d.closers = append(d.closers, func() { s.Close() })
	d.note("store listens")
	return d, nil
}

// address returns an address that nobody else has.
func (d *deployment) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts++
	return d.network + strconv.Itoa(d.hosts)
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintln(d.record, line)
	if !strings.HasPrefix(format, "  ") {
		fmt.Println(line)
	}
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	for _, f := range d.closers {
		f()
	}
	os.RemoveAll(d.dir)
	d.record.Close()
}

// put writes a key of the operator.
func (d *deployment) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := fleetstore.Put(d.store, key, data); err != nil {
		return err
	}
	d.note("operator wrote %s", key)
	return nil
}

// gateway is a machine that runs the project's gateway.
type gateway struct {
	d    *deployment
	name string
	ip   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
}

// startGateway starts the gateway of a new machine.
func (d *deployment) startGateway() (*gateway, error) {
	g := &gateway{d: d, ip: d.address()}
	g.name = "front-" + strconv.Itoa(len(d.gateways)+1)
	d.gateways = append(d.gateways, g)
	return g, g.start()
}

// start starts the gateway's process with the command of the deploy file.
func (g *gateway) start() error {
	settings := filepath.Join(g.d.dir, g.name+".conf")
	if err := os.WriteFile(settings, g.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.d.program, "--metrics-port", metricsPort)
	cmd.Env = append(os.Environ(), "REDWINGKNOT_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.starts++
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		g.d.note("%s: process %d has ended: %v", g.name, cmd.Process.Pid, err)
		close(ended)
	}()
	g.d.note("%s: process %d started", g.name, cmd.Process.Pid)
	return nil
}

// settings returns the settings file of the gateway.
func (g *gateway) settings() []byte {
	var b bytes.Buffer
	set := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	set("node_name", g.name)
	set("role", "gateway")
	set("machine_class", "front")
	set("serves", "front")
	set("ip", g.ip)
	set("zone", "za")
	set("region", "ra")
	set("listen.front", g.ip+":"+frontPort)
	set("listen.ready", g.ip+":"+readyPort)
	set("internal_ports", peerPorts)
	set("bootstrap", g.starts == 0)
	set("limits.cpu_share", 0.4)
	set("limits.cores", 1)
	set("limits.memory_mb", memoryMiB)
	set("limits.max_fds", descriptors)
	set("limits.link_mbps", "1000.0")
	set("heartbeat_ms", heartbeat.Milliseconds())
	set("fault_tolerance.machines", 2)
	for _, bound := range []string{
		"stable_window_ms=3000", "drain_ms=2000", "grace_s=8", "loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250",
		"strict_revoke=true", "revoke_ms=5000", "budget_ratio=0.2", "budget_window_s=10", "budget_slack=54", "recover_s=12",
		"fencing_required=false", "lease_ms=3000", "thaw_ms=300", "version_ms=6000", "version_all_ms=8400", "addr_reuse_s=2",
	} {
		name, value, _ := strings.Cut(bound, "=")
		set("bounds."+name, value)
	}
	set("platform.address", g.d.storeAddr)
	set("platform.form", "kv")
	set("platform.writes_per_s", 400)
	set("platform.reads_per_s", 2000)
	set("platform.history_s", 20)
	set("platform.ttl_min_ms", 1000)
	return b.Bytes()
}

// front returns the gateway's address for clients.
func (g *gateway) front() string { return g.ip + ":" + frontPort }

// kill ends the gateway's process and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, ended := g.cmd, g.ended
	g.mu.Unlock()
	_ = cmd.Process.Kill()
	<-ended
}

// statusMiB returns a line of the process's status in MiB, 0 if there is no process.
func (g *gateway) statusMiB(line string) float64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(data), line+":")
	if !ok {
		return 0
	}
	kib, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kib / 1024
}

// ready reports whether the platform's readiness check of the gateway gets 200.
func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + g.ip + ":" + readyPort + "/redwingknot/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until all gateways are ready.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == len(d.gateways) {
			d.note("all %d gateways are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready after 15 s")
}
