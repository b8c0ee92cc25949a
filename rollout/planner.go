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
)

// Order tells an endpoint to load weights.
type Order struct {
	Endpoint *fleet.Endpoint
	Model    string
	Version  int64
}

// State is what an endpoint tells of itself.
type State struct {
	Orders  int64 // accepted since its start
	Busy    bool  // an order is in progress
	Weights map[string]int64
}

// Result is how an endpoint answered an order.
type Result uint8

// The results of an order.
const (
	Unknown  Result = iota // no answer: it may be carried out later
	Accepted               // it is being carried out
	Holds                  // the endpoint has the weights already
	Busy                   // another order is in progress, or Expected is out of date
	Refused                // the endpoint knows no such order or weights
	Moved                  // another endpoint has the address
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
	version int64
	due     time.Time // when it is given again unless the weights are loaded
	done    bool
}

// Planner remembers the orders of one tenure. It is not safe for concurrent
// use.
type Planner struct {
	tasks map[key]*task
}

// NewPlanner returns a Planner that knows of no orders.
func NewPlanner() *Planner { return &Planner{tasks: map[key]*task{}} }

// Next returns the orders that are due at now.
//
// Load pattern: while weights are swapped an endpoint takes no new requests for
// about 0.3 s, and what it answers on old weights soon counts for nothing. All
// endpoints are ordered at once: the time in which answers come from old
// weights is what costs most.
func (p *Planner) Next(s *fleet.Snapshot, now time.Time) []Order {
	var orders []Order
	for _, e := range s.Endpoints {
		for model, have := range e.Weights {
			wanted := s.Weights[model]
			if have >= wanted || e.Leaving {
				continue
			}
			if p.begin(key{e.Key(), model}, wanted, now) {
				orders = append(orders, Order{Endpoint: e, Model: model, Version: wanted})
			}
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
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

// Answered records how an endpoint answered.
func (p *Planner) Answered(o Order, r Result, now time.Time) {
	t := p.tasks[key{o.Endpoint.Key(), o.Model}]
	if t == nil || t.version != o.Version {
		return
	}
	switch r {
	case Accepted:
		t.due = now.Add(acceptedFor)
	case Holds:
		t.done = true
	case Busy, Refused, Moved, Unknown:
		t.due = now.Add(resend)
	}
}
