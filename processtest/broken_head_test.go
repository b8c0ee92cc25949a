package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetworker"
)

// headEngine is an engine that runs as a process and has room for all requests of a test.
type headEngine struct{ unframedEngine }

// start starts the process and waits until it accepts connections.
func (e *headEngine) start(id string) {
	e.deployment.t.Helper()
	e.startWith(id, "--slots", "512", "--events", "3", "--gap", "1ms")
}

// TestHeadsOfKilledEngineAreNoAnswers kills an engine that has stopped in the heads of many
// responses, after each byte of a head. None of them may look complete to its caller.
func TestHeadsOfKilledEngineAreNoAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *headEngine, g *gatewayProcess)
	}{
		{"killed", func(e *headEngine, _ *gatewayProcess) { e.kill() }},
		{"started again under its identifier before the gateway looks", func(e *headEngine, g *gatewayProcess) {
			whileStopped(t, g, func() {
				e.kill()
				e.start("i-9")
			})
		}},
	} {
		for _, framing := range []string{fleetworker.StallFramedHead, fleetworker.StallUnframedHead} {
			t.Run(c.name+"/"+framing, func(t *testing.T) {
				d := newGatewayDeployment(t)
				d.putKey("op/config", `{"version":7,"routes":[
					{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":1},
					{"name":"o","host":"h","path_prefix":"/y/","kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":1}],
					"services":[{"name":"llm","health_path":"/health","max_conns":1000,"engine":{"kv_capacity_tokens":1000000,"models":[{"name":"m"}]}}],
					"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
					"tenants":[{"name":"t","api_keys":["key"]}]}`)
				e := &headEngine{unframedEngine{deployment: d, address: freeAddr(t)}}
				e.start("i-9")
				g := d.startGateway("front-1")
				waitUntilStreamed(t, g)
				var mu sync.Mutex
				statuses := map[int]int{}
				var callers sync.WaitGroup
				head, _ := fleetworker.StalledHead("/"+framing+"0", "head-000")
				bytes := len(head)
				if framing == fleetworker.StallUnframedHead {
					bytes++ // a whole head, and no body
				}
				for n := range bytes {
					path := fmt.Sprint([]string{"/x/", "/y/"}[n%2], framing, n)
					callers.Go(func() {
						status := g.sendOnce(path, fmt.Sprintf("head-%03d", n))
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
						assert.Check(t, status != http.StatusOK, "%s is whole", path)
					})
				}
				time.Sleep(time.Second)
				c.end(e, g)
				callers.Wait()
				t.Logf("statuses of %d requests: %v", bytes, statuses)
				assert.Check(t, statuses[http.StatusBadGateway] > bytes/2, "few requests have reached the engine")
			})
		}
	}
}
