package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/upstream"
)

const (
	// probeInterval is the mean time between the connections that all instances together
	// open to an unreachable endpoint, to notice its return.
	probeInterval = 300 * time.Millisecond
	// maxProbeDelay limits the time between the probes of one instance, so that an
	// endpoint is found again even if the other instances are gone.
	maxProbeDelay = 4 * time.Second
	// probeCheckInterval is the interval of the checks for endpoints to probe.
	probeCheckInterval = 100 * time.Millisecond
)

// probeUnreachable opens a connection to each endpoint that this instance could not reach
// and whose next probe is due. No request is at stake.
//
// Load pattern: workers are dark for seconds. Were requests sent to find out when they
// are back, each would wait for a connection or be lost.
func (e *Endpoints) probeUnreachable(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.tryDirectPaths(ctx, now)
	for _, ep := range e.byKey {
		if !ep.health.Unreachable(now) || ep.replaced || e.isEvacuated(ep) {
			ep.nextProbe = time.Time{}
			continue
		}
		due := !ep.nextProbe.IsZero() && !now.Before(ep.nextProbe)
		if due {
			go e.probe(ctx, ep)
		}
		if due || ep.nextProbe.IsZero() {
			ep.nextProbe = now.Add(e.probeDelay(ep))
		}
	}
}

// probeDelay returns the time until the next probe of an endpoint: random, and longer the
// more instances probe it.
func (e *Endpoints) probeDelay(ep *endpoint) time.Duration {
	witnesses := 1 + e.otherLoads.Load(ep.idHash).Unreachable
	return min(rand.N(2*probeInterval*time.Duration(witnesses)), maxProbeDelay)
}

// probe opens a connection to an endpoint and records the result. The connection is kept
// for requests.
func (e *Endpoints) probe(ctx context.Context, ep *endpoint) {
	err := ep.pool.Connect(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	var limit *upstream.ConnLimitError
	switch {
	case err == nil:
		ep.health.RecordConnected(e.now())
		e.wakeQueue(e.service(ep.spec.Service), causeView)
	case errors.As(err, &limit): // says nothing of the endpoint
	default:
		ep.health.RecordNotConnected(e.now())
	}
}
