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

// Bounds in the settings of the gateways. They are short, so that a run of a few
// seconds exceeds them.
const (
	drainTime      = 2 * time.Second  // for which a leaving endpoint still gets requests
	graceTime      = 5 * time.Second  // from SIGTERM to SIGKILL
	revokeTime     = 2 * time.Second  // from the revocation of a token until all gateways refuse it
	orderLease     = 1 * time.Second  // least time between orders of two holders of the leader lease
	loadTime       = 6 * time.Second  // from the naming of weights until engines run them
	applyTime      = 2 * time.Second  // from the writing of a configuration until it is in force
	retryWindow    = 10 * time.Second // window of the retry budget
	retryRatio     = 0.2              // retries allowed per request within the window
	retrySlack     = 52               // retries allowed in addition to retryRatio
	minLease       = 1 * time.Second  // shortest lease of the store
	memoryMiB      = 134
	maxDescriptors = 4100
	// storeLinkBytesPerSecond is the bandwidth of the narrowest links of the users'
	// machines, 10 Mbit/s.
	storeLinkBytesPerSecond = 10e6 / 8
)

// gateway is a gateway of the run. After a restart it is a new process.
type gateway struct {
	name         string
	ip           string
	binary       string
	settingsPath string
	logFile      *os.File // output of all its processes
	storeLink    *Link    // from the gateway to the metadata store
	callerLink   *Link    // from callers to the gateway

	mu        sync.Mutex
	process   *os.Process   // nil while none runs
	exited    chan struct{} // closed when the last process has exited
	resumedAt time.Time     // end of the last pause or store link fault
	startedAt time.Time     // start of the last process

	partitions []*partitionPeriod
}

// newGateway writes the settings of gateway n, counted from 0, and returns it. store
// is the address of the metadata store.
func newGateway(o *Options, ip string, n int, store string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("front-%d", n+1), ip: ip, binary: o.Gatewayd}
	var err error
	if g.storeLink, err = NewLink(store); err != nil {
		return nil, err
	}
	g.storeLink.SetBandwidth(storeLinkBytesPerSecond)
	if g.callerLink, err = NewLink(net.JoinHostPort(g.ip, fleetwire.FrontPort)); err != nil {
		return nil, err
	}
	g.settingsPath = filepath.Join(o.Dir, g.name+".conf")
	settings := fleetwire.Settings{
		Name: g.name, Zone: zoneOf(n), IP: ip, StoreAddr: g.storeLink.Addr(),
		DrainTime: drainTime, Grace: graceTime, RevokeTime: revokeTime, LeaderChangeDelay: orderLease, LoadTime: loadTime, ApplyTime: applyTime,
		MinLease: minLease, RetryWindow: retryWindow, RetryRatio: retryRatio, RetrySlack: retrySlack,
		MemoryMiB: memoryMiB, MaxDescriptors: maxDescriptors,
	}
	if err := os.WriteFile(g.settingsPath, settings.Render(), 0o600); err != nil {
		return nil, err
	}
	g.logFile, err = os.Create(filepath.Join(o.Dir, g.name+".log"))
	return g, err
}

// zoneOf returns the zone of gateway or endpoint n.
func zoneOf(n int) string { return []string{"za", "zb"}[n%2] }

// start starts a process unless one is running.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return nil
	}
	cmd := exec.Command(g.binary)
	cmd.Env = append(os.Environ(), fleetwire.SettingsEnv+"="+g.settingsPath)
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", g.name)
	}
	exited := make(chan struct{})
	g.process, g.exited, g.startedAt = cmd.Process, exited, time.Now()
	go func() {
		// The exit status is ignored: the checks look at what callers see.
		_ = cmd.Wait()
		g.mu.Lock()
		g.process = nil
		g.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends s to the process, if one is running. It returns a channel that is
// closed when the last process has exited, or nil if none was ever started.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		// The error is ignored, because the process may exit at any time.
		_ = g.process.Signal(s)
	}
	return g.exited
}

// terminate sends SIGTERM to the process that runs now, and SIGKILL if it has not exited within
// limit, and returns when it has.
func (g *gateway) terminate(limit time.Duration) {
	process, exited := g.current()
	if process == nil {
		return
	}
	// The error is ignored, because the process may exit at any time.
	_ = process.Signal(syscall.SIGTERM)
	awaitExit(process, exited, time.After(limit))
}

// current returns the process that runs now, nil if none, and a channel that is closed when it
// has exited.
func (g *gateway) current() (*os.Process, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process, g.exited
}

// awaitExit waits until a process has exited, and kills it when limit brings a value. It leaves
// alone the gateway's next process, which an overlapping step may have started.
func awaitExit(process *os.Process, exited <-chan struct{}, limit <-chan time.Time) {
	select {
	case <-exited:
	case <-limit:
		_ = process.Kill() // fails if it has exited
		<-exited
	}
}

// stop kills the process, closes the links and closes the log file.
func (g *gateway) stop() {
	if exited := g.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
	g.storeLink.Close()
	g.callerLink.Close()
	g.logFile.Close()
}

// ready reports whether the gateway is ready, so that a load balancer would send
// callers to it.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + net.JoinHostPort(g.ip, fleetwire.ReadyPort) + fleetwire.ReadyPath)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// lastStarted returns the start of the gateway's last process.
func (g *gateway) lastStarted() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startedAt
}

// recordResume records that a pause or store link fault of the gateway has ended.
func (g *gateway) recordResume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumedAt = time.Now()
}

// lastResumed returns the end of the gateway's last pause or store link fault.
func (g *gateway) lastResumed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumedAt
}
