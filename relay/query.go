package relay

import (
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/place"
)

// query is what the placement of a request needs.
type query struct {
	service     string
	prompt      *Prompt
	session     uint64 // hash of the prompt's part that its session shares
	tie         uint64 // hash of the request
	team        *fleet.Team
	rank        int           // 0 is the most urgent
	target      time.Duration // time within which an answer has its full worth
	admission   bool          // endpoints were there, but the request should wait
	maxAttempts int
	tried       []fleet.EndpointKey
	avoid       []fleet.EndpointKey
}

func newQuery(c *Call, r *fleet.Route, service string) *query {
	q := &query{service: service, tie: place.Hash(c.AttemptID), maxAttempts: r.MaxAttempts, rank: r.Priority, target: r.TargetTime}
	if c.Prompt != nil {
		q.prompt = c.Prompt
		q.session = place.Hash(sessionPart(c.Prompt))
	}
	return q
}

// sessionPart returns the identifier of the part that makes a session: the last
// one that requests share, which is by far the largest.
func sessionPart(p *Prompt) string {
	switch n := len(p.Parts); {
	case n == 0:
		return ""
	case n == 1:
		return p.Parts[0].ID
	default:
		return p.Parts[1].ID
	}
}

// mayTry reports whether an attempt may go to an endpoint.
func (q *query) mayTry(k fleet.EndpointKey) bool {
	if slices.Contains(q.avoid, k) {
		return false
	}
	if len(q.tried) < q.maxAttempts {
		return true
	}
	return slices.Contains(q.tried, k)
}

// pickShare chooses the service of a request by the weights of its route, the
// same for every repeat of one attempt.
func pickShare(r *fleet.Route, attemptID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := float64(place.Hash(attemptID)>>11) / (1 << 53) * sum
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
