package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/metric"
	"redwingknot/suspect"
	"redwingknot/upstream"
)

// endCheck is a check whether an endpoint's process has ended, shared by all requests
// that lost their connections to it. Its results are valid once done is closed.
type endCheck struct {
	startedAt time.Time
	done      chan struct{}
	ended     bool
}

// endCheckTime is how long the result of an endCheck is used. The requests that a process
// ran when it ended lose their connections within a moment.
const endCheckTime = time.Second

// processEnded reports whether the process of an endpoint that has closed a connection
// before its response was complete has ended unannounced: nothing listens at its address
// any more. A lost connection alone does not show that, and the end of an endpoint that
// leaves says nothing about the requests that it ran.
func (e *Endpoints) processEnded(ctx context.Context, ep *endpoint) bool {
	check := e.startEndCheck(ep)
	if check == nil {
		return false
	}
	select {
	case <-check.done:
		return check.ended
	case <-ctx.Done():
		return false
	}
}

// startEndCheck returns the current check of an endpoint, which it starts if necessary. It
// returns nil for an endpoint that leaves or is not listed.
func (e *Endpoints) startEndCheck(ep *endpoint) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := e.view.Snapshot().Endpoints[ep.spec.ID]
	if listed == nil || listed.Key() != ep.spec.Key() || listed.Leaving || !ep.leavingSince.IsZero() {
		return nil
	}
	now := e.now()
	if c := ep.endCheck; c != nil && now.Sub(c.startedAt) < endCheckTime {
		return c
	}
	check := &endCheck{startedAt: now, done: make(chan struct{})}
	ep.endCheck = check
	go func() {
		defer close(check.done)
		check.ended = upstream.ConnRefused(ep.pool.Connect(context.Background()))
	}()
	return check
}

// beginRun begins the run of the next attempt. It returns a refusal if the request has
// crashed too many endpoints, at any instance.
func (c *callerRequest) beginRun() *contract.Refusal {
	c.endRun()
	run, err := c.server.opts.Suspects.Begin(c.suspectFingerprint)
	var held *suspect.HeldError
	switch {
	case !errors.As(err, &held):
		c.run = run
		return nil
	case held.OnTrial:
		return contract.Unavailable(contract.ReasonSuspectBusy, trialRetryAfter+rand.N(retryAfterSpread), held.Error())
	}
	return contract.Unavailable(contract.ReasonSuspectRefused, held.For+rand.N(retryAfterSpread), held.Error())
}

// trialRetryAfter is when a caller may return whose request another one is on trial for. A
// run of it takes about as long.
const trialRetryAfter = time.Second

// endRun ends the run of the latest attempt, if there is one.
func (c *callerRequest) endRun() {
	if c.run != nil {
		c.run.End()
	}
}

// recordCrash records that the endpoint of p ended while it ran the request.
func (c *callerRequest) recordCrash(p *pick) {
	metric.Counter("endpoint_crashes_total", "service", c.query.service).Inc(1)
	event.EndpointCrashed.Log(c.server.opts.Log, append(c.logAttrs(), slog.String("fingerprint", c.suspectFingerprint().String()))...)
	c.run.Crashed(p.spec.ID, strconv.FormatInt(p.spec.StartMillis, 10))
}

// suspectFingerprint returns the fingerprint of the request. A caller that sends the
// request again, at any instance, sends the same method, path and body for the same team.
func (c *callerRequest) suspectFingerprint() suspect.Fingerprint {
	if c.fingerprint != nil {
		return *c.fingerprint
	}
	id := suspect.RequestIdentity{Target: c.method + " " + c.host + c.requestURI, Body: c.body}
	if c.team != nil {
		id.Team = c.team.Name
	}
	f := suspect.FingerprintOf(id)
	c.fingerprint = &f
	return f
}
