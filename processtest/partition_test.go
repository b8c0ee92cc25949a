package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/soak"
	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

// partitionDeployment is a deployment in which some gateways reach the endpoints through
// links that can be cut.
type partitionDeployment struct {
	*gatewayDeployment
	workers   map[string]*fleetworker.Server // by identifier
	addresses map[string]string              // of the endpoints, by identifier
	sent      atomic.Int64
}

func newPartitionDeployment(t *testing.T) *partitionDeployment {
	d := &partitionDeployment{gatewayDeployment: newGatewayDeployment(t), workers: map[string]*fleetworker.Server{}, addresses: map[string]string{}}
	d.deleteKey("servers/i-1")
	route := func(name, kind, service string) fleetwire.Route {
		return fleetwire.Route{Name: name, Host: "h", Kind: kind, Service: service, Timeout: 4 * time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2}
	}
	config := fleetwire.Config{
		Version: 7, Team: "t", Tokens: []string{"key"},
		Routes: []fleetwire.Route{route("safe", fleetwire.Idempotent, "app"), route("once", fleetwire.NonIdempotent, "app"), route("flow", fleetwire.Stream, "llm")},
		Services: []fleetwire.Service{
			{Name: "app", MaxConns: 100}, {Name: "llm", MaxConns: 100, Model: "m", CacheTokens: 100000, TokenBytes: 1000},
		},
	}
	d.putKey(fleetwire.ConfigKey, string(config.Encode()))
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		d.startEndpoint(id, crashableApp)
	}
	for _, id := range []string{"i-x", "i-y"} {
		d.startEndpoint(id, crashableEngine)
	}
	return d
}

func (d *partitionDeployment) startEndpoint(id string, o fleetworker.Options) {
	o.ID = id
	w := fleetworker.New(o)
	server := httptest.NewServer(w)
	d.t.Cleanup(server.CloseClientConnections)
	d.workers[id], d.addresses[id] = w, server.Listener.Addr().String()
	d.putKey(fleetwire.EndpointKey(id), string(w.Entry(d.addresses[id], "z", 1)))
}

// startBehindLinks starts a gateway that reaches each endpoint through a link of its own.
func (d *partitionDeployment) startBehindLinks(name string) (*gatewayProcess, []*soak.Link) {
	var links []*soak.Link
	byID := map[string]string{}
	for id, address := range d.addresses {
		l, err := soak.NewLink(address)
		assert.NilError(d.t, err)
		d.t.Cleanup(l.Close)
		links = append(links, l)
		byID[id] = l.Addr()
	}
	store := httptest.NewServer(d.storeServer.Handler(func(key string, value []byte) []byte {
		for id, address := range byID {
			if key == fleetwire.EndpointKey(id) {
				return bytes.ReplaceAll(value, []byte(d.addresses[id]), []byte(address))
			}
		}
		return value
	}))
	d.t.Cleanup(store.CloseClientConnections)
	return d.startGatewayAt(name, store.Listener.Addr().String()), links
}

// call sends a request on a new connection and reports whether it was served.
func (d *partitionDeployment) call(g *gatewayProcess, route string) bool {
	n := d.sent.Add(1)
	c := fleetwire.Call{Attempt: fmt.Sprint("a-", n), Method: http.MethodPost, Host: "h", Path: fmt.Sprintf("/%s/%d", route, n), Body: "body", Token: "key", Timeout: 3 * time.Second}
	if route == "flow" {
		c.Prompt = &fleetwire.Prompt{Model: "m", Input: 300, Output: 20, Parts: []string{sharedPart, fmt.Sprintf("%x:50", n)}}
	}
	r, err := c.Request()
	assert.Check(d.t, err)
	r.URL.Host = g.frontAddr
	r.Host = "h"
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && fleetwire.IsResponseTo(res.Header, c.Attempt) && len(body) > 0
}

var partitionRoutes = []string{"safe", "once", "flow"}

// callAll sends requests of all routes to a gateway at an even rate and returns how many of
// them were served.
func (d *partitionDeployment) callAll(g *gatewayProcess, count int, interval time.Duration) (served int64) {
	var calls sync.WaitGroup
	var n atomic.Int64
	for i := range count {
		calls.Go(func() {
			if d.call(g, partitionRoutes[i%len(partitionRoutes)]) {
				n.Add(1)
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	return n.Load()
}

func (d *partitionDeployment) waitUntilAllServed(g *gatewayProcess) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, route := range partitionRoutes {
			if !d.call(g, route) {
				return poll.Continue("%s is not served", route)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// Bounds of the users for callers of gateways that reach no endpoints.
const (
	partitionNoticeTime = 3 * time.Second // from the beginning of the partition until they hold
	partitionSlack      = 10              // first attempts that may fail
	partitionSlackOneIn = 50              // and one in so many
)

// partitions are the forms that a partition from all endpoints takes.
var partitions = []struct {
	name  string
	fault soak.LinkFault
	reset bool
}{
	{"connections hang", soak.LinkFault{HoldToTarget: true, HoldToDialer: true, NewConns: soak.ConnsHang}, false},
	{"connections are reset", soak.LinkFault{NewConns: soak.ConnsRefused}, true},
	{"open connections live on", soak.LinkFault{NewConns: soak.ConnsRefused}, false},
}

// TestCallersOfPartitionedGatewayAreServed cuts two of three gateways off from all endpoints.
// Callers there must be served nearly as well as at the third one.
func TestCallersOfPartitionedGatewayAreServed(t *testing.T) {
	for _, c := range partitions {
		t.Run(c.name, func(t *testing.T) {
			d := newPartitionDeployment(t)
			sound := d.startGateway("front-1")
			cut := map[*gatewayProcess][]*soak.Link{}
			for _, name := range []string{"front-2", "front-3"} {
				g, links := d.startBehindLinks(name)
				cut[g] = links
				d.waitUntilAllServed(g)
			}
			d.waitUntilAllServed(sound)
			for _, links := range cut {
				for _, l := range links {
					assert.NilError(t, l.SetFault(c.fault))
					if c.reset {
						l.Reset()
					}
				}
			}
			const perGateway = 90
			var callers sync.WaitGroup
			var early, late atomic.Int64
			for g := range cut {
				callers.Go(func() { early.Add(d.callAll(g, perGateway, partitionNoticeTime/perGateway)) })
			}
			callers.Wait()
			for g := range cut {
				callers.Go(func() { late.Add(d.callAll(g, perGateway, 30*time.Millisecond)) })
			}
			callers.Wait()
			sent := int64(perGateway * len(cut))
			soundServed := d.callAll(sound, perGateway, 10*time.Millisecond)
			t.Logf("%d of %d served in the first %s, %d of %d from then on; %d of %d at the other gateway", early.Load(), sent, partitionNoticeTime, late.Load(), sent, soundServed, perGateway)
			assert.Check(t, 3*late.Load()*perGateway >= 2*soundServed*sent && sent-late.Load() <= partitionSlack+sent/partitionSlackOneIn, "%d of %d first attempts were served, %d of %d at the other gateway", late.Load(), sent, soundServed, perGateway)
			runs := map[string]int{}
			for _, w := range d.workers {
				for _, r := range w.Runs() {
					runs[r.Path]++
					assert.Check(t, runs[r.Path] == 1 || r.Path[:6] != "/once/", "%s ran twice", r.Path)
				}
			}
			for g, links := range cut {
				for _, l := range links {
					assert.NilError(t, l.SetFault(soak.LinkFault{}))
				}
				d.waitUntilAllServed(g)
				assert.NilError(t, g.cmd.Process.Signal(syscall.Signal(0)), "the gateway has ended")
			}
		})
	}
}
