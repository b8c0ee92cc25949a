package link

import (
	"context"
	"sync"
	"time"

	"redwingknot/link/linkpb"
	"redwingknot/wire"
)

// methodGrant is the name of the call for a lease.
const methodGrant = "link.grant"

// Home holds the budgets of the links that this instance is home of. A budget
// begins with the first request for its link. It is safe for concurrent use.
type Home struct {
	now     func() time.Time
	options func(link string) (BudgetOptions, bool)

	mu    sync.Mutex
	links map[string]*homeLink
}

type homeLink struct {
	budget   *Budget
	estimate *Estimate
}

// NewHome returns a home. The options of a link are asked for once; links that
// it doesn't know are refused.
func NewHome(now func() time.Time, options func(link string) (BudgetOptions, bool)) *Home {
	return &Home{now: now, options: options, links: map[string]*homeLink{}}
}

// Register adds the home's calls to s.
func (h *Home) Register(s *wire.Server) {
	wire.Handle(s, methodGrant, h.grant)
}

// Retain forgets links that are no longer this instance's.
func (h *Home) Retain(mine func(link string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.links {
		if !mine(name) {
			delete(h.links, name)
		}
	}
}

func (h *Home) grant(_ context.Context, q *linkpb.GrantRequest) (*linkpb.GrantResponse, error) {
	if q.Class < 0 || q.Class >= int32(classes) {
		return nil, wire.Fail(wire.FailureMalformed, "class")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	l := h.link(now, q.Link)
	if l == nil {
		return nil, wire.Fail(wire.FailureUnavailable, "unknown link "+q.Link)
	}
	if q.SeenRate > 0 {
		l.estimate.ObserveRate(now, float64(q.SeenRate))
		l.budget.SetRate(now, int64(l.estimate.Rate(now)))
	}
	lease := l.budget.Grant(now, Class(q.Class), q.Bytes, time.Duration(q.WithinMs)*time.Millisecond)
	return &linkpb.GrantResponse{
		Id: lease.ID, Bytes: lease.Bytes, Rate: lease.Rate,
		StartInMs:   lease.StartIn.Milliseconds(),
		ExpiresInMs: lease.Expires.Sub(now).Milliseconds(),
	}, nil
}

func (h *Home) link(now time.Time, name string) *homeLink {
	if l := h.links[name]; l != nil {
		return l
	}
	o, ok := h.options(name)
	if !ok {
		return nil
	}
	l := &homeLink{budget: NewBudget(now, o), estimate: NewEstimate(now, o.Rate, 0)}
	h.links[name] = l
	return l
}
