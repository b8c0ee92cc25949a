package relay

import (
	"context"
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/place"
)

// PlacementRequest is what the owner of a placement group needs to choose an engine.
type PlacementRequest struct {
	Service      string
	Prompt       *Prompt
	SessionHash  uint64
	IsolatedTeam string // name of the caller's team if it is isolated, empty otherwise
	Priority     int    // 0 is the most urgent
	Target       time.Duration
	Group        int // of Groups
	Groups       int
}

// Placer finds engines for heavy prompts with the help of other instances.
type Placer interface {
	// Place returns the identifier of the engine that the owner of the request's group
	// has chosen, empty if it chose none. own reports that this instance is the owner.
	Place(ctx context.Context, r *PlacementRequest) (endpointID string, own bool)
}

// placementGroup is one of the placement groups of a service.
type placementGroup struct {
	index, count int
}

// assignEndpoint asks for an engine before the first attempt of a heavy prompt and
// records the answer in the query.
func (c *callerRequest) assignEndpoint(ctx context.Context) {
	q := c.query
	q.assigned, q.ownGroup = "", nil
	if c.server.opts.Placer == nil || q.prompt == nil || !place.IsHeavy(q.prompt.InputTokens) || len(q.tried)+len(q.excluded) > 0 {
		return
	}
	groups := place.GroupCount(len(c.server.opts.View.Snapshot().ByService[q.service]))
	r := &PlacementRequest{
		Service: q.service, Prompt: q.prompt, SessionHash: q.sessionHash, Priority: q.priority, Target: q.target,
		Group: place.GroupOf(q.sessionHash, groups), Groups: groups,
	}
	if q.team != nil && q.team.Isolated {
		r.IsolatedTeam = q.team.Name
	}
	endpointID, own := c.server.opts.Placer.Place(ctx, r)
	q.assigned = endpointID
	if own {
		q.ownGroup = &placementGroup{r.Group, r.Groups}
	}
}

// ChooseInGroup chooses an engine of a group that this instance owns, for a prompt that
// another instance sends there. It returns an empty identifier if no engine of the group
// should get the prompt now.
func (e *Endpoints) ChooseInGroup(r *PlacementRequest) (endpointID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.syncView()
	if s.Config == nil {
		return ""
	}
	now := e.now()
	q := &placementQuery{
		service: r.Service, prompt: r.Prompt, sessionHash: r.SessionHash, priority: r.Priority, target: r.Target, maxAttempts: 1,
		ownGroup: &placementGroup{r.Group, r.Groups},
	}
	if r.IsolatedTeam != "" {
		q.team = &fleet.Team{Name: r.IsolatedTeam, Isolated: true}
	}
	p := e.chooseInOwnGroup(s, q, e.eligible(s, q, now), now)
	if p == nil {
		return ""
	}
	p.useParts()
	return p.spec.ID
}

// chooseInOwnGroup chooses among the engines of list that belong to the query's own
// group, and adds the prompt to the backlog of the chosen one. It returns nil if none
// should get the prompt now.
func (e *Endpoints) chooseInOwnGroup(s *fleet.Snapshot, q *placementQuery, list []*endpoint, now time.Time) *pick {
	var inGroup []*endpoint
	for _, ep := range list {
		if place.InGroup(ep.rank, q.ownGroup.index, q.ownGroup.count) && ep.health.Usable(now) {
			inGroup = append(inGroup, ep)
		}
	}
	if len(inGroup) == 0 {
		return nil
	}
	p := e.chooseForPrompt(s, q, inGroup, now)
	if p != nil {
		p.endpoint.backlog.Add(place.BacklogTime(p.reserved.PendingTokens, &e.service(q.service).prefillRate), now)
	}
	return p
}

// chooseAssigned returns a pick of the endpoint that the owner of the session's group
// chose, nil if there is none or it is not in list.
func (e *Endpoints) chooseAssigned(s *fleet.Snapshot, q *placementQuery, list []*endpoint, now time.Time) *pick {
	i := slices.IndexFunc(list, func(ep *endpoint) bool { return ep.spec.ID == q.assigned })
	if q.assigned == "" || i < 0 {
		return nil
	}
	q.admitted = true
	defer func() { q.admitted = false }()
	return e.chooseForPrompt(s, q, list[i:i+1], now)
}

// choosePromptEndpoint chooses an endpoint for a prompt: the one that the owner of its
// group chose, or one of the own group, or else any.
func (e *Endpoints) choosePromptEndpoint(s *fleet.Snapshot, q *placementQuery, list []*endpoint, now time.Time) *pick {
	if p := e.chooseAssigned(s, q, list, now); p != nil {
		return p
	}
	if q.ownGroup != nil {
		if p := e.chooseInOwnGroup(s, q, list, now); p != nil {
			return p
		}
	}
	return e.chooseForPrompt(s, q, list, now)
}
