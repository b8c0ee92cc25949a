package processtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/load"
	"redwingknot/operator"
	"redwingknot/serve"
)

const (
	operatorToken = "operators"
	teamToken     = "team-token"
	sharedKey     = "process-test-shared-key"
	// waitTimeout is the time limit of every wait. It matters only in a failing
	// run: a wait ends as soon as its condition holds.
	waitTimeout = 90 * time.Second
)

// binaryDir is the directory that TestMain builds the programs into.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildBinariesAndRunTests(m))
}

// buildBinariesAndRunTests builds the programs into a temporary directory, runs
// the tests and returns their exit code.
func buildBinariesAndRunTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../cmd/entryd", "../cmd/gatewayd", "../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// process is a program that a test has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// entryDeployment is a deployment of entry instances whose instances, engines,
// applications and key-value service run as processes.
type entryDeployment struct {
	t         *testing.T
	processes map[string]*process
	// kvsURL is the URL of the key-value service that new entry instances use.
	kvsURL string
	// urls holds the URLs of entry instances and stand-ins by name and, under
	// NAME + " peer", the peer address of the entry instance NAME.
	urls      map[string]string
	peerAddrs []string // peer addresses of all entry instances started so far
	logDir    string   // directory of the processes' logs
}

// newEntryDeployment starts a key-value service. All processes of the deployment
// are killed at the end of the test.
func newEntryDeployment(t *testing.T) *entryDeployment {
	d := &entryDeployment{t: t, processes: map[string]*process{}, urls: map[string]string{}, logDir: t.TempDir()}
	t.Cleanup(d.killAll)
	d.kvsURL = d.startStandin("kvs", "kvs")
	return d
}

// Ports of freeAddr. They are below those that the kernel chooses for outgoing connections and
// for listeners without a port, which could take a port before the process listens on it.
const (
	firstFreePort  = 12000
	freePortsCount = 20000
)

// freeAddr returns a loopback address with a port that was free at the call.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePortsCount)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		assert.NilError(t, err)
		defer l.Close()
		return l.Addr().String()
	}
}

// startProcess starts a program from binaryDir, with its output in the log file
// of the given name.
func (d *entryDeployment) startProcess(name, program string, args ...string) *process {
	d.t.Helper()
	logFile, err := os.Create(filepath.Join(d.logDir, name+".log"))
	assert.NilError(d.t, err)
	defer logFile.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaryDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	assert.NilError(d.t, p.cmd.Start())
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	d.processes[name] = p
	return p
}

// startStandin starts a stand-in of the given kind, waits until it accepts
// connections and returns its URL.
func (d *entryDeployment) startStandin(name, kind string, args ...string) string {
	d.t.Helper()
	addr := freeAddr(d.t)
	d.startProcess(name, "standin", append([]string{kind, "--listen", addr}, args...)...)
	d.urls[name] = "http://" + addr
	d.waitFor("connections accepted by "+name, func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return d.urls[name]
}

// startEntry starts an entry instance. If the name was used before, the new
// instance is a replacement at the same addresses.
func (d *entryDeployment) startEntry(name, dataCentre string, args ...string) {
	d.t.Helper()
	listen, ok := strings.CutPrefix(d.urls[name], "http://")
	peerAddr := d.urls[name+" peer"]
	if !ok {
		listen, peerAddr = freeAddr(d.t), freeAddr(d.t)
		d.urls[name], d.urls[name+" peer"] = "http://"+listen, peerAddr
		d.peerAddrs = append(d.peerAddrs, peerAddr)
	}
	allArgs := append([]string{
		"--id", name, "--data-centre", dataCentre, "--listen", listen, "--peer-listen", peerAddr, "--peer-advertise", peerAddr,
		"--seeds", strings.Join(d.peerAddrs, ","), "--platform", d.kvsURL, "--shared-key", sharedKey,
		"--operator-hash", serve.HashToken(operatorToken), "--claim-interval", "5ms",
	}, args...)
	d.startProcess(name, "entryd", allArgs...)
}

func (d *entryDeployment) signal(name string, sig syscall.Signal) {
	d.t.Helper()
	assert.NilError(d.t, d.processes[name].cmd.Process.Signal(sig))
}

// pause stops a process with SIGSTOP and waits until all its threads have stopped: a
// process goes on running for some milliseconds after the signal was sent.
func (d *entryDeployment) pause(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGSTOP)
	pid := d.processes[name].cmd.Process.Pid
	d.waitFor(name+" is stopped", func() bool { return allThreadsStopped(d.t, pid) })
}

// allThreadsStopped reports whether the kernel lists every thread of a process as
// stopped.
func allThreadsStopped(t *testing.T, pid int) bool {
	t.Helper()
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	assert.NilError(t, err)
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has ended; the next call lists the others
		}
		// The state follows the name of the program, which is in parentheses.
		_, fields, found := strings.Cut(string(stat), ") ")
		assert.Assert(t, found, "%s: %s", path, stat)
		if !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return len(paths) > 0
}

// kill kills a process and waits until it has exited.
func (d *entryDeployment) kill(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	<-d.processes[name].done
}

// killAll kills every process of the deployment, paused ones too, and prints the
// ends of their logs if the test failed.
func (d *entryDeployment) killAll() {
	for _, p := range d.processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.done
	}
	if d.t.Failed() {
		d.printLogTails()
	}
}

// printLogTails prints the last 2000 bytes of each process's log.
func (d *entryDeployment) printLogTails() {
	const tailBytes = 2000
	for name := range d.processes {
		text, _ := os.ReadFile(filepath.Join(d.logDir, name+".log"))
		d.t.Logf("%s: %s", name, text[max(0, len(text)-tailBytes):])
	}
}

// waitFor polls met every 50 ms until it returns true, and fails the test after
// waitTimeout. The text of condition appears in the failure.
func (d *entryDeployment) waitFor(condition string, met func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if met() {
			return poll.Success()
		}
		return poll.Continue("waiting for: %s", condition)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// operatorClient returns an operator's client for the given entry instances.
func (d *entryDeployment) operatorClient(entries ...string) *operator.Client {
	c := &operator.Client{Token: operatorToken, HTTP: &http.Client{Timeout: 5 * time.Second}}
	for _, e := range entries {
		c.URLs = append(c.URLs, d.urls[e])
	}
	return c
}

// submitNote submits a note through an entry instance until it is accepted, and
// returns its number. It doesn't wait until the note is in force elsewhere; see
// waitForNote.
func (d *entryDeployment) submitNote(entry, text string) uint64 {
	d.t.Helper()
	c := d.operatorClient(entry)
	var head uint64
	d.waitFor("the note is accepted", func() bool {
		status, err := c.Status(d.t.Context())
		if err != nil {
			return false
		}
		head, err = c.SubmitNote(d.t.Context(), status.Head, []byte(text))
		if err != nil {
			d.t.Logf("submit note: %v", err)
		}
		return err == nil
	})
	return head
}

// waitForNote waits until each of the given entry instances is ready and has the
// notes up to number head in force.
func (d *entryDeployment) waitForNote(head uint64, entries ...string) {
	d.t.Helper()
	for _, e := range entries {
		d.waitFor(fmt.Sprintf("%s is ready with note %d in force", e, head), func() bool {
			status, err := d.operatorClient(e).Status(d.t.Context())
			return err == nil && status.Head >= head && status.Ready
		})
	}
}

// ask sends a prompt through an entry instance and returns the answer.
func (d *entryDeployment) ask(entry, text string) (load.Answer, error) {
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	return load.SendPrompt(ctx, http.DefaultClient, d.urls[entry], teamToken, load.Prompt{Service: "llm", Text: text})
}

// waitUntilServing waits until a prompt through an entry instance is answered.
func (d *entryDeployment) waitUntilServing(entry string) {
	d.t.Helper()
	d.waitFor(entry+" answers a prompt", func() bool {
		_, err := d.ask(entry, "ready")
		return err == nil
	})
}

// callNonIdempotent makes a call that must not run twice, with key as its
// idempotency key, and returns the status and the body of the response. Without a
// complete response it returns status 0 and the text of the error.
func (d *entryDeployment) callNonIdempotent(entry, key, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, d.urls[entry]+"/svc/app/certificates", strings.NewReader(body))
	assert.NilError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+teamToken)
	req.Header.Set(serve.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// fetch returns the body of a stand-in's response to a GET of path, or "" if
// there was no response.
func (d *entryDeployment) fetch(name, path string) string {
	resp, err := http.Get(d.urls[name] + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// setKVSFaults sets the faults that the key-value service simulates, a JSON object.
func (d *entryDeployment) setKVSFaults(body string) {
	d.t.Helper()
	resp, err := http.Post(d.kvsURL+"/fault", "application/json", bytes.NewReader([]byte(body)))
	assert.NilError(d.t, err)
	resp.Body.Close()
}

// startEndpointsWithNote starts two engines and an application in each data centre
// and returns the first release note, which configures them. One of the two engines
// checks fencing tokens.
func (d *entryDeployment) startEndpointsWithNote(dataCentres ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `title: First
add:
  models: [{name: m, version: v1, pieceBytes: 8000, blockBytes: 65536}]
  classes: [{name: question, worth: 1, firstIn: 5s, deadline: 30s}]
  services:
    - {name: llm, kind: model, model: m, loadsAtOnce: 1}
    - {name: app, kind: plain, calls: [{method: POST, path: /certificates, class: question, idempotency: non-idempotent}]}
  teams: [{name: t, tokenHash: %s, services: [llm, app], classes: [question], rate: 1000, burst: 1000}]
  endpoints:
`, serve.HashToken(teamToken))
	for _, dc := range dataCentres {
		for i := range 2 {
			name := fmt.Sprintf("engine-%s-%d", dc, i)
			checksFencing := i == 0
			url := d.startStandin(name, "engine", "--model", "m", "--version", "v1", "--token-every", "5ms", "--answer-tokens", "20",
				"--load-time", "100ms", fmt.Sprintf("--checks-fencing=%t", checksFencing))
			fmt.Fprintf(&b, "    - {name: %s, dataCentre: %s, service: llm, url: %q, slots: 8, checksFencing: %t}\n", name, dc, url, checksFencing)
		}
		name := "app-" + dc
		fmt.Fprintf(&b, "    - {name: %s, dataCentre: %s, service: app, url: %q, slots: 8}\n", name, dc, d.startStandin(name, "app", "--delay", "300ms"))
	}
	return b.String()
}

// findLeader returns how many of the given entry instances report that they are
// the leader of their data centre, and the name of the last one of these.
func (d *entryDeployment) findLeader(entries ...string) (string, int) {
	name, leaders := "", 0
	for _, e := range entries {
		status, err := d.operatorClient(e).Status(d.t.Context())
		if err == nil && status.Lead {
			name = e
			leaders++
		}
	}
	return name, leaders
}
