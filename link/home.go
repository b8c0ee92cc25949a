package link

import (
	"context"
	"sync"
	"time"

	"redwingknot/link/linkpb"
	"redwingknot/wire"
)

// methodGrant is the name of the call that requests a lease.
const methodGrant = "link.grant"

// Home keeps the budgets of the links whose home is this instance. It creates a
// budget at the first request for its link. It is safe for concurrent use.
type Home struct {
	now     func() time.Time
	options func(link string) (BudgetOptions, bool)

	mu    sync.Mutex
	links map[string]*homeLink
}

// homeLink is the budget and the estimated rate of one link.
type homeLink struct {
	budget   *Budget
	estimate *Estimate
}

// NewHome returns a home without links. options describes a link at its first
// request and reports false for an unknown link, whose requests are refused.
func NewHome(now func() time.Time, options func(link string) (BudgetOptions, bool)) *Home {
	return &Home{now: now, options: options, links: map[string]*homeLink{}}
}

// Register adds the handlers of the home's calls to s.
func (h *Home) Register(s *wire.Server) {
	wire.Handle(s, methodGrant, h.grant)
}

// Retain removes the links for which isHome reports false: this instance is no longer
// their home.
func (h *Home) Retain(isHome func(link string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.links {
		if !isHome(name) {
			delete(h.links, name)
		}
	}
}

// grant handles a request for a lease.
func (h *Home) grant(_ context.Context, req *linkpb.GrantRequest) (*linkpb.GrantResponse, error) {
	if req.Class < 0 || req.Class >= int32(numClasses) {
		return nil, wire.Fail(wire.FailureMalformed, "class")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	l := h.linkState(now, req.Link)
	if l == nil {
		return nil, wire.Fail(wire.FailureUnavailable, "unknown link "+req.Link)
	}
	if req.SeenRate > 0 {
		l.estimate.ObserveRate(now, float64(req.SeenRate))
		l.budget.SetRate(now, int64(l.estimate.Rate(now)))
	}
	lease := l.budget.Grant(now, Class(req.Class), req.Bytes, time.Duration(req.WithinMs)*time.Millisecond)
	return &linkpb.GrantResponse{
		Id: lease.ID, Bytes: lease.Bytes, Rate: lease.Rate,
		StartInMs:   lease.StartIn.Milliseconds(),
		ExpiresInMs: lease.Expires.Sub(now).Milliseconds(),
	}, nil
}

// linkState returns the state of a link and creates it at the first use. It returns
// nil for an unknown link. The caller holds mu.
func (h *Home) linkState(now time.Time, name string) *homeLink {
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
