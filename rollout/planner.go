package rollout

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"redwingknot/fleet"
)

// Parameters of the Planner.
const (
	// retryDelay is the time after which an order is retried if it got no
	// answer or was not accepted. An answer takes milliseconds.
	retryDelay = 400 * time.Millisecond
	// loadTimeout is the time after which an accepted order is retried. It
	// covers the load and the heartbeat that reports the loaded weights.
	loadTimeout = 3 * time.Second
	// loadWaves is the number of groups in which the engines of a model load
	// weights. The other engines serve requests meanwhile. Loads take longer if too
	// many engines load at once; with more groups, the last one would load only after answers
	// from old weights are worth less than those from the wanted ones.
	loadWaves = 4
	// minConcurrentLoads is the number of engines that may always load at once,
	// so that the engines of a small service do not load one by one.
	minConcurrentLoads = 2
	// minLoadTime is the time after which an engine is first asked whether it has
	// loaded the weights, before the first load has shown how long one takes.
	minLoadTime = 200 * time.Millisecond
	// firstPollShare is the part of the usual time of a load after which an engine is first
	// asked.
	firstPollShare = 0.85
	// loadTimeWeight is the weight of a new load in the average of the time that one takes.
	loadTimeWeight = 0.3
	// pollInterval is the time between requests that ask an engine whether it
	// has loaded the weights.
	pollInterval = 60 * time.Millisecond
)

// Order tells an endpoint to load a version of a model's weights.
type Order struct {
	Endpoint *fleet.Endpoint
	Model    string
	Version  int64
}

// EndpointState is the state that an endpoint reports.
type EndpointState struct {
	AcceptedOrders int64            // number of orders accepted since the endpoint started
	Busy           bool             // whether an order is in progress
	Weights        map[string]int64 // loaded version by model
}

// Result is an endpoint's answer to an order.
type Result uint8

// The possible results of an order.
const (
	NoAnswer      Result = iota // no answer; the order may still be carried out
	Accepted                    // the order is being carried out
	AlreadyLoaded               // the endpoint has already loaded the weights
	Busy                        // another order is in progress, or the endpoint has accepted more orders than the sender expected
	Refused                     // the endpoint does not know the order or the weights
	AddressReused               // another endpoint now uses the address
)

// resultNames are the results as they are logged. Some differ from the constants,
// because the logged names are fixed.
var resultNames = [...]string{"unknown", "accepted", "holds", "busy", "refused", "moved"}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// orderKey identifies the model and the endpoint that an order is for.
type orderKey struct {
	endpoint fleet.EndpointKey
	model    string
}

// orderStatus is what is known about a load that was planned or ordered.
type orderStatus struct {
	version   int64
	plannedAt time.Time // when the load was announced
	sent      bool      // whether the order was sent
	sentAt    time.Time // when it was last sent
	retryAt   time.Time // when the order is retried unless the weights are loaded
	accepted  bool      // whether the endpoint has accepted the order
	pollAt    time.Time // when the endpoint is next asked whether it has loaded the weights
	loaded    bool      // whether the endpoint has loaded the weights
}

// Planner plans orders and keeps their status while this instance is the leader
// without interruption. It is not safe for concurrent use.
type Planner struct {
	statuses map[orderKey]*orderStatus
	loadTime time.Duration // moving average of the time that a load takes, 0 before the first
}

// NewPlanner returns a Planner that has sent no orders.
func NewPlanner() *Planner { return &Planner{statuses: map[orderKey]*orderStatus{}} }

// DuePlans returns the loads that are to be announced to all instances at now, so that they
// send nothing more to the engines that load next, and counts them as planned. running
// returns the number of requests that run at an endpoint.
//
// Load pattern: the streams that run at an engine when it loads are worth little from then on.
// The engines with the fewest are planned first, and most streams have ended when the order
// comes. No more engines are planned than may load at once.
func (p *Planner) DuePlans(s *fleet.Snapshot, running func(*fleet.Endpoint) int, now time.Time) []Order {
	var plans []Order
	for model, wantedVersion := range s.WantedWeights {
		outdated, allowed := outdatedEngines(s, model, wantedVersion)
		planned := 0
		unplanned := slices.DeleteFunc(outdated, func(e *fleet.Endpoint) bool {
			status := p.statuses[orderKey{e.Key(), model}]
			if status.isPlanned(wantedVersion) && !status.sent {
				planned++
			}
			return status.isPlanned(wantedVersion)
		})
		slices.SortStableFunc(unplanned, func(a, b *fleet.Endpoint) int { return cmp.Compare(running(a), running(b)) })
		for _, e := range unplanned[:min(max(allowed-planned, 0), len(unplanned))] {
			p.statuses[orderKey{e.Key(), model}] = &orderStatus{version: wantedVersion, plannedAt: now}
			plans = append(plans, Order{Endpoint: e, Model: model, Version: wantedVersion})
		}
	}
	return plans
}

// DueOrders returns the orders to send at now and counts them as sent: those of loads that
// were planned at least notice ago, and those that are repeated.
//
// Load pattern: an engine that loads weights takes no new requests for about
// 0.3 s, or longer if many engines load at once. The number of engines of a model
// that load at the same time is therefore limited, so that most of them serve
// requests at any time. As soon as one engine has loaded, another is ordered to.
func (p *Planner) DueOrders(s *fleet.Snapshot, notice time.Duration, now time.Time) []Order {
	var orders []Order
	for model, wantedVersion := range s.WantedWeights {
		orders = append(orders, p.nextForModel(s, model, wantedVersion, notice, now)...)
	}
	return orders
}

// outdatedEngines returns the engines that do not have the wanted version of a model's
// weights, by their identifiers, and how many engines may load at once.
func outdatedEngines(s *fleet.Snapshot, model string, wantedVersion int64) (outdated []*fleet.Endpoint, allowed int) {
	engines := 0
	for _, e := range s.Endpoints {
		loadedVersion, ok := e.WeightVersions[model]
		if !ok || e.Leaving {
			continue
		}
		engines++
		if loadedVersion < wantedVersion {
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b *fleet.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return outdated, max(minConcurrentLoads, (engines+loadWaves-1)/loadWaves)
}

// nextForModel returns the orders to send at now for one model.
func (p *Planner) nextForModel(s *fleet.Snapshot, model string, wantedVersion int64, notice time.Duration, now time.Time) []Order {
	outdated, loadsAllowed := outdatedEngines(s, model, wantedVersion)
	for _, e := range outdated {
		if p.statuses[orderKey{e.Key(), model}].inProgress(wantedVersion, now) {
			loadsAllowed--
		}
	}
	var orders []Order
	for _, e := range outdated {
		status := p.statuses[orderKey{e.Key(), model}]
		if loadsAllowed > 0 && status.isPlanned(wantedVersion) && now.Sub(status.plannedAt) >= notice && status.markSentIfDue(now) {
			orders = append(orders, Order{Endpoint: e, Model: model, Version: wantedVersion})
			loadsAllowed--
		}
	}
	return orders
}

// isPlanned reports whether a load of that version was planned, or ordered already. The
// receiver may be nil.
func (s *orderStatus) isPlanned(version int64) bool { return s != nil && s.version == version }

// inProgress reports whether an order for that version was sent and is neither
// completed nor due for a retry. The receiver may be nil.
func (s *orderStatus) inProgress(version int64, now time.Time) bool {
	return s != nil && s.version == version && s.sent && !s.loaded && now.Before(s.retryAt)
}

// DuePolls returns the accepted orders whose endpoints should be asked at now whether
// they have loaded the weights.
func (p *Planner) DuePolls(s *fleet.Snapshot, now time.Time) []Order {
	var orders []Order
	for _, e := range s.Endpoints {
		for model := range e.WeightVersions {
			status := p.statuses[orderKey{e.Key(), model}]
			if status == nil || !status.accepted || status.loaded || now.Before(status.pollAt) {
				continue
			}
			status.pollAt = now.Add(pollInterval)
			orders = append(orders, Order{Endpoint: e, Model: model, Version: status.version})
		}
	}
	return orders
}

// markSentIfDue reports whether the order should be sent at now, and if so marks it as sent.
func (s *orderStatus) markSentIfDue(now time.Time) bool {
	if s.loaded || s.sent && now.Before(s.retryAt) {
		return false
	}
	s.sent, s.sentAt, s.retryAt = true, now, now.Add(retryDelay)
	return true
}

// RecordResult records an endpoint's answer to an order. It ignores orders for
// another version than the last one sent.
func (p *Planner) RecordResult(o Order, r Result, now time.Time) {
	status := p.statuses[orderKey{o.Endpoint.Key(), o.Model}]
	if status == nil || status.version != o.Version {
		return
	}
	switch r {
	case Accepted:
		status.accepted = true
		status.retryAt = now.Add(loadTimeout)
		status.pollAt = now.Add(p.firstPoll())
	case AlreadyLoaded:
		if status.accepted && !status.loaded {
			p.observeLoadTime(now.Sub(status.sentAt))
		}
		status.loaded = true
	case Busy, Refused, AddressReused, NoAnswer:
		status.retryAt = now.Add(retryDelay)
	}
}

// observeLoadTime records how long a load took.
func (p *Planner) observeLoadTime(took time.Duration) {
	if p.loadTime == 0 {
		p.loadTime = took
	}
	p.loadTime += time.Duration(loadTimeWeight * float64(took-p.loadTime))
}

// firstPoll returns the time after an order at which its endpoint is first asked whether it
// has loaded the weights.
func (p *Planner) firstPoll() time.Duration {
	return max(time.Duration(firstPollShare*float64(p.loadTime)), minLoadTime)
}
