package processtest

import (
	"fmt"
	"net"
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
}

// start starts the process and waits until it accepts connections.
func (e *unframedEngine) start(id string) {
	e.deployment.t.Helper()
	e.startCommand(exec.Command(filepath.Join(binaryDir, "standin"), "fleetworker", "--listen", e.address, "--store", e.deployment.storeAddr, "--zone", "z",
		"--id", id, "--service", "llm", "--model", "m", "--slots", "32", "--events", fmt.Sprint(unframedStreamEvents), "--gap", "50ms", "--unframed"))
}

// startCommand starts the process by a command and waits until it accepts connections.
func (e *unframedEngine) startCommand(cmd *exec.Cmd) {
	t := e.deployment.t
	t.Helper()
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		_ = cmd.Wait()
	})
	e.cmd = cmd
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp4", e.address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		c.Close()
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

// kill ends the process as a crash does.
func (e *unframedEngine) kill() {
	assert.NilError(e.deployment.t, e.cmd.Process.Kill())
	_ = e.cmd.Wait() // reports the signal
}

// leave has the entry of an engine say that it leaves.
func (d *gatewayDeployment) leave(id string) {
	d.t.Helper()
	entry, err := d.storeContent.Get("servers/" + id)
	assert.NilError(d.t, err)
	leaving := strings.Replace(string(entry.Value), `"ready"`, `"draining"`, 1)
	assert.NilError(d.t, fleetstore.Put(d.storeContent, "servers/"+id, []byte(leaving)))
}

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
			d.putKey("op/config", `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,
				"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":1}],
				"services":[{"name":"llm","health_path":"/health","max_conns":200,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
				"tenants":[{"name":"t","api_keys":["key"]}]}`)
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
