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

// staticMembers implements Members with a fixed list of instances, which may be
// only self.
type staticMembers struct {
	self   instance.Member
	others []instance.Member
	caller instance.Caller
}

func (m staticMembers) Self() instance.Member { return m.self }
func (m staticMembers) MembersIn(string) []instance.Member {
	return append([]instance.Member{m.self}, m.others...)
}
func (m staticMembers) RanksAmongFirst(string, int) bool { return true }
func (m staticMembers) Caller() instance.Caller {
	if m.caller == nil {
		return unreachableCaller{}
	}
	return m.caller
}

// unreachableCaller is a Caller whose calls all fail.
type unreachableCaller struct{}

func (unreachableCaller) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return &instancetest.UnreachableError{}
}

// simulatedEngine implements the parts of engine.Engine that Orders uses with a
// simulatedWorker, in the fake time of the synctest bubble.
type simulatedEngine struct {
	engine.Engine
	mu                sync.Mutex
	worker            *simulatedWorker
	answersNothing    bool          // obeys orders, but all calls fail
	losesOrderAnswers bool          // obeys orders, but the order calls fail
	orderDelay        time.Duration // between arrival and start of an order
}

func (e *simulatedEngine) Report(context.Context) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.advance(time.Now())
	if e.answersNothing || !e.worker.up {
		return engine.Report{}, &engine.StatusError{Op: "report"}
	}
	r := e.worker.report(time.Now())
	r.Epoch = "1"
	return r, nil
}

func (e *simulatedEngine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.worker.up {
		return &engine.StatusError{Op: "order"}
	}
	err := e.worker.receiveOrder(time.Now(), o, e.orderDelay)
	if e.answersNothing || e.losesOrderAnswers {
		return &engine.StatusError{Op: "order"}
	}
	return err
}

func (e *simulatedEngine) loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.advance(time.Now())
	return e.worker.loading != nil
}

// leaderCandidate is an instance that may become its data centre's leader, with its View
// and Orders.
type leaderCandidate struct {
	elector *datacentre.LeaderElector
	kill    context.CancelFunc // ends it without revoking its lease
	stop    context.CancelFunc // ends it in an orderly way
	done    sync.WaitGroup
}

// killableKV is a key-value service client whose calls to renew and revoke leases fail
// once dead is set.
type killableKV struct {
	*datacentretest.KV
	dead *atomic.Bool
}

func (k killableKV) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	if k.dead.Load() {
		return 0, &metastore.NotSentError{Op: "keepalive"}
	}
	return k.KV.KeepAlive(ctx, p, id)
}

func (k killableKV) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	if k.dead.Load() {
		return &metastore.NotSentError{Op: "revoke"}
	}
	return k.KV.Revoke(ctx, p, id)
}

// deployment simulates several data centres with one service.
type deployment struct {
	kv             *datacentretest.KV
	state          atomic.Pointer[note.State]
	engines        map[string]*simulatedEngine
	candidates     []*leaderCandidate
	loadsPerSecond float64 // limit of the weight store, 0 for none
}

func newDeployment(dcs, perDC, loadsAtOnce int) *deployment {
	d := &deployment{kv: datacentretest.NewKV(time.Now), engines: map[string]*simulatedEngine{}}
	d.setVersion(dcs, perDC, loadsAtOnce, "v1")
	for name, e := range d.state.Load().Endpoints {
		d.engines[name] = &simulatedEngine{worker: &simulatedWorker{endpoint: e, up: true, version: "v1", adapters: []string{"a@1"}}}
	}
	return d
}

// setVersion makes version the wanted one of the model, with the engines spread
// evenly over the data centres.
func (d *deployment) setVersion(dcs, perDC, loadsAtOnce int, version string) {
	s := stateOf(version, dcs*perDC, loadsAtOnce)
	for i := range dcs * perDC {
		name := fmt.Sprint("w", i)
		e := s.Endpoints[name]
		e.DataCentre = fmt.Sprint("dc", i%dcs)
		s.Endpoints[name] = e
	}
	d.state.Store(s)
}

// start starts a leader candidate with the identifier id in a data centre.
func (d *deployment) start(ctx context.Context, dc, id string) *leaderCandidate {
	p := &leaderCandidate{}
	dead := &atomic.Bool{}
	ctx, cancel := context.WithCancel(ctx)
	p.stop = cancel
	p.kill = func() { dead.Store(true); cancel() }
	kv := killableKV{KV: d.kv.NewClient(), dead: dead}
	kv.Fault = d.kv.Fault
	client := func(e note.Endpoint) engine.Engine { return d.engines[e.Name] }
	p.elector = datacentre.NewLeaderElector(datacentre.LeaderElectorConfig{
		KV: kv, DataCentre: dc, InstanceID: id, IsCandidate: func() bool { return true }, Rand: rand.New(rand.NewPCG(1, uint64(len(d.candidates)))),
	})
	members := staticMembers{self: instance.Member{ID: id, DataCentre: dc}}
	view := NewView(ViewConfig{Members: members, State: d.state.Load, Engine: client})
	orders := NewOrders(OrdersConfig{View: view, Leader: p.elector, KV: kv, Self: id, State: d.state.Load, Engine: client, LoadsPerSecond: d.loadsPerSecond})
	p.done.Go(func() { p.elector.Run(ctx) })
	p.done.Go(func() { view.Run(ctx) })
	p.done.Go(func() { orders.Run(ctx) })
	d.candidates = append(d.candidates, p)
	return p
}

// maxLoadsDuring lets duration pass and returns the highest number of concurrent
// loads in all data centres.
func (d *deployment) maxLoadsDuring(duration time.Duration) int {
	maxLoading := 0
	const step = 50 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		d.kv.ExpireLeases()
		loading := 0
		for _, e := range d.engines {
			if e.loading() {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
	}
	return maxLoading
}

// outdatedEngines returns the names of the engines that don't have the wanted
// version.
func (d *deployment) outdatedEngines() (names []string) {
	want := d.state.Load().Models["m"].Version
	for _, name := range slices.Sorted(maps.Keys(d.engines)) {
		e := d.engines[name]
		e.mu.Lock()
		if e.worker.version != want {
			names = append(names, name)
		}
		e.mu.Unlock()
	}
	return names
}

func (d *deployment) close() {
	for _, p := range d.candidates {
		p.stop()
	}
	for _, p := range d.candidates {
		p.done.Wait()
	}
}

func TestVersionSwapAcrossDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dcs, perDC, loads = 3, 4, 2
		d := newDeployment(dcs, perDC, loads)
		for i := range dcs {
			d.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
		}
		d.maxLoadsDuring(20 * time.Second)
		d.setVersion(dcs, perDC, loads, "v2")
		start := time.Now()
		maxLoads := 0
		for len(d.outdatedEngines()) > 0 && time.Since(start) < 10*time.Minute {
			maxLoads = max(maxLoads, d.maxLoadsDuring(time.Second))
		}
		t.Logf("%d workers in %d data centres swapped in %v, %d at once", dcs*perDC, dcs, time.Since(start), maxLoads)
		assert.Equal(t, len(d.outdatedEngines()), 0)
		assert.Assert(t, maxLoads <= loads)
		d.close()
	})
}

func TestLoadsStayWithinWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dcs, perDC, loads = 2, 4, 2
		d := newDeployment(dcs, perDC, loads)
		d.loadsPerSecond = 0.2
		for i := range dcs {
			d.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
		}
		d.maxLoadsDuring(20 * time.Second)
		d.setVersion(dcs, perDC, loads, "v2")
		start := time.Now()
		for len(d.outdatedEngines()) > 0 && time.Since(start) < 10*time.Minute {
			d.maxLoadsDuring(time.Second)
			swapped := dcs*perDC - len(d.outdatedEngines())
			// The limiter of each data centre starts with one token.
			allowed := float64(dcs) + d.loadsPerSecond*time.Since(start).Seconds()
			assert.Assert(t, float64(swapped) <= allowed, "%d swapped after %v", swapped, time.Since(start))
		}
		assert.Equal(t, len(d.outdatedEngines()), 0)
		d.close()
	})
}

// TestFuzzOrdersAcrossDataCentres kills leaders, makes engines stop answering and
// loses answers while versions change. It checks that the loads of the whole fleet
// stay within the limit and that all engines get the wanted version in the end.
func TestFuzzOrdersAcrossDataCentres(t *testing.T) {
	const dcs, perDC = 2, 5
	type action struct {
		kind   string
		target int
		wait   time.Duration
	}
	fuzztest.Check(t, func(rt *rapid.T) {
		loads := rapid.IntRange(1, 2).Draw(rt, "loads")
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				kind:   rapid.SampledFrom([]string{"change", "change", "kill leader", "stop leader", "silent", "lose answers", "slow", "crash", "heal", "platform"}).Draw(t, "kind"),
				target: rapid.IntRange(0, dcs*perDC-1).Draw(t, "who"),
				wait:   time.Duration(rapid.SampledFrom([]int{0, 500, 1500, 4000, 9000, 25000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 8, 16).Draw(rt, "acts")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(dcs, perDC, loads)
			var platformDown atomic.Bool
			d.kv.Fault = func(string) datacentretest.Fault {
				if platformDown.Load() {
					return datacentretest.FaultNotSent
				}
				return datacentretest.FaultNone
			}
			candidates := make([]*leaderCandidate, dcs)
			for i := range candidates {
				candidates[i] = d.start(t.Context(), fmt.Sprint("dc", i), fmt.Sprint("i", i))
			}
			maxLoads := d.maxLoadsDuring(10 * time.Second)
			for n, a := range actions {
				e := d.engines[fmt.Sprint("w", a.target)]
				e.mu.Lock()
				switch a.kind {
				case "change":
					d.setVersion(dcs, perDC, loads, fmt.Sprint("v", n+2))
				case "kill leader", "stop leader":
					dc := a.target % dcs
					if a.kind == "kill leader" {
						candidates[dc].kill()
					}
					candidates[dc].stop()
					candidates[dc] = d.start(t.Context(), fmt.Sprint("dc", dc), fmt.Sprint("i", n+dcs))
				case "silent":
					e.answersNothing = true
				case "lose answers":
					e.losesOrderAnswers = true
				case "slow":
					e.orderDelay = orderExpiry - 100*time.Millisecond
				case "crash":
					e.worker.version, e.worker.loading, e.worker.arrived = "", nil, nil
				case "heal":
					e.answersNothing, e.losesOrderAnswers, e.orderDelay = false, false, 0
				case "platform":
					platformDown.Store(!platformDown.Load())
				}
				e.mu.Unlock()
				maxLoads = max(maxLoads, d.maxLoadsDuring(a.wait))
			}
			platformDown.Store(false)
			for _, e := range d.engines {
				e.mu.Lock()
				e.answersNothing, e.losesOrderAnswers, e.orderDelay = false, false, 0
				e.mu.Unlock()
			}
			for range 24 {
				maxLoads = max(maxLoads, d.maxLoadsDuring(10*time.Second))
				if len(d.outdatedEngines()) == 0 {
					break
				}
			}
			if maxLoads > loads {
				failure = fmt.Sprintf("%d concurrent loads, limit %d", maxLoads, loads)
			}
			if lacking := d.outdatedEngines(); len(lacking) > 0 {
				failure = fmt.Sprintf("engines without the wanted weights: %v", lacking)
			}
			d.close()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// expiredLeader is a leader whose lease has expired since the planner ran.
type expiredLeader struct{}

func (expiredLeader) FencingToken() (int64, bool)            { return 0, false }
func (expiredLeader) LeaderLease() (metastore.LeaseID, bool) { return 0, false }

// TestPausedLeaderChecksBeforeEachOrder checks that a leader whose lease has expired after
// the planner ran sends no order.
func TestPausedLeaderChecksBeforeEachOrder(t *testing.T) {
	d := newDeployment(1, 1, 1)
	e := d.engines["w0"]
	o := NewOrders(OrdersConfig{Leader: expiredLeader{}, State: d.state.Load, Engine: func(note.Endpoint) engine.Engine { return e }})
	o.sendOrder(t.Context(), 1, EndpointOrder{Endpoint: d.state.Load().Endpoints["w0"], Order: engine.Order{Version: "v2", Expires: orderExpiry}})
	assert.Equal(t, len(e.worker.arrived), 0)
}
