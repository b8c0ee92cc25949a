package rollout

import (
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
	// weights. The other engines serve requests meanwhile, and all engines have
	// loaded before answers from old weights are worth less than those from the
	// wanted ones.
	loadWaves = 3
	// minConcurrentLoads is the number of engines that may always load at once,
	// so that the engines of a small service do not load one by one.
	minConcurrentLoads = 2
	// minLoadTime is the time after which an engine is first asked whether it has
	// loaded the weights. It is a little less than the 0.3 s that a load takes.
	minLoadTime = 250 * time.Millisecond
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

// orderStatus is what is known about an order that was sent.
type orderStatus struct {
	version  int64
	retryAt  time.Time // when the order is retried unless the weights are loaded
	accepted bool      // whether the endpoint has accepted the order
	pollAt   time.Time // when the endpoint is next asked whether it has loaded the weights
	loaded   bool      // whether the endpoint has loaded the weights
}

// Planner plans orders and keeps their status while this instance is the leader
// without interruption. It is not safe for concurrent use.
type Planner struct {
	statuses map[orderKey]*orderStatus
}

// NewPlanner returns a Planner that has sent no orders.
func NewPlanner() *Planner { return &Planner{statuses: map[orderKey]*orderStatus{}} }

// DueOrders returns the orders to send at now and counts them as sent.
//
// Load pattern: an engine that loads weights takes no new requests for about
// 0.3 s, or longer if many engines load at once. The number of engines of a model
// that load at the same time is therefore limited, so that most of them serve
// requests at any time. As soon as one engine has loaded, another is ordered to.
func (p *Planner) DueOrders(s *fleet.Snapshot, now time.Time) []Order {
	var orders []Order
	for model, wantedVersion := range s.WantedWeights {
		orders = append(orders, p.nextForModel(s, model, wantedVersion, now)...)
	}
	return orders
}

// nextForModel returns the orders to send at now for one model.
func (p *Planner) nextForModel(s *fleet.Snapshot, model string, wantedVersion int64, now time.Time) []Order {
	var outdated []*fleet.Endpoint
	engines, loading := 0, 0
	for _, e := range s.Endpoints {
		loadedVersion, ok := e.WeightVersions[model]
		if !ok || e.Leaving {
			continue
		}
		engines++
		if loadedVersion >= wantedVersion {
			continue
		}
		outdated = append(outdated, e)
		if status := p.statuses[orderKey{e.Key(), model}]; status.inProgress(wantedVersion, now) {
			loading++
		}
	}
	slices.SortFunc(outdated, func(a, b *fleet.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	loadsAllowed := max(minConcurrentLoads, (engines+loadWaves-1)/loadWaves) - loading
	var orders []Order
	for _, e := range outdated {
		if loadsAllowed > 0 && p.markSentIfDue(orderKey{e.Key(), model}, wantedVersion, now) {
			orders = append(orders, Order{Endpoint: e, Model: model, Version: wantedVersion})
			loadsAllowed--
		}
	}
	return orders
}

// inProgress reports whether an order for that version was sent and is neither
// completed nor due for a retry. The receiver may be nil.
func (s *orderStatus) inProgress(version int64, now time.Time) bool {
	return s != nil && s.version == version && !s.loaded && now.Before(s.retryAt)
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

// markSentIfDue reports whether the order for k should be sent at now, and if so
// marks it as sent.
func (p *Planner) markSentIfDue(k orderKey, version int64, now time.Time) bool {
	status := p.statuses[k]
	if status == nil || status.version < version {
		p.statuses[k] = &orderStatus{version: version, retryAt: now.Add(retryDelay)}
		return true
	}
	if status.loaded || now.Before(status.retryAt) {
		return false
	}
	status.retryAt = now.Add(retryDelay)
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
		status.pollAt = now.Add(minLoadTime)
	case AlreadyLoaded:
		status.loaded = true
	case Busy, Refused, AddressReused, NoAnswer:
		status.retryAt = now.Add(retryDelay)
	}
}
