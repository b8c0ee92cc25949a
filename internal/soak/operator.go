package soak

import (
	"fmt"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetwire"
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

	targetTime  = 300 * time.Millisecond // to a first answer
	maxAttempts = 2
	maxConns    = 200 // of an endpoint
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
	o.put(fleetwire.EndpointKey(i.id), i.worker.Entry(i.link.Addr(), e.zone, n))
}

// unlist removes an endpoint's entry.
func (o *operator) unlist(i *incarnation) {
	if e, err := o.content.Get(fleetwire.EndpointKey(i.id)); err == nil {
		// The entry is gone already if another removed it.
		_ = o.content.Delete(fleetwire.EndpointKey(i.id), e.ModRevision)
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

// withdraws reports whether the token is withdrawn, or is about to be.
func (o *operator) withdraws() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revoked
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
	o.put(fleetwire.WeightsEntry(model, v))
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
	route := func(kind callKind, form, service string) fleetwire.Route {
		return fleetwire.Route{
			Name: string(kind), Host: host, Kind: form, Service: service,
			Timeout: answerTime, TargetLatency: targetTime, MaxAttempts: maxAttempts,
		}
	}
	open, resume := route(callOpen, fleetwire.Idempotent, apps), route(callResume, fleetwire.Stream, engines)
	open.Public, resume.Resumable = true, true
	config := fleetwire.Config{
		Version: o.config, Team: team, Tokens: tokens,
		Routes: []fleetwire.Route{
			open, route(callOnce, fleetwire.NonIdempotent, apps), route(callMoved, fleetwire.Idempotent, target),
			route(callStream, fleetwire.Stream, engines), resume,
		},
		Services: []fleetwire.Service{
			{Name: engines, MaxConns: maxConns, Model: model, CacheTokens: 100_000, TokenBytes: 1000},
			{Name: apps, MaxConns: maxConns}, {Name: otherApps, MaxConns: maxConns},
		},
	}
	o.put(fleetwire.ConfigKey, config.Encode())
}
