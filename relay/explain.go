package relay

import (
	"cmp"
	"slices"
	"time"

	"redwingknot/contract"
	"redwingknot/fleet"
	"redwingknot/place"
	"redwingknot/queue"
)

// ExplainedRequest describes a request that begins now, to be explained. It takes up no stream.
type ExplainedRequest struct {
	Host, Path string
	Team       string  // name of the caller's team, empty for none
	AttemptID  string  // decides between services and between equal endpoints
	Prompt     *Prompt // nil for plain requests
}

// UnknownTeamError reports that a request to be explained names a team that the configuration
// does not have.
type UnknownTeamError struct{ Name string }

// Error implements error.
func (e *UnknownTeamError) Error() string { return "no team of the configuration is named " + e.Name }

// Values of Explanation.Outcome.
const (
	OutcomeSent    = "sent"    // the request would be sent to Chosen
	OutcomeWaits   = "waits"   // it would wait for room
	OutcomeRefused = "refused" // it would be refused with Refusal
	OutcomeGranted = "granted" // a coordinator would choose; Chosen is the choice if none answers
)

// Explanation says where a request would be sent now and why.
type Explanation struct {
	Outcome     string              `json:"outcome"`
	Instance    string              `json:"instance,omitempty"`
	DataCentre  string              `json:"data_centre,omitempty"`
	Config      int64               `json:"config_version,omitempty"`
	Route       string              `json:"route,omitempty"`
	Service     string              `json:"service,omitempty"`
	Team        string              `json:"team,omitempty"`
	Model       string              `json:"model,omitempty"`
	Rank        int                 `json:"rank"`
	ObjectiveMs int64               `json:"objective_ms,omitempty"`
	DeadlineMs  int64               `json:"deadline_ms,omitempty"`
	Chosen      string              `json:"chosen,omitempty"` // identifier of the endpoint
	Ground      place.Ground        `json:"ground,omitempty"` // why Chosen was chosen, or why none was
	CachePlan   string              `json:"cache_plan,omitempty"`
	Coordinator []string            `json:"coordinators,omitempty"` // instances that grant the slots, in the order in which they are asked
	Endpoints   []ExplainedEndpoint `json:"endpoints,omitempty"`    // all listed ones of the service; candidates first, by cost
	Queue       *ExplainedQueue     `json:"queue,omitempty"`
	Refusal     *ExplainedRefusal   `json:"refusal,omitempty"`
}

// ExplainedEndpoint is how a listed endpoint stands towards the request.
type ExplainedEndpoint struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"data_centre,omitempty"`
	Candidate  bool           `json:"candidate"`
	Standing   place.Standing `json:"standing"`        // why it is no candidate, or of which preference the candidates are
	Terms      *place.Terms   `json:"terms,omitempty"` // nil unless it is a candidate
}

// ExplainedQueue is what waits for room at the service, in prompt tokens or their equivalent.
type ExplainedQueue struct {
	Own            []ExplainedRank `json:"own"`    // at this instance, by rank
	Others         []ExplainedRank `json:"others"` // at the other instances, as reported
	Ahead          float64         `json:"ahead"`  // of what waits here, the part ahead of the request
	OthersAhead    float64         `json:"others_ahead"`
	DrainPerSecond float64         `json:"drain_per_second"` // at this instance, 0 if not measured
	ExpectedWaitMs int64           `json:"expected_wait_ms"`
	Estimated      bool            `json:"estimated"` // whether the wait could be estimated by the backlog
}

// ExplainedRank is what waits of one rank.
type ExplainedRank struct {
	Rank     int     `json:"rank"`
	Requests int     `json:"requests,omitempty"` // 0 if not reported
	Cost     float64 `json:"cost"`
}

// ExplainedRefusal is the refusal that the caller would get.
type ExplainedRefusal struct {
	Status          int             `json:"status"`
	Reason          contract.Reason `json:"reason"`
	Detail          string          `json:"detail"`
	RetryAfterMinMs int64           `json:"retry_after_min_ms"`
	RetryAfterMaxMs int64           `json:"retry_after_max_ms"`
}

// Explain returns where a request would be sent now and why, by the functions that decide on
// requests. Nothing is sent, reserved or counted. Not considered is what depends on the body:
// whether the request is suspected of crashing endpoints. The error is an *UnknownTeamError.
func (s *Server) Explain(r ExplainedRequest) (*Explanation, error) {
	x := &Explanation{DataCentre: s.opts.DataCentre}
	cfg := s.opts.View.Snapshot().Config
	c, err := s.explainedCall(cfg, r)
	if err != nil {
		return nil, err
	}
	if cfg != nil {
		x.Config = cfg.Version
	}
	if x.refuseBy(c, func() *contract.Refusal { return c.findRoute(cfg, r.Host, r.Path) }) {
		x.describeRoute(c)
		return x, nil
	}
	c.prepareQuery(cfg)
	c.query.beginsStream = c.beginsStream()
	x.describeRoute(c)
	x.Service, x.Rank = c.query.service, c.priority()
	x.ObjectiveMs, x.DeadlineMs = c.query.target.Milliseconds(), c.deadline.Sub(c.arrivedAt).Milliseconds()
	if c.query.prompt != nil {
		x.Model = c.query.prompt.Model
	}
	s.endpoints.explain(c, x)
	if x.Outcome == OutcomeWaits {
		x.refuseBy(c, func() *contract.Refusal { return cmp.Or(c.refuseEvacuated(), c.refuseToWait()) })
	}
	return x, nil
}

// explainedCall returns the state of a request that is only explained.
func (s *Server) explainedCall(cfg *fleet.Config, r ExplainedRequest) (*callerRequest, error) {
	c := &callerRequest{server: s, arrivedAt: time.Now(), sequence: newEventSequence(-1), explains: true}
	c.call = Call{AttemptID: r.AttemptID, Prompt: r.Prompt, LastEventID: -1}
	if r.Team == "" || cfg == nil {
		return c, nil
	}
	for token, team := range cfg.Teams {
		if team.Name == r.Team {
			c.call.Token = token
			return c, nil
		}
	}
	return nil, &UnknownTeamError{Name: r.Team}
}

// describeRoute sets the fields that follow from the route and the team, as far as these are known.
func (x *Explanation) describeRoute(c *callerRequest) {
	if c.route != nil {
		x.Route = c.route.Name
	}
	if c.team != nil {
		x.Team = c.team.Name
	}
}

// refuseBy sets the refusal if refuse returns one, which is called for the shortest and the
// longest time after which the caller would be told to return. It reports whether there is one.
func (x *Explanation) refuseBy(c *callerRequest, refuse func() *contract.Refusal) bool {
	c.fixedRandom = 0
	first := refuse()
	if first == nil {
		return false
	}
	latest := first
	c.fixedRandom = 1
	if r := refuse(); r != nil {
		latest = r
	}
	x.Outcome = OutcomeRefused
	x.Refusal = &ExplainedRefusal{
		Status: first.Status, Reason: first.Reason, Detail: first.Detail,
		RetryAfterMinMs: first.RetryAfter.Milliseconds(), RetryAfterMaxMs: latest.RetryAfter.Milliseconds(),
	}
	return true
}

// explain decides on the request of c as decide does, and describes the decision in x. What the
// decision would change is restored before mu is released.
func (e *Endpoints) explain(c *callerRequest, x *Explanation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, q, now := e.syncView(), c.query, e.now()
	defer e.preserve(q.service)()
	x.Instance = e.instance
	coordinated := e.slotQueryLocked(q)
	if coordinated != nil {
		x.Coordinator = coordinated.coordinators
	}
	l := e.service(q.service).waitQueue
	if l == nil {
		l = newWaitQueue()
	}
	q.waitingSince = now
	drain := l.drain
	defer func() { l.drain = drain }()
	defer func() {
		if q.waiter != nil {
			l.queue.Remove(q.waiter.ticket)
		}
	}()
	waits := l.queue.Len() > 0
	own := ownRanks(l)
	if waits {
		e.newWaiter(c, l, now)
	}
	p, decided := e.selectInTurn(c, l, now)
	x.describeChoice(p)
	e.explainEndpoints(s, c, x, p, decided, now)
	switch {
	case p == nil:
		if q.waiter == nil {
			l.drain.Resume(now)
			e.newWaiter(c, l, now)
		}
		e.estimateWait(c, l, decided, now)
		x.Outcome = OutcomeWaits
	case coordinated != nil:
		x.Outcome = OutcomeGranted
	default:
		x.Outcome = OutcomeSent
	}
	x.Queue = e.explainQueue(c, l, own, now)
}

// preserve returns a function that restores what explaining a decision changes: the time-driven
// state that decisions update in passing, and the counts of requests that wait. Until then
// nothing is logged or counted. The caller holds mu.
func (e *Endpoints) preserve(service string) (restore func()) {
	_, known := e.services[service]
	state := e.service(service)
	saved := *state
	type endpointState struct {
		cold     coldState
		prefills bool
	}
	list := e.listedOf(service)
	endpoints := make([]endpointState, len(list))
	for i, ep := range list {
		endpoints[i] = endpointState{ep.cold, ep.prefills}
	}
	e.explains = true
	return func() {
		e.explains = false
		*state = saved
		if !known {
			delete(e.services, service)
		}
		for i, ep := range list {
			ep.cold, ep.prefills = endpoints[i].cold, endpoints[i].prefills
		}
	}
}

// describeChoice sets the endpoint of p, nil if none was chosen.
func (x *Explanation) describeChoice(p *pick) {
	if p != nil {
		x.Chosen = p.spec.ID
		x.CachePlan = p.cachePlan()
	}
}

// explainEndpoints describes the listed endpoints of the service, after p was chosen, or none. A
// request that has not decided because it is not its turn is compared as if it were. The caller
// holds mu.
func (e *Endpoints) explainEndpoints(s *fleet.Snapshot, c *callerRequest, x *Explanation, p *pick, decided bool, now time.Time) {
	q := c.query
	x.Ground = undecidedGround(q, decided)
	if !decided {
		compared := *q
		compared.ahead = nil
		e.selectLocked(&compared)
	}
	// The standings change the buffers of eligible no more.
	list := e.buffers.list
	if p != nil {
		x.Ground = e.choiceGround(q, p)
	} else if decided && len(list) == 0 {
		x.Ground = place.NoCandidate
	}
	around := e.surroundings(q, e.service(q.service))
	cold, brittle := coldService(s, q.service), e.isBrittle(q.service, now)
	for _, ep := range e.listedOf(q.service) {
		d := ExplainedEndpoint{ID: ep.spec.ID, DataCentre: ep.spec.DataCentre, Standing: e.standingOf(s, q, ep, cold, brittle, now)}
		if i := slices.Index(list, ep); i >= 0 {
			d.Candidate = true
			t := e.termsOf(q, i, around)
			d.Terms = &t
		} else if d.Standing == place.MayRun && q.prompt != nil {
			d.Standing = place.OldWeights // the request would begin too late there
		}
		x.Endpoints = append(x.Endpoints, d)
	}
	slices.SortStableFunc(x.Endpoints, compareExplained)
}

// undecidedGround returns why none was chosen if there were candidates.
func undecidedGround(q *placementQuery, decided bool) place.Ground {
	switch {
	case q.heldByShare:
		return place.HeldByShare
	case !decided:
		return place.EarlierWaiting
	}
	return place.NotAdmitted
}

// choiceGround returns why p was chosen by the latest decision. The caller holds mu.
func (e *Endpoints) choiceGround(q *placementQuery, p *pick) place.Ground {
	list := e.buffers.list
	switch {
	case len(list) == 1:
		return place.OnlyCandidate
	case q.prompt == nil:
		return place.LowestLoad
	}
	return place.ChoiceGround(e.buffers.engines, slices.Index(list, p.endpoint), p.avoided)
}

// termsOf returns the terms of the cost of a candidate in the latest decision. The caller holds mu.
func (e *Endpoints) termsOf(q *placementQuery, i int, around *place.Surroundings) place.Terms {
	if q.prompt == nil {
		return e.buffers.candidates[i].Terms()
	}
	return e.buffers.engines[i].Terms(around)
}

// compareExplained orders candidates by cost and load, before the other endpoints by reason.
func compareExplained(a, b ExplainedEndpoint) int {
	switch {
	case a.Terms != nil && b.Terms != nil:
		return cmp.Or(cmp.Compare(a.Terms.Cost, b.Terms.Cost), cmp.Compare(a.Terms.Load, b.Terms.Load), cmp.Compare(a.ID, b.ID))
	case a.Terms != nil:
		return -1
	case b.Terms != nil:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Standing, b.Standing), cmp.Compare(a.ID, b.ID))
}

// ownRanks returns what waits in a queue, by rank.
func ownRanks(l *waitQueue) []ExplainedRank {
	list := []ExplainedRank{}
	l.queue.Each(func(t *queue.Ticket[*waiter]) {
		i, found := slices.BinarySearchFunc(list, t.Rank, func(r ExplainedRank, rank int) int { return r.Rank - rank })
		if !found {
			list = slices.Insert(list, i, ExplainedRank{Rank: t.Rank})
		}
		list[i].Requests++
		list[i].Cost += t.Cost
	})
	return list
}

// explainQueue describes what waits for room at the service of c. The caller holds mu.
func (e *Endpoints) explainQueue(c *callerRequest, l *waitQueue, own []ExplainedRank, now time.Time) *ExplainedQueue {
	q := c.query
	x := &ExplainedQueue{Own: own, Others: []ExplainedRank{}, DrainPerSecond: l.drain.Current(now), Estimated: q.estimated}
	x.ExpectedWaitMs = max(q.admissionDelay, q.backlogWait).Milliseconds()
	if q.waiter != nil {
		x.Ahead = l.queue.AheadOf(q.waiter.ticket, now)
	}
	others := e.otherBacklog(q.service)
	if others == nil {
		return x
	}
	x.OthersAhead = float64(others.Before(c.priority() + 1))
	for rank, cost := range others.Waiting {
		if cost > 0 {
			x.Others = append(x.Others, ExplainedRank{Rank: rank, Cost: float64(cost)})
		}
	}
	return x
}
