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

// stubEngine reports a new random load at each poll.
type stubEngine struct {
	engine.Engine
	mu      sync.Mutex
	epoch   string
	leaving bool
	down    bool // polls fail
	idle    bool // reports no load
	polls   int  // number of polls so far
}

func (e *stubEngine) Report(context.Context) (engine.Report, error) {
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

// update calls f with the engine locked.
func (e *stubEngine) update(f func(*stubEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// viewCluster holds the Views of a data centre's instances, connected by an
// in-memory network.
type viewCluster struct {
	net          *instancetest.Network
	state        atomic.Pointer[note.State]
	engines      map[string]*stubEngine
	platformList atomic.Pointer[[]Listed]
	views        []*View
	stop         context.CancelFunc
	done         sync.WaitGroup
}

func startViewCluster(ctx context.Context, instances, endpoints int) *viewCluster {
	c := &viewCluster{net: instancetest.NewNetwork(), engines: map[string]*stubEngine{}}
	c.platformList.Store(&[]Listed{})
	c.state.Store(stateOf("v1", endpoints, 2))
	for name := range c.state.Load().Endpoints {
		c.engines[name] = &stubEngine{epoch: "1"}
	}
	var members []instance.Member
	for i := range instances {
		id := fmt.Sprint("i", i)
		members = append(members, instance.Member{ID: id, DataCentre: "ilala", Addr: id + ":1"})
	}
	ctx, c.stop = context.WithCancel(ctx)
	for i, self := range members {
		others := slices.Concat(members[:i], members[i+1:])
		view := NewView(ViewConfig{
			Members: staticMembers{self: self, others: others, caller: c.net.Caller(self.Addr)},
			State:   c.state.Load,
			Engine:  func(e note.Endpoint) engine.Engine { return c.engines[e.Name] },
			PlatformList: func(context.Context) ([]Listed, error) {
				if i >= platformListReaders {
					return nil, nil
				}
				return *c.platformList.Load(), nil
			},
		})
		instancetest.Handle(c.net, self.Addr, methodExchange, view.handleExchange)
		c.views = append(c.views, view)
		c.done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(instances)) // instances start at different times
			view.Run(ctx)
		})
	}
	return c
}

func (c *viewCluster) close() {
	c.stop()
	c.done.Wait()
}

// waitUntil waits until f returns true for every View, at most a minute, and
// returns how long that took.
func (c *viewCluster) waitUntil(f func(*View) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		if !slices.ContainsFunc(c.views, func(v *View) bool { return !f(v) }) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// maxLeaveDelay is the longest time until no instance gives a leaving endpoint new
// work any more.
const maxLeaveDelay = 10 * time.Second

func TestLeavingEndpointIsKnownToEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startViewCluster(t.Context(), 12, 8)
		defer c.close()
		c.waitUntil(func(v *View) bool { return v.Usable("w3") })

		c.engines["w3"].update(func(e *stubEngine) { e.leaving = true })
		assert.Assert(t, c.waitUntil(func(v *View) bool { return !v.Usable("w3") }) < maxLeaveDelay)

		c.engines["w3"].update(func(e *stubEngine) { e.leaving = false })
		time.Sleep(20 * time.Second)
		assert.Assert(t, c.waitUntil(func(v *View) bool { return !v.Usable("w3") }) == 0, "leaving is final within an epoch")

		c.engines["w3"].update(func(e *stubEngine) { e.epoch = "2" })
		assert.Assert(t, c.waitUntil(func(v *View) bool { return v.Usable("w3") }) < maxLeaveDelay)
	})
}

func TestPlatformListLeavingMarkEndsWithNextEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startViewCluster(t.Context(), 12, 8)
		defer c.close()
		c.waitUntil(func(v *View) bool { return v.Usable("w3") })

		c.platformList.Store(&[]Listed{{Name: "w3", Leaving: true}})
		assert.Assert(t, c.waitUntil(func(v *View) bool { return !v.Usable("w3") }) < listInterval+maxLeaveDelay)

		c.engines["w3"].update(func(e *stubEngine) { e.epoch = "2" })
		assert.Assert(t, c.waitUntil(func(v *View) bool { return v.Usable("w3") }) < maxLeaveDelay)
		time.Sleep(2 * listInterval)
		assert.Assert(t, c.views[0].Usable("w3"), "the leaving mark in the lagging list applies to the earlier epoch")
	})
}

func TestRemovedOrUnreachableEndpointIsNotUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startViewCluster(t.Context(), 12, 8)
		defer c.close()
		c.waitUntil(func(v *View) bool { return v.Usable("w3") && v.Usable("w4") })

		c.engines["w4"].update(func(e *stubEngine) { e.down = true })
		assert.Assert(t, c.waitUntil(func(v *View) bool { return !v.Usable("w4") }) < 2*cycleLength, "a failed poll takes effect before the last report expires")

		fewer := stateOf("v1", 3, 2)
		c.state.Store(fewer)
		assert.Assert(t, !c.views[5].Usable("w3"))
	})
}

func TestFewInstancesPollAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startViewCluster(t.Context(), 12, 8)
		defer c.close()
		time.Sleep(5 * time.Second)
		e := c.engines["w3"]
		e.update(func(e *stubEngine) { e.polls = 0 })
		const seconds = 20
		time.Sleep(seconds * time.Second)
		e.update(func(e *stubEngine) { assert.Assert(t, e.polls <= pollersPerEndpoint*(seconds+1)) })
	})
}

// measureEnv is the environment variable that enables tests which print
// measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureViews(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ instances, endpoints int }{{3, 7}, {8, 16}, {16, 32}, {42, 77}, {84, 154}} {
		synctest.Test(t, func(t *testing.T) { measureViews(t, size.instances, size.endpoints) })
	}
}

// measureViews prints the traffic of the exchange when the load changes in every
// report, the age of the reports, and the time until all instances know that an
// endpoint is leaving.
func measureViews(t *testing.T, instances, endpoints int) {
	c := startViewCluster(t.Context(), instances, endpoints)
	defer c.close()
	time.Sleep(30 * time.Second)
	calls, size := c.net.Calls.Load(), c.net.Bytes.Load()
	const seconds = 60
	var ages []time.Duration
	for range seconds {
		time.Sleep(time.Second)
		for _, v := range c.views {
			for name := range c.engines {
				r, _ := v.Report(name)
				ages = append(ages, time.Since(r.At))
			}
		}
	}
	instanceSeconds := float64(instances * seconds)
	slices.Sort(ages)
	t.Logf("%d instances, %d endpoints: %.1f exchanges/s and %.0f payload bytes/s sent by an instance; age of reports p50 %v p99 %v",
		instances, endpoints, float64(c.net.Calls.Load()-calls)/instanceSeconds, float64(c.net.Bytes.Load()-size)/instanceSeconds, ages[len(ages)/2], ages[len(ages)*99/100])
	var delays []time.Duration
	for i := range 5 {
		name := fmt.Sprint("w", i)
		c.engines[name].update(func(e *stubEngine) { e.leaving = true })
		delays = append(delays, c.waitUntil(func(v *View) bool { return !v.Usable(name) }))
	}
	t.Logf("   time until all instances know of a leaving endpoint: %v", delays)
}
