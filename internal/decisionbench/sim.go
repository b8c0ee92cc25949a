package decisionbench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/admit"
	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/retry"
	"redwingknot/route"
)

// Fault is what goes wrong during a run.
type Fault string

// The faults.
const (
	NoFault     Fault = "calm"
	WorkerLost  Fault = "worker-lost"
	StoreLost   Fault = "store-lost"
	SlowLink    Fault = "link-tenth"
	LateReports Fault = "late-2s"
)

// Faults are all of them.
var Faults = []Fault{NoFault, WorkerLost, StoreLost, SlowLink, LateReports}

// AdmissionPolicy names a way to admit.
type AdmissionPolicy string

// The ways to admit.
const (
	FirstCome AdmissionPolicy = "first-come"
	Worth     AdmissionPolicy = "worth"
)

// RetryPolicy names a way to repeat failed attempts.
type RetryPolicy string

// The ways to repeat failed attempts.
const (
	Unlimited RetryPolicy = "unlimited"
	Budgeted  RetryPolicy = "budgeted"
)

// Patience says whether callers leave before their class's first-token time,
// and whether they tell.
type Patience string

// The values of Patience.
const (
	FullTime         Patience = ""
	LeaveUnannounced Patience = "hidden" // they leave early without a budget header
	LeaveAnnounced   Patience = "told"   // their budget header says so
)

// Setup is one cell of a table.
type Setup struct {
	Deployment Deployment
	Routing    RoutingPolicy
	Admission  AdmissionPolicy
	Retries    RetryPolicy
	Patience   Patience
	Fault      Fault
	Load       float64 // share of the capacity
	Seconds    float64 // measured, after the warm-up
	Seed       uint64

	Route route.Config // of the score; zero fields take defaults
	Admit admit.Config
}

const (
	warmup         = 10.0
	reportInterval = 0.25
	reportLag      = 0.1
	lateLag        = 2.0
	leastPatience  = 0.1  // of the first-token time
	redial         = 0.02 // pause of the unlimited retries
)

// attempt is one dispatch of a request.
type attempt struct {
	sim        *sim
	id         string
	req        *request
	worker     *worker
	expected   float64
	tokensLeft int
	outLeft    int
	recomputed int
	started    bool
}

// router is one entry instance's decisions.
type router struct {
	chooser chooser
	admit   *admit.Controller
	budget  *retry.Budget
}

type sim struct {
	setup   Setup
	clock   *clock
	rng     *rand.Rand // of the decisions
	traffic *traffic
	workers []*worker
	links   []*link
	routers []*router
	result  Result
	nextID  int
}

// Run simulates one cell.
func Run(s Setup) Result {
	m := newSim(s)
	end := warmup + s.Seconds
	m.arrive(end)
	m.clock.after(0, m.reports)
	m.clock.after(warmup+s.Seconds/4, m.fault)
	m.clock.runUntil(end + warmup)
	return m.finish()
}

func newSim(s Setup) *sim {
	m := &sim{setup: s, clock: &clock{}, rng: rand.New(rand.NewPCG(s.Seed, 2))}
	m.traffic = newTraffic(s.Deployment, rand.New(rand.NewPCG(s.Seed, 1)))
	for i := range s.Deployment.Workers {
		m.workers = append(m.workers, newWorker(i, m.clock))
	}
	for range storeCount {
		rate := linkShare * float64(s.Deployment.Workers) / storeCount
		m.links = append(m.links, &link{clock: m.clock, rate: rate})
	}
	for i := range s.Deployment.Routers {
		m.routers = append(m.routers, m.newRouter(i))
	}
	m.result.refusals = map[contract.Reason]int{}
	m.result.demand = map[item]int{}
	return m
}

func (m *sim) newRouter(i int) *router {
	r := &router{admit: admit.NewController(m.setup.Admit), budget: retry.NewBudget(retry.BudgetConfig{})}
	if m.setup.Routing == Score {
		r.chooser = newScoreChooser(m.setup)
	} else {
		r.chooser = newRival(m.setup.Routing, m.workers, i)
	}
	return r
}

// arrive schedules the next request until end.
func (m *sim) arrive(end float64) {
	rate := m.setup.Load * m.setup.Deployment.capacity()
	gap := m.traffic.rng.ExpFloat64() / rate
	if m.clock.now+gap > end {
		return
	}
	m.clock.after(gap, func() {
		r := m.traffic.next(m.clock.now)
		if m.setup.Patience != FullTime {
			r.patience *= leastPatience + (1-leastPatience)*m.traffic.rng.Float64()
		}
		if m.counts(r) {
			m.result.offered++
			m.result.demand[item{r.load, r.fresh}]++
		}
		m.try(r)
		m.arrive(end)
	})
}

// counts reports whether the request arrived after the warm-up.
func (m *sim) counts(r *request) bool { return r.at >= warmup }

// try decides on a request and sends it off.
func (m *sim) try(r *request) {
	rt := m.routers[r.router]
	cost := func(pieces int) (float64, bool) {
		c := m.links[r.doc.store].cost(pieces)
		return c, !math.IsInf(c, 1)
	}
	if r.fresh {
		cost = nil
	}
	d, ok := rt.chooser.choose(r, m.clock.now, cost, m.rng)
	if !ok {
		m.refuse(r, contract.ReasonNoEndpoint)
		return
	}
	if m.setup.Admission == Worth && r.tries == 0 {
		if reason, ok := m.admitted(rt, r, d); !ok {
			m.refuse(r, reason)
			return
		}
	}
	m.send(rt, r, d)
}

func (m *sim) admitted(rt *router, r *request, d decision) (contract.Reason, bool) {
	err := rt.admit.Admit(admit.Query{
		Team: r.team, Class: r.load.class, Expected: toDuration(d.expected), QueueTime: toDuration(d.queue), MeanQueueTime: d.choice.MeanQueue,
		TimeLeft: m.left(r),
		Cost:     toDuration(d.fill() + float64(r.load.out)*perToken),
	}, m.clock.time(), m.rng)
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason, false
	}
	return "", true
}

// left is the budget that the caller told, zero if none.
func (m *sim) left(r *request) time.Duration {
	if m.setup.Patience != LeaveAnnounced {
		return 0
	}
	return toDuration(r.patience)
}

func (d decision) fill() float64 { return d.expected - d.queue }

func (m *sim) send(rt *router, r *request, d decision) {
	m.nextID++
	a := &attempt{
		sim: m, id: strconv.Itoa(m.nextID), req: r, worker: m.workers[d.worker],
		expected: d.expected, outLeft: r.load.out,
	}
	rt.chooser.dispatched(a, d, m.clock.now)
	if m.counts(r) {
		m.result.attempts++
	}
	deliver := func() {
		if d.bring > 0 && !a.worker.dead {
			a.worker.store(r.doc, len(r.doc.pieces))
		}
		if !a.worker.enqueue(a) {
			a.fail()
		}
	}
	delay := m.setup.Deployment.NetworkDelay
	if d.bring == 0 {
		m.clock.after(delay, deliver)
		return
	}
	m.links[r.doc.store].transfer(d.bring, func(float64) { m.clock.after(delay, deliver) })
}

func (a *attempt) router() *router { return a.sim.routers[a.req.router] }

// answer is the first token.
func (a *attempt) answer() {
	m, r := a.sim, a.req
	took := m.clock.now + m.setup.Deployment.NetworkDelay - r.at
	a.started = true
	a.router().chooser.answered(a, m.clock.now)
	a.router().admit.Observe(toDuration(a.expected), toDuration(took))
	if !m.counts(r) {
		return
	}
	m.result.first = append(m.result.first, took)
	if !r.fresh {
		m.result.returned += len(r.doc.pieces)
		m.result.recomputed += a.recomputed
	}
	if took <= r.patience {
		m.result.worth += r.load.class.Worth
	}
}

func (a *attempt) finish() {
	a.router().chooser.ended(a, route.Succeeded, a.sim.clock.now)
	a.router().budget.RecordSuccess()
}

func (a *attempt) abandon() {
	a.router().chooser.ended(a, route.Canceled, a.sim.clock.now)
	a.sim.refuse(a.req, contract.ReasonCallerDisconnected)
}

// fail ends an attempt whose worker is dead or full. An answer already begun
// resumes elsewhere without counting again.
func (a *attempt) fail() {
	m, r := a.sim, a.req
	a.router().chooser.ended(a, route.Failed, m.clock.now)
	if a.started {
		return
	}
	r.tries++
	r.tried = append(r.tried, workerName(a.worker.id))
	if m.setup.Retries == Unlimited {
		m.clock.after(redial, func() { r.tried = nil; m.try(r) })
		return
	}
	m.retry(a.router(), r)
}

func (m *sim) retry(rt *router, r *request) {
	run := retry.ResumeRetrier(retry.Policy{}, rt.budget, timeAt(r.gaveUp), r.tries)
	wait, err := run.Next(retry.EndpointBusy, 0, m.clock.time(), m.rng)
	if err != nil {
		m.refuse(r, contract.ReasonRetryBudget)
		return
	}
	m.clock.after(wait.Seconds(), func() { m.try(r) })
}

func (m *sim) refuse(r *request, reason contract.Reason) {
	if m.counts(r) {
		m.result.refusals[reason]++
	}
}

// reports sends every worker's state to all routers, late.
func (m *sim) reports() {
	lag := reportLag
	if m.setup.Fault == LateReports {
		lag = lateLag
	}
	for i, w := range m.workers {
		if w.dead {
			continue
		}
		r, ev := w.report()
		m.clock.after(lag, func() { m.observe(i, r, ev) })
	}
	m.clock.after(reportInterval, m.reports)
}

func (m *sim) observe(worker int, r engine.Report, ev engine.Events) {
	for _, rt := range m.routers {
		rt.chooser.observe(worker, r, ev, m.clock.now)
	}
}

func (m *sim) fault() {
	switch m.setup.Fault {
	case WorkerLost:
		m.workers[0].die()
	case StoreLost:
		m.links[0].dead = true
	case SlowLink:
		m.links[0].rate /= 10
	}
}

func (m *sim) finish() Result {
	slices.Sort(m.result.first)
	span := warmup + m.setup.Seconds
	for _, l := range m.links {
		m.result.linkUse += float64(l.moved) / (linkShare * float64(m.setup.Deployment.Workers) * span)
	}
	m.result.bound = m.bound()
	return m.result
}

// bound is the worth that the workers could serve with a full batch and every
// returning document cached, filled from the requests with the most worth for
// their cost. Work carried over the end of the measured time is taken to equal
// that carried over its start.
func (m *sim) bound() float64 {
	alive := float64(m.setup.Deployment.Workers) * m.setup.Seconds
	if m.setup.Fault == WorkerLost {
		alive -= m.setup.Seconds * 3 / 4
	}
	sum := 0.0
	for _, i := range m.itemsByDensity() {
		n := min(float64(m.result.demand[i]), alive/i.cost())
		alive -= n * i.cost()
		sum += n * i.load.class.Worth
	}
	return sum
}

func (m *sim) itemsByDensity() []item {
	var items []item
	for l := range m.setup.Deployment.ClassLoads {
		load := &m.setup.Deployment.ClassLoads[l]
		items = append(items, item{load, false}, item{load, true})
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.density(), a.density()) })
	return items
}
