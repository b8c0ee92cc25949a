package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/metastore/metastoretest"
)

// Names of the deployment.
const (
	host       = "soak.example"
	model      = "m"
	engines    = "llm"
	apps       = "app"
	otherApps  = "app-two"
	team       = "ours"
	token      = "our-token"
	withdrawn  = "withdrawn-token" // until ConfigRevoke
	heartbeats = 300 * time.Millisecond
)

// operator writes what the users' operator and endpoints write to the store.
// It is safe for concurrent use.
type operator struct {
	content *metastoretest.Store
	store   *fleetstore.Server

	mu         sync.Mutex
	ids        int
	config     int64
	moved      bool // the route /moved/ leads to the other application
	revoked    bool
	version    int64 // of the weights
	movedAt    time.Time
	revokedAt  time.Time
	heartbeats int
}

func newOperator() *operator {
	content := metastoretest.NewStore(time.Now)
	return &operator{content: content, store: fleetstore.New(content), version: 1}
}

func (o *operator) nextID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids++
	return fmt.Sprintf("i-%d", o.ids)
}

func (o *operator) weights() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// put writes a key whatever it held.
func (o *operator) put(key string, value []byte) {
	if err := fleetstore.Put(o.content, key, value); err != nil {
		panic(err) // the store in memory fails in no other way
	}
}

// list writes an endpoint's entry.
func (o *operator) list(e *endpoint, i *incarnation) {
	o.mu.Lock()
	o.heartbeats++
	n := o.heartbeats
	o.mu.Unlock()
	o.put("servers/"+i.id, i.worker.Entry(i.link.Addr(), e.zone, n))
}

// unlist removes an endpoint's entry.
func (o *operator) unlist(i *incarnation) {
	if e, err := o.content.Get("servers/" + i.id); err == nil {
		// The entry is gone already if another removed it.
		_ = o.content.Delete("servers/"+i.id, e.ModRevision)
	}
}

// move leads a route to the other application and back. Until the store has
// taken it, the route counts as not moved anywhere.
func (o *operator) move() {
	o.mu.Lock()
	o.moved, o.movedAt = !o.moved, time.Time{}
	o.mu.Unlock()
	o.publish()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.movedAt = time.Now()
}

// movedTo returns the service of the moved route and since when.
func (o *operator) movedTo() (string, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.moved {
		return otherApps, o.movedAt
	}
	return apps, o.movedAt
}

// revoke withdraws a token for good.
func (o *operator) revoke() {
	o.mu.Lock()
	again := o.revoked
	o.revoked = true
	o.mu.Unlock()
	o.publish()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !again {
		o.revokedAt = time.Now()
	}
}

// tokenGone returns when the token was withdrawn, zero if it was not.
func (o *operator) tokenGone() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revokedAt
}

// name names new weights.
func (o *operator) name() {
	o.mu.Lock()
	o.version++
	v := o.version
	o.mu.Unlock()
	o.put("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, v))
}

// publish writes the configuration.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.config += 3
	target, tokens := apps, []string{token, withdrawn}
	if o.moved {
		target = otherApps
	}
	if o.revoked {
		tokens = tokens[:1]
	}
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 200}
	}
	llm := service(engines)
	llm["engine"] = map[string]any{"kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}}}
	data, err := json.Marshal(map[string]any{
		"version": o.config,
		"routes": []any{
			route(string(callOpen), "idempotent", apps, map[string]any{"public": true}),
			route(string(callOnce), "non_idempotent", apps, nil),
			route(string(callMoved), "idempotent", target, nil),
			route(string(callStream), "stream", engines, nil),
			route(string(callResume), "stream", engines, map[string]any{"resumable": true}),
		},
		"services": []any{llm, service(apps), service(otherApps)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": team, "api_keys": tokens}},
	})
	if err != nil {
		panic(err) // a map of plain values
	}
	o.put("op/config", data)
}
