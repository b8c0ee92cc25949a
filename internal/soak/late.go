package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/timer"
)

// Services of the calls of late callers.
const (
	lateModel         = "late"
	lateEngineService = "late-llm"
	lateAppService    = "late-app"
	otherLateService  = "late-app-two"

	endpointsOfLateService = 2
)

var lateKinds = []callKind{lateOpen, lateOnce, lateStream, lateResume}

// lateRouteKinds holds the kind of the route of each kind of late calls.
var lateRouteKinds = map[callKind]string{
	lateOpen: fleetwire.Idempotent, lateOnce: fleetwire.NonIdempotent, lateStream: fleetwire.Stream, lateResume: fleetwire.Stream,
}

const (
	// lateTimeout is the timeout of the routes of late calls, longer than the grace period.
	lateTimeout = 8 * time.Second
	// shortSlack is what late calls with a short timeout have beyond the time that they take.
	shortSlack = time.Second
	// balancerTime is how long a balancer goes on sending new connections to a gateway that
	// stops. Gateways of these settings listen a little longer.
	balancerTime = 2 * time.Second
)

// lateTimes are the times that late calls take: some fit into any stop, some outlast it.
var lateTimes = []time.Duration{
	50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond,
}

// latePauses are the upper bounds of the time between two calls on a connection, and before the
// first.
var latePauses = []time.Duration{30 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second}

// timeOfPath returns the time that the path of a late call names, 0 for other calls.
func timeOfPath(path string) time.Duration {
	kind, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !callKind(kind).isLate() {
		return 0
	}
	ms, _, _ := strings.Cut(rest, "-")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// addLateEndpoints adds the endpoints of late calls.
func (r *run) addLateEndpoints() {
	for _, service := range []string{lateEngineService, lateAppService, otherLateService} {
		for n := range endpointsOfLateService {
			e := &endpoint{service: service, zone: zoneOf(n), operator: r.operator, network: r.network}
			if service == lateEngineService {
				e.model = lateModel
			}
			r.lateEndpoints = append(r.lateEndpoints, e)
		}
	}
}

// allEndpoints returns the endpoints of all callers.
func (r *run) allEndpoints() []*endpoint {
	return append(append([]*endpoint(nil), r.endpoints...), r.lateEndpoints...)
}

// lateCaller is a caller that opens its connection before it has a request, pauses for seconds
// between its requests, and keeps the connection until the gateway closes it. It is the
// transport of its calls.
type lateCaller struct {
	*caller
	conn      net.Conn // nil if none is open
	reader    *bufio.Reader
	idleSince time.Time // since when the connection has had no request
	closes    bool      // the last response asked to close the connection
}

// firstLateCaller is above the IDs of all other callers.
const firstLateCaller = 1 << 40

func newLateCaller(r *run, n int) *lateCaller {
	// The ID is that of a caller that does not use revocableToken.
	c := &lateCaller{caller: newCaller(r, firstLateCaller+n*revocableTokenEvery+1)}
	c.transport = c
	return c
}

// callUntilDone makes calls until ctx is done.
func (c *lateCaller) callUntilDone(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil {
			if c.gateway = c.reconnect(); c.gateway == nil {
				timer.Sleep(ctx, maxCallPause)
				continue
			}
		}
		if c.pause(ctx) {
			c.retryRefused(ctx, c.send(c.newLateCall()))
		} else {
			c.disconnect()
		}
	}
}

// newLateCall returns a call of a random kind.
func (c *lateCaller) newLateCall() *call {
	kind, takes := lateKinds[c.rng.IntN(len(lateKinds))], lateTimes[c.rng.IntN(len(lateTimes))]
	cl := c.newCall(kind, fmt.Sprintf("/%s/%d-%d-%d", kind, takes.Milliseconds(), c.id, c.sentCalls))
	cl.timeout = lateTimeout
	if c.rng.IntN(2) == 0 {
		cl.timeout = takes + shortSlack
	}
	return cl
}

// pause waits for a random time. It returns false if the connection has no further request: the
// gateway closes it, or has asked to, or ctx ends.
func (c *lateCaller) pause(ctx context.Context) bool {
	if c.closes {
		return false
	}
	c.idleSince = time.Now()
	_ = c.conn.SetReadDeadline(time.Now().Add(randDuration(c.rng, latePauses[c.rng.IntN(len(latePauses))])))
	conn := c.conn // the function may still run when the caller has another one
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, err := c.reader.Peek(1)
	return timedOut(err) && ctx.Err() == nil
}

// do implements transport.
func (c *lateCaller) do(r *http.Request) (*http.Response, error) {
	if err := c.conn.SetDeadline(time.Now().Add(lateTimeout + time.Second)); err != nil {
		return nil, err
	}
	if err := r.Write(c.conn); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.reader, r)
	c.closes = err == nil && res.Close
	return res, err
}

// disconnect implements transport.
func (c *lateCaller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// reconnect implements transport.
func (c *lateCaller) reconnect() *gateway {
	c.disconnect()
	g := c.run.balancedGateway(c.rng)
	if g == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", g.callerLink.Addr(), time.Second)
	if err != nil {
		return nil
	}
	c.conn, c.reader, c.idleSince, c.closes = conn, bufio.NewReader(conn), time.Now(), false
	return g
}

// idle implements transport.
func (c *lateCaller) idle() time.Duration { return time.Since(c.idleSince) }

// balancedGateway returns a random gateway to which a balancer would send a new connection: one
// that is ready, or that was and has not been stopping for balancerTime. Half of the time it is
// one of the latter, as if most gateways were stopping. It returns nil if there is none.
func (r *run) balancedGateway(rng *rand.Rand) *gateway {
	var unnoticed, ready *gateway
	for _, n := range rng.Perm(len(r.gateways)) {
		g := r.gateways[n]
		if began, wasReady, stopping := g.stopping(); stopping {
			if wasReady && time.Since(began) < balancerTime {
				unnoticed = g
			}
		} else if ready == nil && g.ready() {
			ready = g
		}
	}
	if ready == nil || unnoticed != nil && rng.IntN(2) == 0 {
		return unnoticed
	}
	return ready
}

// lacksOnlyEnd reports whether the stream of a late call broke off between its last event and its
// end, which is long for slow streams. Nothing is left to take up.
func (c *call) lacksOnlyEnd() bool { return c.kind.isLate() && c.lastEvent == streamEvents-1 }
