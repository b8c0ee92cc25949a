package rollout

import (
	"slices"
	"strings"
	"time"

	"redwingknot/fleet"
)

// Figures of the Planner.
const (
	// resend is how long an order without an answer is waited for; an answer
	// takes milliseconds.
	resend = 400 * time.Millisecond
	// acceptedFor is how long an accepted order may take before it is sent
	// again: a load, and the heartbeat that shows it.
	acceptedFor = 3 * time.Second
	// waves is the number of parts in which the engines of a model load: the
	// others serve meanwhile, and all are done before answers on old weights
	// lose worth.
	waves = 3
	// leastAtOnce keeps small services from loading one by one.
	leastAtOnce = 2
	// loadLeast is how long a load takes at least, a little less than 0.3 s: no
	// engine is asked before whether it is done.
	loadLeast = 250 * time.Millisecond
	// askInterval is the time between questions whether a load is done.
	askInterval = 60 * time.Millisecond
)

// Order tells an endpoint to load weights.
type Order struct {
	Endpoint *fleet.Endpoint
	Model    string
	Version  int64
}

// EndpointState is what an endpoint tells of itself.
type EndpointState struct {
	AcceptedOrders int64 // accepted since its start
	Busy           bool  // an order is in progress
	Weights        map[string]int64
}

// Result is how an endpoint answered an order.
type Result uint8

// The results of an order.
const (
	NoAnswer      Result = iota // no answer: it may be carried out later
	Accepted                    // it is being carried out
	AlreadyLoaded               // the endpoint has the weights already
	Busy                        // another order is in progress, or Expected is out of date
	Refused                     // the endpoint knows no such order or weights
	AddressReused               // another endpoint has the address
)

var resultNames = [...]string{"unknown", "accepted", "holds", "busy", "refused", "moved"}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// key names one thing to do.
type key struct {
	endpoint fleet.Key
	model    string
}

// task is what is known of an order that was given.
type task struct {
	version  int64
	due      time.Time // when it is given again unless the weights are loaded
	accepted bool
	ask      time.Time // when the endpoint is asked next whether it has loaded
	done     bool
}

// Planner remembers the orders of one tenure. It is not safe for concurrent
// use.
type Planner struct {
	tasks map[key]*task
}

// NewPlanner returns a Planner that knows of no orders.
func NewPlanner() *Planner { return &Planner{tasks: map[key]*task{}} }

// DueOrders returns the orders that are due at now.
//
// Load pattern: an engine that loads weights takes no new requests for about
// 0.3 s, longer if many load at once. The engines of a model load in waves, so
// that most of them serve at any time; each engine that is done makes room for
// the next.
func (p *Planner) DueOrders(s *fleet.Snapshot, now time.Time) []Order {
	var orders []Order
	for model, wanted := range s.Weights {
		orders = append(orders, p.next(s, model, wanted, now)...)
	}
	return orders
}

// next returns the orders of one model.
func (p *Planner) next(s *fleet.Snapshot, model string, wanted int64, now time.Time) []Order {
	var behind []*fleet.Endpoint
	engines, loading := 0, 0
	for _, e := range s.Endpoints {
		have, ok := e.Weights[model]
		if !ok || e.Leaving {
			continue
		}
		engines++
		if have >= wanted {
			continue
		}
		behind = append(behind, e)
		if t := p.tasks[key{e.Key(), model}]; t.runs(wanted, now) {
			loading++
		}
	}
	slices.SortFunc(behind, func(a, b *fleet.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	room := max(leastAtOnce, (engines+waves-1)/waves) - loading
	var orders []Order
	for _, e := range behind {
		if room > 0 && p.begin(key{e.Key(), model}, wanted, now) {
			orders = append(orders, Order{Endpoint: e, Model: model, Version: wanted})
			room--
		}
	}
	return orders
}

// runs reports whether an order of that version is being carried out.
func (t *task) runs(version int64, now time.Time) bool {
	return t != nil && t.version == version && !t.done && now.Before(t.due)
}

// DuePolls returns the accepted orders whose endpoints should be asked at now whether
// they have loaded.
func (p *Planner) DuePolls(s *fleet.Snapshot, now time.Time) []Order {
	var orders []Order
	for _, e := range s.Endpoints {
		for model := range e.Weights {
			t := p.tasks[key{e.Key(), model}]
			if t == nil || !t.accepted || t.done || now.Before(t.ask) {
				continue
			}
			t.ask = now.Add(askInterval)
			orders = append(orders, Order{Endpoint: e, Model: model, Version: t.version})
		}
	}
	return orders
}

// begin reports whether an order is due, and counts it as given.
func (p *Planner) begin(k key, version int64, now time.Time) bool {
	t := p.tasks[k]
	if t == nil || t.version < version {
		p.tasks[k] = &task{version: version, due: now.Add(resend)}
		return true
	}
	if t.done || now.Before(t.due) {
		return false
	}
	t.due = now.Add(resend)
	return true
}

// RecordResult records how an endpoint answered.
func (p *Planner) RecordResult(o Order, r Result, now time.Time) {
	t := p.tasks[key{o.Endpoint.Key(), o.Model}]
	if t == nil || t.version != o.Version {
		return
	}
	switch r {
	case Accepted:
		t.accepted = true
		t.due = now.Add(acceptedFor)
		t.ask = now.Add(loadLeast)
	case AlreadyLoaded:
		t.done = true
	case Busy, Refused, AddressReused, NoAnswer:
		t.due = now.Add(resend)
	}
}
