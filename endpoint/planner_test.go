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

// worker is an engine as it really is.
type worker struct {
	endpoint note.Endpoint
	up       bool
	silent   bool // obeys orders and gives no report
	version  string
	adapters []string
	fence    int64
	loading  *engine.Order
	begun    []begun // orders that arrived and have not begun
	doneAt   time.Time
}

type begun struct {
	order engine.Order
	at    time.Time // when it begins
}

const loadTime = 700 * time.Millisecond

// arrive takes an order as the engine does, to begin after delay.
func (w *worker) arrive(now time.Time, o engine.Order, delay time.Duration) error {
	if w.endpoint.ChecksFencing && o.Fence < w.fence {
		return &engine.FencedError{Fence: o.Fence}
	}
	if w.endpoint.ChecksFencing {
		w.fence = o.Fence
	}
	if delay <= o.Expires {
		w.begun = append(w.begun, begun{order: o, at: now.Add(delay)})
	}
	return nil
}

// step begins and ends loads that are due.
func (w *worker) step(now time.Time) {
	if w.loading != nil && !now.Before(w.doneAt) {
		w.version, w.adapters, w.loading = w.loading.Version, w.loading.Adapters, nil
	}
	var later []begun
	for _, b := range w.begun {
		switch {
		case now.Before(b.at) || w.loading != nil:
			later = append(later, b)
		case w.version != b.order.Version:
			w.loading, w.version, w.doneAt = &b.order, "", now.Add(loadTime)
		}
	}
	w.begun = later
}

func (w *worker) report(now time.Time) engine.Report {
	r := engine.Report{Model: "m", Version: w.version, Adapters: w.adapters, Fence: w.fence, At: now}
	if w.loading != nil {
		r.Loading = w.loading.Version
	}
	return r
}

// fleet is one data centre's engines and the leads that order them, of which
// the last is the true one and those before are paused.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	state   *note.State
	workers map[string]*worker
	reports map[string]Worker
	planner *Planner
	fence   int64
	open    time.Time       // when the slots of the true lead are usable
	queue   []EndpointOrder // planned and not yet sent by the true lead
	stale   []EndpointOrder // at most one of each paused lead
	excess  map[string]bool // workers that a stale order has reached
	slots   int
}

func newFleet(workers, slots int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(seed, 1)), state: stateOf("v1", workers, slots),
		workers: map[string]*worker{}, reports: map[string]Worker{}, planner: NewPlanner(DefaultServingShare),
		excess: map[string]bool{}, slots: slots, fence: 1,
	}
	for name, e := range f.state.Endpoints {
		f.workers[name] = &worker{endpoint: e, up: true, version: "v1", adapters: []string{"a@1"}}
		f.reports[name] = Worker{Endpoint: e}
	}
	return f
}

// pass lets time go on in small steps.
func (f *fleet) pass(d time.Duration) string {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, w := range f.workers {
			if w.up {
				w.step(f.now)
			}
		}
		if wrong := f.check(); wrong != "" {
			return wrong
		}
	}
	return ""
}

// check compares what the engines do with the bounds.
func (f *fleet) check() string {
	loading := 0
	for name, w := range f.workers {
		if w.loading != nil && w.up && !f.excess[name] {
			loading++
		}
		if w.loading == nil && len(w.begun) == 0 {
			delete(f.excess, name)
		}
	}
	if loading > f.slots {
		return fmt.Sprintf("%d load at once by live orders, %d may", loading, f.slots)
	}
	return ""
}

// poll reads the reports of the engines that answer; lossy skips some.
func (f *fleet) poll(lossy bool) {
	for _, name := range slices.Sorted(maps.Keys(f.workers)) {
		w := f.workers[name]
		if lossy && f.rand.IntN(3) == 0 {
			continue
		}
		old := f.reports[name]
		x := Worker{Endpoint: w.endpoint, Report: old.Report, Reachable: w.up && !w.silent}
		if x.Reachable {
			x.Report = w.report(f.now)
		}
		f.reports[name] = x
	}
}

// serving returns how many engines really serve.
func (f *fleet) serving() int {
	count := 0
	for _, w := range f.workers {
		if w.up && w.version != "" {
			count++
		}
	}
	return count
}

func (f *fleet) plan() {
	in := PlanInput{State: f.state, Slots: map[string]int{}, AllowedStarts: map[string]int{"llm": f.slots}, Fence: f.fence}
	if !f.now.Before(f.open) {
		in.Slots["llm"] = f.slots
	}
	for _, x := range f.reports {
		in.Workers = append(in.Workers, x)
	}
	f.queue = append(f.queue, f.planner.Plan(f.now, in).Orders...)
}

// The fates of an order: lost, obeyed with the answer lost, obeyed at some time
// before its expiry or void, or begun at once.
const (
	fateLost = iota
	fateLostAnswer
	fateLate
	fateSure
)

// send sends the oldest planned order.
func (f *fleet) send(fate int) {
	if len(f.queue) == 0 {
		return
	}
	i := f.queue[0]
	f.queue = f.queue[1:]
	f.planner.RecordSend(f.now, i.Endpoint.Name)
	w := f.workers[i.Endpoint.Name]
	if fate == fateLost || !w.up {
		return
	}
	delay := time.Duration(f.rand.Int64N(int64(orderTimeout + orderExpiry)))
	if fate == fateSure {
		delay = 0
	}
	if err := w.arrive(f.now, i.Order, delay); err != nil && fate != fateLostAnswer {
		f.planner.RecordRefusal(i.Endpoint.Name, i.Order.Fence)
	}
}

// takeOver pauses the lead, perhaps between its check and the send of an order,
// and lets a new one take its place after the lease.
func (f *fleet) takeOver() {
	if len(f.queue) > 0 {
		f.stale = append(f.stale, f.queue[0])
	}
	f.queue = nil
	f.fence++
	f.open = f.now.Add(settleTime)
	f.planner.Reset()
}

// resume lets a paused lead send what it had left.
func (f *fleet) resume() {
	if len(f.stale) == 0 {
		return
	}
	i := f.stale[0]
	f.stale = f.stale[1:]
	w := f.workers[i.Endpoint.Name]
	if w.up && w.arrive(f.now, i.Order, 0) == nil {
		f.excess[i.Endpoint.Name] = true
	}
}

// TestFuzzOrders checks that loads by the orders of the true lead stay within
// the slots, that it starts no swap below the floor, and that every engine that
// runs has the wanted weights in the end.
func TestFuzzOrders(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		f := newFleet(workers, rapid.IntRange(1, 3).Draw(t, "slots"), rapid.Uint64().Draw(t, "seed"))
		version := 1
		fail := func(wrong string) {
			if wrong != "" {
				t.Fatal(wrong)
			}
		}
		name := func() string { return fmt.Sprint("w", rapid.IntRange(0, workers-1).Draw(t, "worker")) }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				fail(f.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 100 * time.Millisecond))
			},
			"poll":   func(*rapid.T) { f.poll(true) },
			"plan":   func(*rapid.T) { f.plan() },
			"send":   func(t *rapid.T) { f.send(rapid.IntRange(fateLost, fateSure).Draw(t, "fate")) },
			"take":   func(*rapid.T) { f.takeOver() },
			"resume": func(*rapid.T) { f.resume() },
			"change": func(*rapid.T) { version++; f.state = stateOf(fmt.Sprint("v", version), workers, f.slots) },
			"crash": func(*rapid.T) {
				w := f.workers[name()]
				w.up, w.version, w.loading, w.begun = false, "", nil, nil
			},
			"silent": func(*rapid.T) { w := f.workers[name()]; w.silent = !w.silent },
			"start":  func(*rapid.T) { f.workers[name()].up = true },
		})
		for len(f.stale) > 0 {
			f.resume()
		}
		for _, w := range f.workers {
			w.up, w.silent = true, false
		}
		f.queue = nil
		fail(f.pass(2 * settleTime)) // orders given on outdated reports come to their end
		for range 40 * workers {
			f.poll(false)
			before := f.serving()
			f.plan()
			for len(f.queue) > 0 {
				f.send(fateSure)
			}
			fail(f.pass(planInterval))
			if len(f.excess) == 0 && f.serving() < min(before, ServingFloor(DefaultServingShare, workers)) {
				t.Fatalf("%d serve, %d did and the floor is %d", f.serving(), before, ServingFloor(DefaultServingShare, workers))
			}
		}
		for _, w := range f.workers {
			if w.version != f.state.Models["m"].Version || w.loading != nil {
				t.Fatalf("%s holds %q, wanted %q", w.endpoint.Name, w.version, f.state.Models["m"].Version)
			}
		}
	})
}

func TestFloorLetsOneOfASmallServiceSwap(t *testing.T) {
	for _, c := range []struct{ workers, floor int }{{1, 0}, {2, 1}, {3, 2}, {10, 8}, {77, 58}} {
		assert.Equal(t, ServingFloor(DefaultServingShare, c.workers), c.floor)
	}
}

func TestWorkersWithoutWeightsComeFirst(t *testing.T) {
	state := stateOf("v2", 3, 1)
	now := time.Unix(1e9, 0)
	in := PlanInput{State: state, Slots: map[string]int{"llm": 1}, AllowedStarts: map[string]int{"llm": 1}, Fence: 5}
	for i := range 3 {
		x := Worker{Endpoint: state.Endpoints[fmt.Sprint("w", i)], Reachable: true}
		x.Report = engine.Report{Model: "m", Version: "v1", At: now}
		if i == 2 {
			x.Report.Version = ""
		}
		in.Workers = append(in.Workers, x)
	}
	plan := NewPlanner(DefaultServingShare).Plan(now, in)
	assert.Equal(t, len(plan.Orders), 1)
	assert.Equal(t, plan.Orders[0].Endpoint.Name, "w2")
	assert.DeepEqual(t, plan.Orders[0].Order.Adapters, []string{"a@1"})
	assert.Equal(t, plan.Orders[0].Order.Fence, int64(5))
}
