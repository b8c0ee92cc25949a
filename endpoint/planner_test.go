package endpoint

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/engine"
	"redwingknot/internal/fuzztest"
	"redwingknot/note"
)

// stateOf returns a configuration with one service and its workers w0, w1 and so
// on. Every second worker checks fencing tokens.
func stateOf(version string, workers int, loadsAtOnce int) *note.State {
	s := &note.State{
		Models:    map[string]note.Model{"m": {Name: "m", Version: version}},
		Adapters:  map[string]note.Adapter{"a": {Name: "a", Model: "m", Version: "1"}},
		Services:  map[string]note.Service{"llm": {Name: "llm", Kind: note.KindModel, Model: "m", Adapters: []string{"a"}, LoadsAtOnce: loadsAtOnce}},
		Endpoints: map[string]note.Endpoint{},
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		s.Endpoints[name] = note.Endpoint{Name: name, DataCentre: "ilala", Service: "llm", ChecksFencing: i%2 == 0}
	}
	return s
}

// simulatedWorker is a simulated engine with its actual state, as opposed to the
// reported one.
type simulatedWorker struct {
	endpoint     note.Endpoint
	up           bool
	noReports    bool // obeys orders, but polls get no report
	version      string
	adapters     []string
	fencingToken int64
	loading      *engine.Order  // order being carried out, nil for none
	arrived      []arrivedOrder // orders that have not started
	loadEndsAt   time.Time      // when the current load ends
}

// arrivedOrder is an order that has arrived and has not started.
type arrivedOrder struct {
	order   engine.Order
	startAt time.Time
}

const loadDuration = 700 * time.Millisecond

// receiveOrder accepts or refuses an order as an engine does. An accepted order
// starts after delay, unless it expires before.
func (w *simulatedWorker) receiveOrder(now time.Time, o engine.Order, delay time.Duration) error {
	if w.endpoint.ChecksFencing && o.Fence < w.fencingToken {
		return &engine.FencedError{Fence: o.Fence}
	}
	if w.endpoint.ChecksFencing {
		w.fencingToken = o.Fence
	}
	if delay <= o.Expires {
		w.arrived = append(w.arrived, arrivedOrder{order: o, startAt: now.Add(delay)})
	}
	return nil
}

// advance starts and ends the loads that are due at now.
func (w *simulatedWorker) advance(now time.Time) {
	if w.loading != nil && !now.Before(w.loadEndsAt) {
		w.version, w.adapters, w.loading = w.loading.Version, w.loading.Adapters, nil
	}
	var later []arrivedOrder
	for _, arrived := range w.arrived {
		switch {
		case now.Before(arrived.startAt) || w.loading != nil:
			later = append(later, arrived)
		case w.version != arrived.order.Version:
			w.loading, w.version, w.loadEndsAt = &arrived.order, "", now.Add(loadDuration)
		}
	}
	w.arrived = later
}

func (w *simulatedWorker) report(now time.Time) engine.Report {
	r := engine.Report{Model: "m", Version: w.version, Adapters: w.adapters, Fence: w.fencingToken, At: now}
	if w.loading != nil {
		r.Loading = w.loading.Version
	}
	return r
}

// dataCentreSim simulates the engines of a data centre and the leaders that send them
// orders: the current leader, and earlier leaders whose processes are paused.
type dataCentreSim struct {
	now                time.Time
	rand               *rand.Rand
	state              *note.State
	workers            map[string]*simulatedWorker
	lastPolled         map[string]Worker // workers as known from the last poll
	planner            *Planner
	fencingToken       int64
	slotsUsableFrom    time.Time       // when the current leader may use its slots
	planned            []EndpointOrder // planned by the current leader and not yet sent
	pausedLeaderOrders []EndpointOrder // orders that paused leaders may still send, at most one each
	staleOrdered       map[string]bool // workers that have accepted an order of a paused leader
	slots              int
}

func newDataCentreSim(workers, slots int, seed uint64) *dataCentreSim {
	s := &dataCentreSim{
		now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(seed, 1)), state: stateOf("v1", workers, slots),
		workers: map[string]*simulatedWorker{}, lastPolled: map[string]Worker{}, planner: NewPlanner(DefaultServingShare),
		staleOrdered: map[string]bool{}, slots: slots, fencingToken: 1,
	}
	for name, e := range s.state.Endpoints {
		s.workers[name] = &simulatedWorker{endpoint: e, up: true, version: "v1", adapters: []string{"a@1"}}
		s.lastPolled[name] = Worker{Endpoint: e}
	}
	return s
}

// advance advances the time by d in small steps. It returns a description of the
// first violation of the slot limit, or an empty string.
func (s *dataCentreSim) advance(d time.Duration) string {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, w := range s.workers {
			if w.up {
				w.advance(s.now)
			}
		}
		if violation := s.checkSlots(); violation != "" {
			return violation
		}
	}
	return ""
}

// checkSlots returns a description if more workers load than there are slots, or an
// empty string. Loads by orders of paused leaders don't count; when these loads have
// ended, it removes their workers from staleOrdered.
func (s *dataCentreSim) checkSlots() string {
	loading := 0
	for name, w := range s.workers {
		if w.loading != nil && w.up && !s.staleOrdered[name] {
			loading++
		}
		if w.loading == nil && len(w.arrived) == 0 {
			delete(s.staleOrdered, name)
		}
	}
	if loading > s.slots {
		return fmt.Sprintf("%d concurrent loads by orders of the current leader, limit %d", loading, s.slots)
	}
	return ""
}

// poll reads the engines' reports; if lossy is set, it skips a random third of
// them.
func (s *dataCentreSim) poll(lossy bool) {
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		if lossy && s.rand.IntN(3) == 0 {
			continue
		}
		old := s.lastPolled[name]
		worker := Worker{Endpoint: w.endpoint, Report: old.Report, Reachable: w.up && !w.noReports}
		if worker.Reachable {
			worker.Report = w.report(s.now)
		}
		s.lastPolled[name] = worker
	}
}

// serving returns how many engines actually serve.
func (s *dataCentreSim) serving() int {
	count := 0
	for _, w := range s.workers {
		if w.up && w.version != "" {
			count++
		}
	}
	return count
}

// plan runs the planner on the known reports and appends its orders to planned.
func (s *dataCentreSim) plan() {
	in := PlanInput{State: s.state, Slots: map[string]int{}, AllowedStarts: map[string]int{"llm": s.slots}, FencingToken: s.fencingToken}
	if !s.now.Before(s.slotsUsableFrom) {
		in.Slots["llm"] = s.slots
	}
	for _, w := range s.lastPolled {
		in.Workers = append(in.Workers, w)
	}
	s.planned = append(s.planned, s.planner.Plan(s.now, in).Orders...)
}

// What happens to an order that is sent. With answerLost and startDelayed the
// order starts after a random delay, or not at all if it expires before.
const (
	orderLost      = iota // never arrives
	answerLost            // arrives; a refusal does not reach the leader
	startDelayed          // arrives, and so does the answer
	startImmediate        // the same, and the order starts at once
)

// sendNext sends the oldest planned order; delivery is one of the constants above.
func (s *dataCentreSim) sendNext(delivery int) {
	if len(s.planned) == 0 {
		return
	}
	order := s.planned[0]
	s.planned = s.planned[1:]
	s.planner.RecordSend(s.now, order.Endpoint.Name)
	w := s.workers[order.Endpoint.Name]
	if delivery == orderLost || !w.up {
		return
	}
	delay := time.Duration(s.rand.Int64N(int64(orderTimeout + orderExpiry)))
	if delivery == startImmediate {
		delay = 0
	}
	if err := w.receiveOrder(s.now, order.Order, delay); err != nil && delivery != answerLost {
		s.planner.RecordRefusal(order.Endpoint.Name, order.Order.Fence)
	}
}

// takeOver pauses the current leader and replaces it by a new one after the lease has
// expired. The old leader may be paused between its check of the lease and the
// sending of an order, so it keeps its next order.
func (s *dataCentreSim) takeOver() {
	if len(s.planned) > 0 {
		s.pausedLeaderOrders = append(s.pausedLeaderOrders, s.planned[0])
	}
	s.planned = nil
	s.fencingToken++
	s.slotsUsableFrom = s.now.Add(settleTime)
	s.planner.Reset()
}

// resumePausedLeader lets the leader that was paused first send its remaining order.
func (s *dataCentreSim) resumePausedLeader() {
	if len(s.pausedLeaderOrders) == 0 {
		return
	}
	order := s.pausedLeaderOrders[0]
	s.pausedLeaderOrders = s.pausedLeaderOrders[1:]
	w := s.workers[order.Endpoint.Name]
	if w.up && w.receiveOrder(s.now, order.Order, 0) == nil {
		s.staleOrdered[order.Endpoint.Name] = true
	}
}

// TestFuzzOrders checks that the loads by orders of the current leader stay within
// the slots, that this leader takes no worker out of service below the floor, and
// that every running engine has the wanted weights in the end.
func TestFuzzOrders(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		s := newDataCentreSim(workers, rapid.IntRange(1, 3).Draw(t, "slots"), rapid.Uint64().Draw(t, "seed"))
		version := 1
		failOn := func(violation string) {
			if violation != "" {
				t.Fatal(violation)
			}
		}
		name := func() string { return fmt.Sprint("w", rapid.IntRange(0, workers-1).Draw(t, "worker")) }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				failOn(s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 100 * time.Millisecond))
			},
			"poll":   func(*rapid.T) { s.poll(true) },
			"plan":   func(*rapid.T) { s.plan() },
			"send":   func(t *rapid.T) { s.sendNext(rapid.IntRange(orderLost, startImmediate).Draw(t, "fate")) },
			"take":   func(*rapid.T) { s.takeOver() },
			"resume": func(*rapid.T) { s.resumePausedLeader() },
			"change": func(*rapid.T) { version++; s.state = stateOf(fmt.Sprint("v", version), workers, s.slots) },
			"crash": func(*rapid.T) {
				w := s.workers[name()]
				w.up, w.version, w.loading, w.arrived = false, "", nil, nil
			},
			"silent": func(*rapid.T) { w := s.workers[name()]; w.noReports = !w.noReports },
			"start":  func(*rapid.T) { s.workers[name()].up = true },
		})
		for len(s.pausedLeaderOrders) > 0 {
			s.resumePausedLeader()
		}
		for _, w := range s.workers {
			w.up, w.noReports = true, false
		}
		s.planned = nil
		failOn(s.advance(2 * settleTime)) // let orders that were based on outdated reports finish
		for range 40 * workers {
			s.poll(false)
			before := s.serving()
			s.plan()
			for len(s.planned) > 0 {
				s.sendNext(startImmediate)
			}
			failOn(s.advance(planInterval))
			if len(s.staleOrdered) == 0 && s.serving() < min(before, ServingFloor(DefaultServingShare, workers)) {
				t.Fatalf("%d workers serve, %d served before, floor %d", s.serving(), before, ServingFloor(DefaultServingShare, workers))
			}
		}
		for _, w := range s.workers {
			if w.version != s.state.Models["m"].Version || w.loading != nil {
				t.Fatalf("%s has version %q, want %q", w.endpoint.Name, w.version, s.state.Models["m"].Version)
			}
		}
	})
}

func TestFloorLetsSmallServiceSwapOneWorker(t *testing.T) {
	for _, c := range []struct{ workers, floor int }{{1, 0}, {2, 1}, {3, 2}, {10, 8}, {77, 58}} {
		assert.Equal(t, ServingFloor(DefaultServingShare, c.workers), c.floor)
	}
}

func TestWorkersWithoutWeightsComeFirst(t *testing.T) {
	state := stateOf("v2", 3, 1)
	now := time.Unix(1e9, 0)
	in := PlanInput{State: state, Slots: map[string]int{"llm": 1}, AllowedStarts: map[string]int{"llm": 1}, FencingToken: 5}
	for i := range 3 {
		w := Worker{Endpoint: state.Endpoints[fmt.Sprint("w", i)], Reachable: true}
		w.Report = engine.Report{Model: "m", Version: "v1", At: now}
		if i == 2 {
			w.Report.Version = ""
		}
		in.Workers = append(in.Workers, w)
	}
	plan := NewPlanner(DefaultServingShare).Plan(now, in)
	assert.Equal(t, len(plan.Orders), 1)
	assert.Equal(t, plan.Orders[0].Endpoint.Name, "w2")
	assert.DeepEqual(t, plan.Orders[0].Order.Adapters, []string{"a@1"})
	assert.Equal(t, plan.Orders[0].Order.Fence, int64(5))
}
