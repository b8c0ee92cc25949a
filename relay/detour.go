package relay

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/tunnel"
	"redwingknot/upstream"
)

// Detours opens connections to endpoints through other instances. It is safe for concurrent
// use.
type Detours interface {
	// Peers returns the instances that may reach the endpoint with the given hash, the most
	// suitable first.
	Peers(target uint64) []string
	// Dial opens a connection to an endpoint through another instance.
	Dial(ctx context.Context, peer string, key fleet.EndpointKey) (net.Conn, error)
}

const (
	// maxDetourPeers is the number of instances that are asked for one connection, or to
	// confirm that an endpoint refuses connections, apart from those that shut down.
	maxDetourPeers = 3
	// detourTimeout is how long one of them may take: its own attempt to connect, and the way
	// to another data centre.
	detourTimeout = 250 * time.Millisecond
)

// UnconfirmedError reports that an endpoint refused a connection, which no other instance has
// confirmed: the network may have refused it, so that it says nothing of the endpoint's process.
type UnconfirmedError struct{ Detail string }

// Error implements error.
func (e *UnconfirmedError) Error() string { return "refused, but not confirmed: " + e.Detail }

// dialEndpoint opens a connection to an endpoint: by this instance's own path, or through
// another instance while that has failed and others reach the endpoint.
func (e *Endpoints) dialEndpoint(ctx context.Context, ep *endpoint, key fleet.EndpointKey, address string) (net.Conn, error) {
	if e.isOnDetour(ep) {
		if c, err := e.dialThroughPeers(ctx, ep, key); err == nil {
			return c, nil
		}
	}
	c, err := upstream.Dial(ctx, address)
	if err == nil {
		e.recordDirect(ep)
		return c, nil
	}
	if e.detours == nil || ctx.Err() != nil {
		return nil, err
	}
	if upstream.ConnRefused(err) {
		return e.dialAfterRefusal(ctx, ep, key, err)
	}
	if !e.othersMayReach(ep) {
		return nil, err
	}
	c, detourErr := e.dialThroughPeers(ctx, ep, key)
	if detourErr != nil {
		return nil, err
	}
	e.recordDetour(ep)
	return c, nil
}

// dialAfterRefusal opens a connection to an endpoint through another instance after this
// one's own was refused with err. If the others find that the endpoint refuses theirs, too, it
// returns err, and an *UnconfirmedError if none of them can tell.
func (e *Endpoints) dialAfterRefusal(ctx context.Context, ep *endpoint, key fleet.EndpointKey, err error) (net.Conn, error) {
	peers := e.detours.Peers(ep.idHash)
	if len(peers) == 0 {
		return nil, err
	}
	answers := make(chan dialResult, len(peers))
	asked := 0
	ask := func() {
		peer := peers[asked]
		asked++
		go func() {
			c, err := e.dialThrough(ctx, peer, key)
			answers <- dialResult{c, err}
		}()
	}
	for asked < min(len(peers), maxDetourPeers) {
		ask()
	}
	var conn net.Conn
	confirmed := false
	for answered := 0; answered < asked; answered++ {
		a := <-answers
		switch {
		case tunnel.RefusedByLeaving(a.err):
			if asked < len(peers) {
				ask()
			}
		case a.err == nil && conn == nil:
			conn = a.conn
		case a.err == nil:
			a.conn.Close()
		case upstream.ConnRefused(a.err):
			confirmed = true
		}
	}
	switch {
	case conn != nil:
		e.recordDetour(ep)
		return conn, nil
	case confirmed:
		return nil, err
	}
	return nil, &UnconfirmedError{Detail: err.Error()}
}

// dialThroughPeers opens a connection to an endpoint through one of the instances that may
// reach it. It ends with the first that finds that the endpoint refuses connections.
func (e *Endpoints) dialThroughPeers(ctx context.Context, ep *endpoint, key fleet.EndpointKey) (net.Conn, error) {
	var err error = &tunnel.RefusedError{}
	asked := 0
	for _, peer := range e.detours.Peers(ep.idHash) {
		var c net.Conn
		if c, err = e.dialThrough(ctx, peer, key); err == nil {
			return c, nil
		}
		metric.Counter("detour_failures_total").Inc(1)
		if !tunnel.RefusedByLeaving(err) {
			asked++
		}
		if upstream.ConnRefused(err) || ctx.Err() != nil || asked == maxDetourPeers {
			break
		}
	}
	return nil, err
}

// dialThrough opens a connection to an endpoint through one instance, which is left alone if
// it takes longer than detourTimeout: one that is suspended accepts connections and says
// nothing.
func (e *Endpoints) dialThrough(ctx context.Context, peer string, key fleet.EndpointKey) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	dialed := make(chan dialResult, 1)
	go func() {
		c, err := e.detours.Dial(ctx, peer, key)
		dialed <- dialResult{c, err}
	}()
	select {
	case d := <-dialed:
		return d.conn, d.err
	case <-ctx.Done():
	}
	go func() {
		if d := <-dialed; d.err == nil {
			d.conn.Close()
		}
	}()
	return nil, ctx.Err()
}

// dialResult is the outcome of an attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

func (e *Endpoints) isOnDetour(ep *endpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ep.path.Detour()
}

// othersMayReach reports whether a connection that this instance could not open may succeed
// through another one: others reach the endpoint, another endpoint of its service has turned
// out to be reached by them alone, or this instance reaches none of the service. An endpoint
// that is dark to all is otherwise not tried twice.
func (e *Endpoints) othersMayReach(ep *endpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.otherLoads.Load(ep.idHash).Reached > 0 {
		return true
	}
	now := e.now()
	anyReachable := false
	for _, other := range e.byKey {
		if other.spec.Service != ep.spec.Service {
			continue
		}
		if other.path.Detour() {
			return true
		}
		anyReachable = anyReachable || other != ep && !other.health.Unreachable(now)
	}
	return !anyReachable
}

// recordDetour records that another instance has opened a connection to an endpoint after
// this one had failed to.
func (e *Endpoints) recordDetour(ep *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	metric.Counter("detour_connections_total", "service", ep.spec.Service).Inc(1)
	ep.health.RecordConnected(now)
	e.wakeQueue(e.service(ep.spec.Service), causeView)
	if !ep.path.RecordDetour(now) {
		return
	}
	event.DetourBegun.Log(e.log, slog.String("endpoint", ep.spec.ID))
	if e.detourCount() == 1 {
		e.closeUnprovenConns(now)
	}
}

// detourCount returns the number of endpoints that this instance reaches through others. The
// caller holds mu.
func (e *Endpoints) detourCount() int {
	n := 0
	for _, ep := range e.byKey {
		if ep.path.Detour() {
			n++
		}
	}
	return n
}

// closeUnprovenConns closes the idle connections to endpoints that have not answered of late,
// because what cut this instance off from one may have cut it off from them, and requests on
// these connections would be lost. The caller holds mu.
func (e *Endpoints) closeUnprovenConns(now time.Time) {
	for _, ep := range e.byKey {
		if !ep.health.Reached(now) {
			ep.pool.CloseIdle()
		}
	}
}

// recordDirect records that this instance has opened a connection to an endpoint by its own
// path. If a detour ends, the next connections to all endpoints are first tried by the own
// paths.
func (e *Endpoints) recordDirect(ep *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ep.path.RecordDirect() {
		return
	}
	event.DetourEnded.Log(e.log, slog.String("endpoint", ep.spec.ID))
	for _, other := range e.byKey {
		other.path.RecordDirect()
		other.pool.CloseIdleIf(isDetour)
	}
}

// isDetour reports whether a connection leads through another instance.
func isDetour(c net.Conn) bool {
	_, ok := c.(*tunnel.Conn)
	return ok
}

// maxDirectTrials is the number of own paths that are tried at one check for endpoints to
// probe. The first that works stands for the others.
const maxDirectTrials = 4

// tryDirectPaths tries this instance's own path to some of the endpoints that it reaches
// through others and whose trial is due. No request is at stake. The caller holds mu.
func (e *Endpoints) tryDirectPaths(ctx context.Context, now time.Time) {
	trials := 0
	for _, ep := range e.byKey {
		if trials == maxDirectTrials {
			return
		}
		if !ep.path.TrialDue(now) || e.isEvacuated(ep) {
			continue
		}
		trials++
		go func() {
			err := ep.pool.ConnectBy(ctx, func(ctx context.Context) (net.Conn, error) { return upstream.Dial(ctx, ep.address) })
			if err == nil {
				e.recordDirect(ep)
			}
		}()
	}
}

// minCutEndpoints is the number of endpoints that must be out of reach for this instance
// alone for it to take itself for the one that is cut off.
const minCutEndpoints = 2

// seemsCutOff reports whether this instance fails to reach endpoints that others reach. The
// caller holds mu.
func (e *Endpoints) seemsCutOff(now time.Time) bool {
	n := 0
	for _, ep := range e.byKey {
		if ep.path.Detour() || ep.health.Unreachable(now) && e.otherLoads.Load(ep.idHash).Reached > 0 {
			n++
		}
	}
	return n >= minCutEndpoints
}

// IsCutOff reports whether this instance reaches most endpoints only through others.
func (e *Endpoints) IsCutOff() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 2*e.detourCount() > len(e.byKey)
}

// DialDirect opens a connection to an endpoint for another instance, by this instance's own
// path alone. The error is a *tunnel.UnknownEndpointError if the endpoint is not known, if its data
// centre is being evacuated, or if this instance itself reaches it through others. An endpoint that refuses the connection is
// said to do so only if this instance does not seem to be cut off.
func (e *Endpoints) DialDirect(ctx context.Context, key fleet.EndpointKey) (net.Conn, error) {
	e.mu.Lock()
	e.syncView()
	ep := e.byKey[key]
	unable := ep == nil || ep.path.Detour() || e.isEvacuated(ep)
	e.mu.Unlock()
	if unable {
		return nil, &tunnel.UnknownEndpointError{ID: key.ID}
	}
	c, err := upstream.Dial(ctx, ep.address)
	if err == nil || !upstream.ConnRefused(err) {
		return c, errors.Wrap(err, "dial for another instance")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seemsCutOff(e.now()) {
		return nil, &UnconfirmedError{Detail: err.Error()}
	}
	return nil, err
}
