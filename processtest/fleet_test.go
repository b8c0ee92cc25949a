package processtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

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
	// patience bounds every wait; it only limits a failing run.
	patience = 90 * time.Second
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../cmd/entryd", "../cmd/gatewayd", "../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a deployment of processes.
type fleet struct {
	t         *testing.T
	processes map[string]*process
	kvs       string            // address of the key-value service
	urls      map[string]string // of entries, engines and the application by name
	peers     []string
	log       string // folder of the processes' logs
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, processes: map[string]*process{}, urls: map[string]string{}, log: t.TempDir()}
	t.Cleanup(f.end)
	f.kvs = f.standin("kvs", "kvs")
	return f
}

// freeAddr returns a loopback address that no one listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	out, err := os.Create(filepath.Join(f.log, name+".log"))
	assert.NilError(f.t, err)
	defer out.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(f.t, p.cmd.Start())
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	f.processes[name] = p
	return p
}

// standin starts a stand-in and returns its URL once it answers.
func (f *fleet) standin(name, kind string, args ...string) string {
	f.t.Helper()
	addr := freeAddr(f.t)
	f.start(name, "standin", append([]string{kind, "--listen", addr}, args...)...)
	f.urls[name] = "http://" + addr
	f.wait("listening "+name, func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return f.urls[name]
}

// entry starts an entry instance; under a name used before it is a replacement
// at the same addresses.
func (f *fleet) entry(name, dataCentre string, args ...string) {
	f.t.Helper()
	listen, ok := strings.CutPrefix(f.urls[name], "http://")
	peer := f.urls[name+" peer"]
	if !ok {
		listen, peer = freeAddr(f.t), freeAddr(f.t)
		f.urls[name], f.urls[name+" peer"] = "http://"+listen, peer
		f.peers = append(f.peers, peer)
	}
	all := append([]string{
		"--id", name, "--data-centre", dataCentre, "--listen", listen, "--peer-listen", peer, "--peer-advertise", peer,
		"--seeds", strings.Join(f.peers, ","), "--platform", f.kvs, "--shared-key", sharedKey,
		"--operator-hash", serve.HashToken(operatorToken), "--claim-interval", "5ms",
	}, args...)
	f.start(name, "entryd", all...)
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.processes[name].cmd.Process.Signal(s))
}

func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	<-f.processes[name].done
}

// end ends every process of the fleet.
func (f *fleet) end() {
	for _, p := range f.processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.done
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

func (f *fleet) printLogs() {
	const tail = 2000
	for name := range f.processes {
		text, _ := os.ReadFile(filepath.Join(f.log, name+".log"))
		f.t.Logf("%s: %s", name, text[max(0, len(text)-tail):])
	}
}

func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for: %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

func (f *fleet) operators(entries ...string) *operator.Client {
	c := &operator.Client{Token: operatorToken, HTTP: &http.Client{Timeout: 5 * time.Second}}
	for _, e := range entries {
		c.URLs = append(c.URLs, f.urls[e])
	}
	return c
}

// submit has a note accepted and waits until it is in force everywhere.
func (f *fleet) submit(entry, text string) uint64 {
	f.t.Helper()
	c := f.operators(entry)
	var head uint64
	f.wait("note accepted", func() bool {
		s, err := c.Status(f.t.Context())
		if err != nil {
			return false
		}
		head, err = c.SubmitNote(f.t.Context(), s.Head, []byte(text))
		if err != nil {
			f.t.Logf("submit: %v", err)
		}
		return err == nil
	})
	return head
}

func (f *fleet) waitHead(head uint64, entries ...string) {
	f.t.Helper()
	for _, e := range entries {
		f.wait(fmt.Sprintf("%s at note %d", e, head), func() bool {
			s, err := f.operators(e).Status(f.t.Context())
			return err == nil && s.Head >= head && s.Ready
		})
	}
}

func (f *fleet) ask(entry, text string) (load.Answer, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	return load.SendPrompt(ctx, http.DefaultClient, f.urls[entry], teamToken, load.Prompt{Service: "llm", Text: text})
}

// waitServing waits until a prompt is answered through an entry.
func (f *fleet) waitServing(entry string) {
	f.t.Helper()
	f.wait(entry+" serves", func() bool {
		_, err := f.ask(entry, "ready")
		return err == nil
	})
}

// call makes a non-idempotent call and returns status and body; 0 if there was
// no answer.
func (f *fleet) call(entry, key, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, f.urls[entry]+"/svc/app/certificates", strings.NewReader(body))
	assert.NilError(f.t, err)
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

// fetch returns what a stand-in answers.
func (f *fleet) fetch(name, path string) string {
	resp, err := http.Get(f.urls[name] + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// fault sets the faults of the key-value service.
func (f *fleet) fault(body string) {
	f.t.Helper()
	resp, err := http.Post(f.kvs+"/fault", "application/json", bytes.NewReader([]byte(body)))
	assert.NilError(f.t, err)
	resp.Body.Close()
}

// firstNote configures two engines in each data centre and the application.
func (f *fleet) firstNote(dataCentres ...string) string {
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
			checks := i == 0
			url := f.standin(name, "engine", "--model", "m", "--version", "v1", "--token-every", "5ms", "--answer-tokens", "20",
				"--load-time", "100ms", fmt.Sprintf("--checks-fencing=%t", checks))
			fmt.Fprintf(&b, "    - {name: %s, dataCentre: %s, service: llm, url: %q, slots: 8, checksFencing: %t}\n", name, dc, url, checks)
		}
		name := "app-" + dc
		fmt.Fprintf(&b, "    - {name: %s, dataCentre: %s, service: app, url: %q, slots: 8}\n", name, dc, f.standin(name, "app", "--delay", "300ms"))
	}
	return b.String()
}

// lead returns the name of the entry that leads its data centre, and how many do.
func (f *fleet) lead(entries ...string) (string, int) {
	name, n := "", 0
	for _, e := range entries {
		s, err := f.operators(e).Status(f.t.Context())
		if err == nil && s.Lead {
			name = e
			n++
		}
	}
	return name, n
}
