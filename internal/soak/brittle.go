package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// maxRefusalsPerSecond is how many requests a brittle endpoint may turn away in a second.
	maxRefusalsPerSecond = 2
	// brittleTime is how long endpoints are brittle beyond the step.
	brittleTime = 6 * time.Second
	// brittleCallers is enough for all endpoints of a service to be full.
	brittleCallers = 60
)

// makeBrittle makes the endpoints of e's service brittle until brittleTime after waitEnd,
// while more callers than they have room for send requests.
func (r *run) makeBrittle(ctx context.Context, s Step, e *endpoint, waitEnd func()) {
	before := r.fallCount(e.service)
	setAll := func(refusals int) {
		for _, other := range r.endpoints {
			if other.service == e.service {
				other.setBrittle(refusals)
			}
		}
	}
	setAll(maxRefusalsPerSecond)
	loadCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range brittleCallers {
		// The step's time makes the callers' IDs unique.
		c := newCaller(r, firstBrittleCaller+(int(s.At/time.Millisecond)*brittleCallers+n)*revocableTokenEvery+1)
		kind := callOpen
		if e.model != "" {
			kind = callResume
		}
		callers.Go(func() { c.callKindUntilDone(loadCtx, kind) })
	}
	waitEnd()
	select {
	case <-ctx.Done():
	case <-time.After(brittleTime):
	}
	setAll(0)
	stop()
	callers.Wait()
	if r.opts.CheckTimeBounds {
		r.checkFalls(e.service, before)
	}
}

// maxFalls is how often the endpoints of a service may fall over while they are brittle,
// beside one for each fallsPerEndpoints of them.
const (
	maxFalls          = 2
	fallsPerEndpoints = 10
)

// fallCount returns how often the endpoints of a service have fallen over.
func (r *run) fallCount(service string) int {
	n := 0
	for _, e := range r.endpoints {
		if e.service == service {
			n += e.fallCount()
		}
	}
	return n
}

// checkFalls checks how often the endpoints of a service have fallen over since they had
// done so the given number of times.
func (r *run) checkFalls(service string, before int) {
	endpoints := 0
	for _, e := range r.endpoints {
		if e.service == service {
			endpoints++
		}
	}
	if falls, limit := r.fallCount(service)-before, maxFalls+endpoints/fallsPerEndpoints; falls > limit {
		r.recordViolation(BrittleFell, "the brittle endpoints of %s fell over %d times, %d allowed", service, falls, limit)
	}
}

// firstBrittleCaller is above the IDs of the other callers.
const firstBrittleCaller = 1 << 28

// callKindUntilDone makes calls of one kind until ctx is done.
func (c *caller) callKindUntilDone(ctx context.Context, kind callKind) {
	for ctx.Err() == nil {
		if c.gateway == nil {
			c.gateway = c.run.readyGateway(c.rng)
		}
		if c.gateway != nil {
			c.callAndRetry(ctx, kind)
		}
		time.Sleep(randDuration(c.rng, maxCallPause))
	}
}

// setBrittle sets how many requests the endpoint may turn away in a second, in all its
// incarnations from now on; 0 ends that.
func (e *endpoint) setBrittle(refusals int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle = refusals
	if e.current != nil {
		e.current.worker.SetBrittle(refusals)
	}
}
