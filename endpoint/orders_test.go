package endpoint

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/datacentre"
	"redwingknot/datacentre/datacentretest"
	"redwingknot/engine"
	"redwingknot/instance"
	"redwingknot/instance/instancetest"
	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
	"redwingknot/note"
)

// alone is the Members of an instance that is the only one of its data centre,
// or one of a fixed list.
type alone struct {
	self   instance.Member
	others []instance.Member
	caller instance.Caller
}

func (a alone) Self() instance.Member { return a.self }
func (a alone) MembersIn(string) []instance.Member {
	return append([]instance.Member{a.self}, a.others...)
}
func (a alone) IsAmongFirst(string, int) bool { return true }
func (a alone) Caller() instance.Caller {
	if a.caller == nil {
		return silent{}
	}
	return a.caller
}

type silent struct{}

func (silent) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return &instancetest.UnreachableError{}
}

// liveEngine is a worker behind the engine interface, in the bubble's time.
type liveEngine struct {
	engine.Engine
	mu     sync.Mutex
	worker *worker
	silent bool // obeys orders and answers nothing
	lost   bool // obeys orders and loses the answers
	delay  time.Duration
}

func (e *liveEngine) Report(context.Context) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.step(time.Now())
	if e.silent || !e.worker.up {
		return engine.Report{}, &engine.StatusError{Op: "report"}
	}
	r := e.worker.report(time.Now())
	r.Epoch = "1"
	return r, nil
}

func (e *liveEngine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.worker.up {
		return &engine.StatusError{Op: "order"}
	}
	err := e.worker.arrive(time.Now(), o, e.delay)
	if e.silent || e.lost {
		return &engine.StatusError{Op: "order"}
	}
	return err
}

func (e *liveEngine) loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.step(time.Now())
	return e.worker.loading != nil
}

// site is one data centre's lead with its orders.
type site struct {
	lead *datacentre.LeaderElector
	kill context.CancelFunc // ends it without a farewell
	stop context.CancelFunc // ends it as planned
	done sync.WaitGroup
}

// dyingKV stops renewing and revoking leases when its process dies.
type dyingKV struct {
	*datacentretest.KV
	dead *atomic.Bool
}

func (k dyingKV) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	if k.dead.Load() {
		return 0, &metastore.NotSentError{Op: "keepalive"}
	}
	return k.KV.KeepAlive(ctx, p, id)
}

func (k dyingKV) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	if k.dead.Load() {
		return &metastore.NotSentError{Op: "revoke"}
	}
	return k.KV.Revoke(ctx, p, id)
}

// world is a deployment of several data centres with one service.
type world struct {
	kv      *datacentretest.KV
	state   atomic.Pointer[note.State]
	engines map[string]*liveEngine
	sites   []*site
	rate    float64 // loads a second that the weight store allows
}

func newWorld(dcs, each, loadsAtOnce int) *world {
	w := &world{kv: datacentretest.NewKV(time.Now), engines: map[string]*liveEngine{}}
	w.setVersion(dcs, each, loadsAtOnce, "v1")
	for name, e := range w.state.Load().Endpoints {
		w.engines[name] = &liveEngine{worker: &worker{endpoint: e, up: true, version: "v1", adapters: []string{"a@1"}}}
	}
	return w
}

func (w *world) setVersion(dcs, each, loadsAtOnce int, version string) {
	s := stateOf(version, dcs*each, loadsAtOnce)
	for i := range dcs * each {
		name := fmt.Sprint("w", i)
		e := s.Endpoints[name]
		e.DataCentre = fmt.Sprint("dc", i%dcs)
		s.Endpoints[name] = e
	}
	w.state.Store(s)
}

func (w *world) start(ctx context.Context, dc, id string) *site {
	s := &site{}
	dead := &atomic.Bool{}
	ctx, cancel := context.WithCancel(ctx)
	s.stop = cancel
	s.kill = func() { dead.Store(true); cancel() }
	kv := dyingKV{KV: w.kv.NewClient(), dead: dead}
	kv.Fault = w.kv.Fault
	client := func(e note.Endpoint) engine.Engine { return w.engines[e.Name] }
	s.lead = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: kv, DataCentre: dc, InstanceID: id, IsCandidate: func() bool { return true }, Rand: rand.New(rand.NewPCG(1, uint64(len(w.sites)))),
	})
	members := alone{self: instance.Member{ID: id, DataCentre: dc}}
	view := NewView(ViewConfig{Members: members, State: w.state.Load, Engine: client})
	orders := NewOrders(OrdersConfig{View: view, Lead: s.lead, KV: kv, Self: id, State: w.state.Load, Engine: client, LoadsPerSecond: w.rate})
	s.done.Go(func() { s.lead.Run(ctx) })
	s.done.Go(func() { view.Run(ctx) })
	s.done.Go(func() { orders.Run(ctx) })
	w.sites = append(w.sites, s)
	return s
}

// watch lets time pass and returns the highest number of loads at once.
func (w *world) watch(d time.Duration) int {
	most := 0
	const step = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		w.kv.ExpireLeases()
		loading := 0
		for _, e := range w.engines {
			if e.loading() {
				loading++
			}
		}
		most = max(most, loading)
	}
	return most
}

func (w *world) lacking() (names []string) {
	want := w.state.Load().Models["m"].Version
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[name]
		e.mu.Lock()
		if e.worker.version != want {
			names = append(names, name)
		}
		e.mu.Unlock()
	}
	return names
}

func (w *world) close() {
	for _, s := range w.sites {
		s.stop()
	}
	for _, s := range w.sites {
		s.done.Wait()
	}
}

func TestVersionSwapOverDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dcs, each, loads = 3, 4, 2
		w := newWorld(dcs, each, loads)
		for i := range dcs {
			w.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
		}
		w.watch(20 * time.Second)
		w.setVersion(dcs, each, loads, "v2")
		start := time.Now()
		most := 0
		for len(w.lacking()) > 0 && time.Since(start) < 10*time.Minute {
			most = max(most, w.watch(time.Second))
		}
		t.Logf("%d workers in %d data centres swapped in %v, %d at once", dcs*each, dcs, time.Since(start), most)
		assert.Equal(t, len(w.lacking()), 0)
		assert.Assert(t, most <= loads)
		w.close()
	})
}

func TestLoadsKeepTheWeightStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dcs, each, loads = 2, 4, 2
		w := newWorld(dcs, each, loads)
		w.rate = 0.2
		for i := range dcs {
			w.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
		}
		w.watch(20 * time.Second)
		w.setVersion(dcs, each, loads, "v2")
		start := time.Now()
		for len(w.lacking()) > 0 && time.Since(start) < 10*time.Minute {
			w.watch(time.Second)
			swapped := dcs*each - len(w.lacking())
			allowed := float64(dcs) + w.rate*time.Since(start).Seconds()
			assert.Assert(t, float64(swapped) <= allowed, "%d swapped after %v", swapped, time.Since(start))
		}
		assert.Equal(t, len(w.lacking()), 0)
		w.close()
	})
}

// TestFuzzOrdersOverDataCentres lets leads die, engines fall silent and answers
// get lost while versions change, and counts the loads over the whole fleet.
func TestFuzzOrdersOverDataCentres(t *testing.T) {
	const dcs, each = 2, 5
	type act struct {
		kind string
		who  int
		wait time.Duration
	}
	fuzztest.Check(t, func(rt *rapid.T) {
		loads := rapid.IntRange(1, 2).Draw(rt, "loads")
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{
				kind: rapid.SampledFrom([]string{"change", "change", "kill lead", "stop lead", "silent", "lose answers", "slow", "crash", "heal", "platform"}).Draw(t, "kind"),
				who:  rapid.IntRange(0, dcs*each-1).Draw(t, "who"),
				wait: time.Duration(rapid.SampledFrom([]int{0, 500, 1500, 4000, 9000, 25000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 8, 16).Draw(rt, "acts")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(dcs, each, loads)
			var down atomic.Bool
			w.kv.Fault = func(string) datacentretest.Fault {
				if down.Load() {
					return datacentretest.FaultNotSent
				}
				return datacentretest.FaultNone
			}
			last := make([]*site, dcs)
			for i := range last {
				last[i] = w.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
			}
			most := w.watch(10 * time.Second)
			for n, a := range acts {
				e := w.engines[fmt.Sprint("w", a.who)]
				e.mu.Lock()
				switch a.kind {
				case "change":
					w.setVersion(dcs, each, loads, fmt.Sprint("v", n+2))
				case "kill lead", "stop lead":
					dc := a.who % dcs
					if a.kind == "kill lead" {
						last[dc].kill()
					}
					last[dc].stop()
					last[dc] = w.start(t.Context(), fmt.Sprint("dc", dc), fmt.Sprint("i", n+dcs))
				case "silent":
					e.silent = true
				case "lose answers":
					e.lost = true
				case "slow":
					e.delay = orderExpiry - 100*time.Millisecond
				case "crash":
					e.worker.version, e.worker.loading, e.worker.begun = "", nil, nil
				case "heal":
					e.silent, e.lost, e.delay = false, false, 0
				case "platform":
					down.Store(!down.Load())
				}
				e.mu.Unlock()
				most = max(most, w.watch(a.wait))
			}
			down.Store(false)
			for _, e := range w.engines {
				e.mu.Lock()
				e.silent, e.lost, e.delay = false, false, 0
				e.mu.Unlock()
			}
			for range 24 {
				most = max(most, w.watch(10*time.Second))
				if len(w.lacking()) == 0 {
					break
				}
			}
			if most > loads {
				wrong = fmt.Sprintf("%d loaded at once, %d may", most, loads)
			}
			if lacking := w.lacking(); len(lacking) > 0 {
				wrong = fmt.Sprintf("without the wanted weights: %v", lacking)
			}
			w.close()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// lapsedLead is a lead whose lease has lapsed since it planned.
type lapsedLead struct{}

func (lapsedLead) FencingToken() (int64, bool)            { return 0, false }
func (lapsedLead) LeaderLease() (metastore.LeaseID, bool) { return 0, false }

func TestPausedLeadChecksBeforeEachOrder(t *testing.T) {
	w := newWorld(1, 1, 1)
	e := w.engines["w0"]
	o := NewOrders(OrdersConfig{Lead: lapsedLead{}, State: w.state.Load, Engine: func(note.Endpoint) engine.Engine { return e }})
	o.give(t.Context(), 1, EndpointOrder{Endpoint: w.state.Load().Endpoints["w0"], Order: engine.Order{Version: "v2", Expires: orderExpiry}})
	assert.Equal(t, len(e.worker.begun), 0)
}
