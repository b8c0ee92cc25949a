package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/slots"
	"redwingknot/upstream"
)

// minSlotsPerInstance is the number of listed slots for each live instance below which a
// coordinator grants the slots of a service. With two slots and more, instances that choose
// for themselves rarely meet at the same endpoint.
const minSlotsPerInstance = 2

// slotShares is what Endpoints knows of grants. It is guarded by the mutex of Endpoints.
type slotShares struct {
	client  *slots.Client            // nil without
	granted map[*pick]struct{}       // attempts that hold a grant
	order   map[slots.Group][]string // coordinators, for the instances below
	of      []string                 // instances that order was derived from
	// preferred holds the names of the instances that coordinate by preference, which need not
	// be live.
	preferred []string
}

// SetCoordinators sets the instances that coordinate others by preference: they have more
// processor time than others.
func (e *Endpoints) SetCoordinators(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.preferred, e.slots.order = names, map[slots.Group][]string{}
}

// slotQuery is a request for a slot as far as it depends on the endpoints.
type slotQuery struct {
	group        slots.Group
	coordinators []string // the preferred one first
	excluded     []uint64 // incarnations of endpoints that must not be used
}

// selectGranted chooses the endpoint whose slot a coordinator grants. It reports false if the
// request is to choose an endpoint itself: no coordinator grants slots of the service, or none
// answers.
func (c *callerRequest) selectGranted(ctx context.Context) (*pick, *contract.Refusal, bool) {
	sq := c.server.endpoints.slotQuery(c.query)
	if sq == nil {
		return nil, nil, false
	}
	// A request that may not run does not wait for a slot.
	if r := c.checkRunnable(); r != nil {
		return nil, r, true
	}
	c.endRun()
	grant, err := c.server.opts.Slots.Acquire(ctx, sq.group, sq.coordinators, c.slotRequest(sq))
	var refused *slots.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, c.markPossibleExecution(contract.Unavailable(contract.ReasonOverload, refused.Delay, refused.Error())), true
	case ctx.Err() != nil:
		if grant != nil {
			grant.Release(slots.Unused, 0)
		}
		return nil, nil, true
	case err != nil:
		return nil, nil, false
	}
	if r := c.checkRunnable(); r != nil {
		grant.Release(slots.Unused, 0)
		return nil, r, true
	}
	p := c.server.endpoints.chooseGranted(c.query, grant)
	if p == nil {
		metric.Counter("slots_unused_total", "service", c.query.service).Inc(1)
		grant.Release(slots.Unused, 0)
	}
	return p, nil, p != nil
}

// checkRunnable begins the run of the next attempt. It returns a refusal if the request may not
// run.
func (c *callerRequest) checkRunnable() *contract.Refusal {
	r := c.beginRun()
	if r == nil {
		r = c.checkAuthorization()
	}
	if r == nil {
		return c.refuseStopping()
	}
	return c.markPossibleExecution(r)
}

// slotRequest returns the request for a slot.
func (c *callerRequest) slotRequest(sq *slotQuery) slots.Request {
	age := time.Since(c.arrivedAt)
	r := slots.Request{
		Rank: c.priority(), Age: age, Left: time.Until(c.deadline), TargetLeft: max(c.query.target-age, 0), Excluded: sq.excluded,
	}
	if c.team != nil {
		r.Team = place.Hash(c.team.Name)
	}
	return r
}

// attemptGranted is attempt, after which the slot is returned if the attempt held one.
func (c *callerRequest) attemptGranted(ctx context.Context, p *pick) (o outcome) {
	o = outcomeCallerGone // if the attempt panics
	defer func() {
		if p.grant != nil {
			p.grant.Release(c.slotOutcome(o), p.took())
		}
	}()
	o = c.attempt(ctx, p)
	return o
}

// took returns the time since the request was sent, 0 if no response to it has begun.
func (p *pick) took() time.Duration {
	if p.sentAt.IsZero() {
		return 0
	}
	return time.Since(p.sentAt)
}

// slotOutcome returns what the end of an attempt says about its slot.
func (c *callerRequest) slotOutcome(o outcome) slots.Outcome {
	var rejected *RejectedError
	var limit *upstream.ConnLimitError
	switch {
	case o == outcomeDelivered || o == outcomeEndpointFailed:
		return slots.Done
	case o == outcomeCallerGone:
		return slots.Unused
	case o == outcomeNotExecuted && errors.As(c.lastErr, &rejected) && !rejected.Misdirected:
		return slots.Rejected
	case o == outcomeNotExecuted && errors.As(c.lastErr, &limit):
		return slots.Unused
	}
	return slots.Failed
}

// slotQuery returns what to ask a coordinator for q, nil if no coordinator grants the slots of
// the service, or no endpoint that it grants can take q.
//
// Load pattern: so many instances that each has a few requests a second at an endpoint, whose
// calls are shorter than the others' reports are old.
func (e *Endpoints) slotQuery(q *placementQuery) *slotQuery {
	if e.slots.client == nil || q.prompt != nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slotQueryLocked(q)
}

// slotQueryLocked is slotQuery for callers that hold mu.
func (e *Endpoints) slotQueryLocked(q *placementQuery) *slotQuery {
	if e.slots.client == nil || q.prompt != nil {
		return nil
	}
	s, now := e.syncView(), e.now()
	total := e.grantableSlots(s, q.service, now)
	if total == 0 || total >= minSlotsPerInstance*len(e.instances) {
		return nil
	}
	list := e.eligible(s, q, now)
	g := slots.Group{Service: q.service, Count: slots.GroupCount(total)}
	g.Index = slots.GroupOf(q.requestHash, g.Count)
	sq := &slotQuery{group: g, coordinators: e.coordinators(g)}
	usable := false
	for _, spec := range s.Serving[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || slots.GroupOf(ep.idHash, g.Count) != g.Index {
			continue
		}
		if slices.Contains(list, ep) {
			usable = true
		} else {
			sq.excluded = append(sq.excluded, ep.incarnationHash)
		}
	}
	if !usable {
		return nil
	}
	return sq
}

// grantableSlots returns the number of listed slots of a service, 0 if no coordinator may grant
// them: it has engines or is a cache store, or its endpoints are brittle, name limits or bear few
// requests while they are cold. The
// caller holds mu.
func (e *Endpoints) grantableSlots(s *fleet.Snapshot, service string, now time.Time) int {
	if s.Config == nil || s.Config.Services[service] == nil {
		return 0
	}
	if spec := s.Config.Services[service]; spec.Engine != nil || spec.Store != nil || spec.ColdPerSecond > 0 || e.isBrittle(service, now) {
		return 0
	}
	total := 0
	for _, spec := range s.Serving[service] {
		ep := e.byKey[spec.Key()]
		if ep != nil && e.limitOf(ep) != nil {
			return 0
		}
		if !spec.Leaving {
			total += max(spec.Slots, 0)
		}
	}
	return total
}

// coordinators returns the coordinators of a group, the preferred one first. The caller holds
// mu.
func (e *Endpoints) coordinators(g slots.Group) []string {
	if !slices.Equal(e.slots.of, e.instances) {
		e.slots.of, e.slots.order = e.instances, map[slots.Group][]string{}
	}
	order, ok := e.slots.order[g]
	if !ok {
		order = slots.Coordinators(g, e.instances, e.slots.preferred)
		e.slots.order[g] = order
	}
	return order
}

// chooseGranted chooses the endpoint of a grant and adds the request to its load. It returns nil
// if the endpoint can't take the request any more.
func (e *Endpoints) chooseGranted(q *placementQuery, g *slots.Grant) *pick {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.syncView(), e.now()
	list := e.eligible(s, q, now)
	i := slices.IndexFunc(list, func(ep *endpoint) bool { return ep.incarnationHash == g.Endpoint })
	if i < 0 {
		return nil
	}
	ep := list[i]
	p := &pick{endpoint: ep, spec: ep.spec, cost: 1, reserved: peers.Load{Running: 1}, grant: g}
	ep.ownLoad.Add(p.reserved)
	ep.health.RecordSent(now)
	e.takeRamp(ep, now)
	e.slots.granted[p] = struct{}{}
	return p
}

// slotTarget returns the target in reports that stands for the requests at an incarnation of an
// endpoint that hold grants of a coordinator.
func slotTarget(incarnation uint64, coordinator string) uint64 {
	return place.RendezvousWeight(incarnation, place.Hash("slots\x00"+coordinator))
}

// addGrantLoads adds to loads the requests that hold grants, by endpoint and coordinator. The
// caller holds mu.
func (e *Endpoints) addGrantLoads(loads map[uint64]peers.Load) {
	for p := range e.slots.granted {
		if p.grant.Live() {
			target := slotTarget(p.endpoint.incarnationHash, p.grant.Coordinator)
			l := loads[target]
			l.Running++
			loads[target] = l
		}
	}
}

// SlotEndpoints implements slots.Source. Requests that hold no grant of this instance are known
// from the reports of the others, which are older than a call takes; on average the error is
// small, and a rejection corrects it.
func (e *Endpoints) SlotEndpoints(g slots.Group) []slots.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := e.syncView(), e.now()
	if e.grantableSlots(s, g.Service, now) == 0 {
		return nil
	}
	var list []slots.Endpoint
	for _, spec := range s.Serving[g.Service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !ep.leavingSince.IsZero() || spec.Slots <= 0 || slots.GroupOf(ep.idHash, g.Count) != g.Index {
			continue
		}
		if e.isDark(ep, now) {
			continue
		}
		list = append(list, slots.Endpoint{ID: ep.incarnationHash, Slots: spec.Slots, DataCentre: spec.DataCentre, Ungranted: e.ungranted(ep)})
	}
	return list
}

// ungranted returns the number of requests at an endpoint that hold no grant of this instance.
// The caller holds mu.
func (e *Endpoints) ungranted(ep *endpoint) int {
	others := e.otherLoads.Load(ep.idHash).Running - e.otherLoads.Load(slotTarget(ep.incarnationHash, e.instance)).Running
	own := ep.ownLoad.Running
	for p := range e.slots.granted {
		if p.endpoint == ep && p.grant.Coordinator == e.instance && p.grant.Live() {
			own--
		}
	}
	return max(others, 0) + max(own, 0)
}
