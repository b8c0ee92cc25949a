package soak

import (
	"slices"
	"sync"
	"time"
)

// Steps that delay the news of new weights, or requests on their way to an engine.
var (
	storeDelayKinds   = append([]StepKind{StoreRestored, StoreLeasesExpire}, storeKinds...)
	gatewayDelayKinds = []StepKind{
		GatewayPause, StoreLinkCut, StoreLinkHoldOut, StoreLinkHoldBack, StoreLinkSilent, CallersReset, CallersSilent,
		PartitionHangs, PartitionResets, PartitionRefuses,
	}
	endpointDelayKinds = []StepKind{EndpointStalls, EndpointReset, EndpointCut, EndpointHoldBack, EndpointSilent, EndpointDelay}
)

// delayLog records steps that delay the news of new weights, or requests. The zero value is
// empty. It is safe for concurrent use.
type delayLog struct {
	mu       sync.Mutex
	store    disruptionLog
	gateways map[*gateway]*disruptionLog
	engines  map[*endpoint]*disruptionLog
}

// begin records the start of a step on a gateway or an endpoint, if it delays anything, and
// returns a function that records its end.
func (l *delayLog) begin(k StepKind, g *gateway, e *endpoint) (end func()) {
	switch {
	case slices.Contains(storeDelayKinds, k):
		return l.store.begin(k)
	case slices.Contains(gatewayDelayKinds, k):
		return l.ofGateway(g).begin(k)
	case slices.Contains(endpointDelayKinds, k):
		return l.ofEngine(e).begin(k)
	}
	return func() {}
}

func (l *delayLog) ofGateway(g *gateway) *disruptionLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gateways == nil {
		l.gateways = map[*gateway]*disruptionLog{}
	}
	if l.gateways[g] == nil {
		l.gateways[g] = &disruptionLog{}
	}
	return l.gateways[g]
}

func (l *delayLog) ofEngine(e *endpoint) *disruptionLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engines == nil {
		l.engines = map[*endpoint]*disruptionLog{}
	}
	if l.engines[e] == nil {
		l.engines[e] = &disruptionLog{}
	}
	return l.engines[e]
}

// checkWeights checks that no request begins at an engine, that is, gets its first event, on
// weights that were replaced longer than loadTime before. The metadata store and the way to the
// engine were undisturbed in that time, and the gateway for settleTime.
func (r *run) checkWeights(obs *observations) {
	for attempt, runs := range obs.runs {
		c := obs.calls[attempt]
		if c == nil || c.gateway == nil {
			continue
		}
		for _, ran := range runs {
			if ran.endpoint.model != model || ran.FirstEventAt.IsZero() || ran.From != "" {
				continue
			}
			began, replaced := ran.FirstEventAt, r.operator.weightsReplaced(ran.FirstEventWeights)
			if replaced.IsZero() || began.Sub(replaced) <= loadTime {
				continue
			}
			if r.weightsDelayed(c, ran) {
				continue
			}
			r.recordViolation(OldWeightsRun, "%s at %s began at %s on version %d, %s after version %d was named", attempt, c.gateway.name,
				ran.incarnation, ran.FirstEventWeights, began.Sub(replaced).Round(time.Millisecond), ran.FirstEventWeights+1)
		}
	}
}

// weightsDelayed reports whether the first event of a run of c may be late, or its gateway may not
// have heard of new weights in time.
func (r *run) weightsDelayed(c *call, ran endpointRun) bool {
	began, settled := ran.FirstEventAt, c.sentAt.Add(-settleTime)
	_, stopped := c.gateway.stopBetween(settled, began)
	return stopped || c.gateway.lastStarted().After(settled) || c.gateway.lastResumed().After(settled) ||
		!r.delays.store.noneBetween(began.Add(-loadTime), began, nil) ||
		!r.delays.ofGateway(c.gateway).noneBetween(settled, began, nil) ||
		!r.delays.ofEngine(ran.endpoint).noneBetween(settled, began, nil)
}

// checkCachedWeights checks that no request runs on cached memory that was made under another
// version of the weights than its engine had. Runs that go on while their engine loads are no case.
func (r *run) checkCachedWeights(obs *observations) {
	for attempt, runs := range obs.runs {
		for _, ran := range runs {
			if len(ran.StaleParts) > 0 {
				r.recordViolation(CacheOfOtherWeights, "%s at %s: %s", attempt, ran.incarnation, ran.StaleParts[0])
			}
		}
	}
}
