package processtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
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
)

// unframedStreamEvents are the events in a stream of an unframedEngine, which lasts for five
// seconds.
const unframedStreamEvents = 100

// unframedEngine is an engine that runs as a process and whose responses end with their
// connection.
type unframedEngine struct {
	deployment *gatewayDeployment
	address    string
	cmd        *exec.Cmd
	exited     <-chan struct{} // closed when the process has exited
	hasRun     bool            // the address is known to gateways
}

// start starts the process and waits until it answers. If another process has taken the port of
// an engine that has not run yet, it is started with another one.
func (e *unframedEngine) start(id string) {
	e.deployment.t.Helper()
	e.startWith(id, "--slots", "32", "--events", fmt.Sprint(unframedStreamEvents), "--gap", "50ms", "--unframed")
}

// startWith is start with other options of the stand-in.
func (e *unframedEngine) startWith(id string, options ...string) {
	t := e.deployment.t
	t.Helper()
	for ; ; e.address = freeAddr(t) {
		exit := e.launch(id, options)
		if exit == "" {
			e.hasRun = true
			return
		}
		if e.hasRun || !strings.Contains(exit, "address already in use") {
			t.Fatalf("the engine has exited: %s", exit)
		}
		t.Logf("another process has taken the port of engine %s; it is started with another", id)
	}
}

// launch starts the process and waits until it answers. If it exits before, launch returns what
// it wrote.
func (e *unframedEngine) launch(id string, options []string) (exit string) {
	t := e.deployment.t
	t.Helper()
	args := []string{"fleetworker", "--listen", e.address, "--store", e.deployment.storeAddr, "--zone", "z", "--id", id, "--service", "llm", "--model", "m"}
	cmd := exec.Command(filepath.Join(binaryDir, "standin"), append(args, options...)...)
	var output keptOutput
	cmd.Stdout, cmd.Stderr = &output, &output
	assert.NilError(t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // reports the signal
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		<-exited
	})
	e.cmd, e.exited = cmd, exited
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-exited:
			exit = "exited: " + output.String()
			return poll.Success()
		default:
		}
		if err := e.answers(id); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	return exit
}

// answers returns an error unless the engine of an identifier answers at the address.
func (e *unframedEngine) answers(id string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.address+"/redwingknot/report", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Expect-Instance", id)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	return nil
}

// kill ends the process as a crash does.
func (e *unframedEngine) kill() {
	assert.NilError(e.deployment.t, e.cmd.Process.Kill())
	<-e.exited
}

// TestEngineTakesAnotherPort guards against an engine that is taken for running because another
// process accepts connections at its address.
func TestEngineTakesAnotherPort(t *testing.T) {
	taken := httptest.NewServer(http.NotFoundHandler())
	defer taken.Close()
	e := &unframedEngine{deployment: newGatewayDeployment(t), address: taken.Listener.Addr().String()}
	e.start("i-9")
	assert.Check(t, e.address != taken.Listener.Addr().String())
	assert.NilError(t, e.answers("i-9"))
	e.deployment.putKey("op/config", unframedConfig)
	waitUntilStreamed(t, e.deployment.startGateway("front-1"))
}

// leave has the entry of an engine say that it leaves.
func (d *gatewayDeployment) leave(id string) {
	d.t.Helper()
	entry, err := d.storeContent.Get("servers/" + id)
	assert.NilError(d.t, err)
	leaving := strings.Replace(string(entry.Value), `"ready"`, `"draining"`, 1)
	assert.NilError(d.t, fleetstore.Put(d.storeContent, "servers/"+id, []byte(leaving)))
}

const unframedConfig = `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,
	"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":1}],
	"services":[{"name":"llm","health_path":"/health","max_conns":200,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"t","api_keys":["key"]}]}`

// drainTime is how long endpoints serve after they have announced that they leave.
const drainTime = 2 * time.Second

// TestUnframedStreamsOfKilledEngineAreNotComplete kills an engine in the middle of streams that
// end with their connections. None of them may look complete to its caller.
func TestUnframedStreamsOfKilledEngineAreNotComplete(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *unframedEngine, g *gatewayProcess)
	}{
		{"killed", func(e *unframedEngine, _ *gatewayProcess) { e.kill() }},
		{"started again under its identifier before the gateway looks", func(e *unframedEngine, g *gatewayProcess) {
			whileStopped(t, g, func() {
				e.kill()
				e.start("i-9")
			})
		}},
		{"started again under another identifier before the gateway looks", func(e *unframedEngine, g *gatewayProcess) {
			whileStopped(t, g, func() {
				e.kill()
				e.start("i-10")
			})
		}},
		{"killed when its drain time is over", func(e *unframedEngine, _ *gatewayProcess) {
			e.deployment.leave("i-9")
			time.Sleep(drainTime + 500*time.Millisecond)
			e.kill()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newGatewayDeployment(t)
			d.putKey("op/config", unframedConfig)
			e := &unframedEngine{deployment: d, address: freeAddr(t)}
			e.start("i-9")
			g := d.startGateway("front-1")
			waitUntilStreamed(t, g)
			var streams []*streamOf
			var readers sync.WaitGroup
			for n := range streamsPerTest {
				s := &streamOf{path: fmt.Sprint("/x/", n)}
				streams = append(streams, s)
				readers.Go(func() { _ = s.read(g, fmt.Sprint("begin-", n)) }) // a refused stream has not begun
			}
			time.Sleep(500 * time.Millisecond)
			c.end(e, g)
			readers.Wait()
			began, complete := 0, 0
			for _, s := range streams {
				if s.count() > 0 {
					began++
				}
				if s.whole && s.count() < unframedStreamEvents {
					complete++
				}
			}
			assert.Check(t, began > 0, "no stream began")
			assert.Equal(t, complete, 0, "half streams that look complete, of %d", began)
		})
	}
}

// whileStopped calls f while a gateway is stopped.
func whileStopped(t *testing.T, g *gatewayProcess, f func()) {
	t.Helper()
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGSTOP))
	defer func() { assert.NilError(t, g.cmd.Process.Signal(syscall.SIGCONT)) }()
	f()
}
