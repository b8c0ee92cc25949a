package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/internal/standin/fleetwire"
)

// Bounds that the settings of the gateways name, short so that a run of some
// seconds crosses them.
const (
	drainTime   = 2 * time.Second
	graceTime   = 5 * time.Second
	revokeTime  = 2 * time.Second
	orderLease  = 1 * time.Second
	loadTime    = 6 * time.Second
	applyTime   = 2 * time.Second
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2
	budgetSlack = 52
	leaseLeast  = 1 * time.Second
	memoryMiB   = 134
	descriptors = 4100
)

// gateway is one gateway, which may be restarted as a new process.
type gateway struct {
	name    string
	ip      string
	binary  string
	path    string   // of its settings
	log     *os.File // of all its processes
	store   *Link
	callers *Link

	mu      sync.Mutex
	process *os.Process // nil while none runs
	ended   chan struct{}
	thawed  time.Time // last end of a pause or of a fault of its link
}

func newGateway(o *Options, ip string, n int, store string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("front-%d", n+1), ip: ip, binary: o.Gatewayd}
	var err error
	if g.store, err = NewLink(store); err != nil {
		return nil, err
	}
	if g.callers, err = NewLink(net.JoinHostPort(g.ip, fleetwire.FrontPort)); err != nil {
		return nil, err
	}
	g.path = filepath.Join(o.Dir, g.name+".conf")
	settings := fleetwire.Settings{
		Name: g.name, Zone: zoneOf(n), IP: ip, StoreAddr: g.store.Addr(),
		DrainTime: drainTime, Grace: graceTime, RevokeTime: revokeTime, LeaderChangeDelay: orderLease, LoadTime: loadTime, ApplyTime: applyTime,
		MinLease: leaseLeast, RetryWindow: budgetSpan, RetryRatio: budgetRatio, RetrySlack: budgetSlack,
		MemoryMiB: memoryMiB, MaxDescriptors: descriptors,
	}
	if err := os.WriteFile(g.path, settings.Render(), 0o600); err != nil {
		return nil, err
	}
	g.log, err = os.Create(filepath.Join(o.Dir, g.name+".log"))
	return g, err
}

func zoneOf(n int) string { return []string{"za", "zb"}[n%2] }

// start starts a process unless one runs.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return nil
	}
	cmd := exec.Command(g.binary)
	cmd.Env = append(os.Environ(), fleetwire.SettingsEnv+"="+g.path)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", g.name)
	}
	ended := make(chan struct{})
	g.process, g.ended = cmd.Process, ended
	go func() {
		// How it ended shows in what callers see.
		_ = cmd.Wait()
		g.mu.Lock()
		g.process = nil
		g.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if one runs, and returns a channel that
// is closed when it has ended.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		// It may end at this moment.
		_ = g.process.Signal(s)
	}
	return g.ended
}

// stop ends the process for good.
func (g *gateway) stop() {
	if ended := g.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
	g.store.Close()
	g.callers.Close()
	g.log.Close()
}

// ready reports whether the balancer would send callers there.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + net.JoinHostPort(g.ip, fleetwire.ReadyPort) + fleetwire.ReadyPath)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gateway) noteThaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.thawed = time.Now()
}

// lastThaw returns when the gateway last came out of a pause or a cut.
func (g *gateway) lastThaw() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.thawed
}
