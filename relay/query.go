package relay

import (
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/origin"
	"redwingknot/place"
	"redwingknot/queue"
)

// placementQuery is the input for choosing an endpoint for a request.
type placementQuery struct {
	service         string
	prompt          *Prompt             // nil for plain requests
	sessionHash     uint64              // hash of the prompt part that identifies the session
	requestHash     uint64              // hash of the caller's attempt identifier
	team            *fleet.Team         // nil on public routes
	priority        int                 // 0 is the most urgent
	target          time.Duration       // time within which a response has its full value
	awaitsAdmission bool                // the request waits until an endpoint can admit it or a pause ends; valid if none was chosen
	admissionDelay  time.Duration       // how long that takes at least; valid if awaitsAdmission is
	waiter          *waiter             // while the request waits, nil otherwise
	took            *queue.Request      // what the request counted for when it last got room after a wait, nil once that may have run
	waitingSince    time.Time           // when the request first waited, zero if it has not
	notBefore       time.Time           // the request rests until then because endpoints have rejected it
	ahead           map[*endpoint]bool  // endpoints that waiting requests ahead could use
	hasCandidate    bool                // an endpoint is listed that may run the request; valid if none was chosen
	backlogWait     time.Duration       // expected wait by the backlog ahead; valid if estimated
	heldByShare     bool                // more urgent requests wait at other instances; see mayShare
	answerTime      time.Duration       // from getting room until the response begins; valid if none was chosen
	estimated       bool                // the wait by the backlog could be estimated
	nextChange      time.Duration       // until an endpoint may admit the request again; 0 if not known
	mayHaveRun      []fleet.EndpointKey // endpoints that may have run the request
	waitsForPlace   bool                // the request is counted in waitingForPlace of its service
	waitsForLimit   bool                // the request is counted in waitingForLimit of its service
	pauses          callerPauses        // between the events that the caller gets
	maxAttempts     int
	repeatable      bool                // the request may run more than once
	software        origin.Version      // software version that must run the request, 0 for any
	beginsStream    bool                // the request begins a stream that callers may take up
	unresumable     bool                // the stream began at an endpoint that does not name its software version
	tried           []fleet.EndpointKey // endpoints that the request was sent to
	excluded        []fleet.EndpointKey // endpoints that no further attempt may use
}

func newPlacementQuery(c *Call, r *fleet.Route, service string) *placementQuery {
	q := &placementQuery{service: service, requestHash: place.Hash(c.AttemptID), maxAttempts: r.MaxAttempts, repeatable: r.Repeatable(), priority: r.Priority, target: r.TargetTime, pauses: callerPauses{objective: r.MaxGap}}
	if c.Prompt != nil {
		q.prompt = c.Prompt
		q.sessionHash = place.Hash(sessionPartID(c.Prompt))
	}
	return q
}

// sessionPartID returns the identifier of the prompt part that identifies the
// session: the second part, or the first if there is only one; empty without
// parts. In a prompt of three parts, the second is the last one that requests
// share, and by far the largest.
func sessionPartID(p *Prompt) string {
	switch n := len(p.Parts); {
	case n == 0:
		return ""
	case n == 1:
		return p.Parts[0].ID
	default:
		return p.Parts[1].ID
	}
}

// mayTry reports whether an attempt may be sent to an endpoint: it has the required software
// version, is not excluded, and once maxAttempts endpoints may have run the request, it is one
// of these. Endpoints that rejected it do not count.
func (q *placementQuery) mayTry(spec *fleet.Endpoint) bool {
	k := spec.Key()
	if slices.Contains(q.excluded, k) || q.software != 0 && softwareOf(spec) != q.software {
		return false
	}
	if len(q.mayHaveRun) < q.maxAttempts {
		return true
	}
	return slices.Contains(q.mayHaveRun, k)
}

// whyNotTry returns why mayTry excludes an endpoint.
func (q *placementQuery) whyNotTry(spec *fleet.Endpoint) place.Standing {
	if q.software != 0 && softwareOf(spec) != q.software && !slices.Contains(q.excluded, spec.Key()) {
		return place.OtherVersion
	}
	return place.Excluded
}

// chooseService chooses the service of a request at random by the weights of its
// route's shares. The choice depends only on the attempt identifier, so that
// every repetition of an attempt goes to the same service.
func chooseService(r *fleet.Route, attemptID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	totalWeight := 0.0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	point := float64(place.Hash(attemptID)>>11) / (1 << 53) * totalWeight
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
