package endpoint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/instance"
	"redwingknot/instance/instancetest"
	"redwingknot/note"
)

// loadedEngine reports a load that changes all the time.
type loadedEngine struct {
	engine.Engine
	mu      sync.Mutex
	epoch   string
	leaving bool
	down    bool
	idle    bool
	polls   int
}

func (e *loadedEngine) Report(context.Context) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.down {
		return engine.Report{}, &engine.StatusError{Op: "report"}
	}
	r := engine.Report{Epoch: e.epoch, Model: "m", Version: "v1", Adapters: []string{"a@1"}, Leaving: e.leaving}
	if !e.idle {
		r.Running, r.Waiting, r.QueuedTokens = rand.IntN(32), rand.IntN(16), rand.IntN(50000)
	}
	return r, nil
}

// set changes the engine under its lock.
func (e *loadedEngine) set(f func(*loadedEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// views are the views of a data centre's instances on a network in memory.
type views struct {
	net     *instancetest.Network
	state   atomic.Pointer[note.State]
	engines map[string]*loadedEngine
	list    atomic.Pointer[[]Listed]
	all     []*View
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func startViews(ctx context.Context, instances, endpoints int) *views {
	v := &views{net: instancetest.NewNetwork(), engines: map[string]*loadedEngine{}}
	v.list.Store(&[]Listed{})
	v.state.Store(stateOf("v1", endpoints, 2))
	for name := range v.state.Load().Endpoints {
		v.engines[name] = &loadedEngine{epoch: "1"}
	}
	var members []instance.Member
	for i := range instances {
		id := fmt.Sprint("i", i)
		members = append(members, instance.Member{ID: id, DataCentre: "ilala", Addr: id + ":1"})
	}
	ctx, v.stop = context.WithCancel(ctx)
	for i, self := range members {
		others := slices.Concat(members[:i], members[i+1:])
		view := NewView(ViewConfig{
			Members: alone{self: self, others: others, caller: v.net.Caller(self.Addr)},
			State:   v.state.Load,
			Engine:  func(e note.Endpoint) engine.Engine { return v.engines[e.Name] },
			PlatformList: func(context.Context) ([]Listed, error) {
				if i >= listReaders {
					return nil, nil
				}
				return *v.list.Load(), nil
			},
		})
		instancetest.Handle(v.net, self.Addr, methodExchange, view.handleExchange)
		v.all = append(v.all, view)
		v.done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(instances)) // instances start apart
			view.Run(ctx)
		})
	}
	return v
}

func (v *views) close() {
	v.stop()
	v.done.Wait()
}

// until returns how long it takes until f holds at every view.
func (v *views) until(f func(*View) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		if !slices.ContainsFunc(v.all, func(x *View) bool { return !f(x) }) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// leaveBound is by when no instance gives a leaving endpoint new work.
const leaveBound = 10 * time.Second

func TestEveryInstanceHearsOfALeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startViews(t.Context(), 12, 8)
		defer v.close()
		v.until(func(x *View) bool { return x.Usable("w3") })

		v.engines["w3"].set(func(e *loadedEngine) { e.leaving = true })
		assert.Assert(t, v.until(func(x *View) bool { return !x.Usable("w3") }) < leaveBound)

		v.engines["w3"].set(func(e *loadedEngine) { e.leaving = false })
		time.Sleep(20 * time.Second)
		assert.Assert(t, v.until(func(x *View) bool { return !x.Usable("w3") }) == 0, "an epoch does not take leaving back")

		v.engines["w3"].set(func(e *loadedEngine) { e.epoch = "2" })
		assert.Assert(t, v.until(func(x *View) bool { return x.Usable("w3") }) < leaveBound)
	})
}

func TestListedEndpointLeavesUntilItsNextEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startViews(t.Context(), 12, 8)
		defer v.close()
		v.until(func(x *View) bool { return x.Usable("w3") })

		v.list.Store(&[]Listed{{Name: "w3", Leaving: true}})
		assert.Assert(t, v.until(func(x *View) bool { return !x.Usable("w3") }) < listInterval+leaveBound)

		v.engines["w3"].set(func(e *loadedEngine) { e.epoch = "2" })
		assert.Assert(t, v.until(func(x *View) bool { return x.Usable("w3") }) < leaveBound)
		time.Sleep(2 * listInterval)
		assert.Assert(t, v.all[0].Usable("w3"), "the list lags and means the earlier epoch")
	})
}

func TestWithdrawnOrSilentEndpointGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startViews(t.Context(), 12, 8)
		defer v.close()
		v.until(func(x *View) bool { return x.Usable("w3") && x.Usable("w4") })

		v.engines["w4"].set(func(e *loadedEngine) { e.down = true })
		assert.Assert(t, v.until(func(x *View) bool { return !x.Usable("w4") }) < 2*cycle, "a failed poll counts before the report is outdated")

		fewer := stateOf("v1", 3, 2)
		v.state.Store(fewer)
		assert.Assert(t, !v.all[5].Usable("w3"))
	})
}

func TestFewInstancesPollAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startViews(t.Context(), 12, 8)
		defer v.close()
		time.Sleep(5 * time.Second)
		e := v.engines["w3"]
		e.set(func(e *loadedEngine) { e.polls = 0 })
		const seconds = 20
		time.Sleep(seconds * time.Second)
		e.set(func(e *loadedEngine) { assert.Assert(t, e.polls <= pollers*(seconds+1)) })
	})
}

// measureEnv prints tables of measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureViews(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ instances, endpoints int }{{3, 7}, {8, 16}, {16, 32}, {42, 77}, {84, 154}} {
		synctest.Test(t, func(t *testing.T) { measureViews(t, size.instances, size.endpoints) })
	}
}

// measureViews prints what the exchange costs when every load changes in every
// report, how old the reports are, and how fast a leaving endpoint is known.
func measureViews(t *testing.T, instances, endpoints int) {
	v := startViews(t.Context(), instances, endpoints)
	defer v.close()
	time.Sleep(30 * time.Second)
	calls, size := v.net.Calls.Load(), v.net.Bytes.Load()
	const seconds = 60
	var ages []time.Duration
	for range seconds {
		time.Sleep(time.Second)
		for _, x := range v.all {
			for name := range v.engines {
				r, _ := x.Report(name)
				ages = append(ages, time.Since(r.At))
			}
		}
	}
	per := float64(instances * seconds)
	slices.Sort(ages)
	t.Logf("%d instances, %d endpoints: %.1f exchanges/s and %.0f payload bytes/s sent by an instance; age of reports p50 %v p99 %v",
		instances, endpoints, float64(v.net.Calls.Load()-calls)/per, float64(v.net.Bytes.Load()-size)/per, ages[len(ages)/2], ages[len(ages)*99/100])
	var leave []time.Duration
	for i := range 5 {
		name := fmt.Sprint("w", i)
		v.engines[name].set(func(e *loadedEngine) { e.leaving = true })
		leave = append(leave, v.until(func(x *View) bool { return !x.Usable(name) }))
	}
	t.Logf("   leaving known to all after %v", leave)
}
