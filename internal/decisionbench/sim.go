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

// Fault names a failure that is injected during a run.
type Fault string

// The faults. All but LateReports begin after a quarter of the measured time.
const (
	NoFault     Fault = "calm"        // no failure
	WorkerLost  Fault = "worker-lost" // worker 0 fails for good
	StoreLost   Fault = "store-lost"  // store 0 is unreachable for good
	SlowLink    Fault = "link-tenth"  // the link of store 0 keeps a tenth of its rate
	LateReports Fault = "late-2s"     // load reports arrive 2 s late during the whole run
)

// Faults lists all faults.
var Faults = []Fault{NoFault, WorkerLost, StoreLost, SlowLink, LateReports}

// AdmissionPolicy names an admission policy.
type AdmissionPolicy string

// The admission policies.
const (
	FirstCome AdmissionPolicy = "first-come" // every request is admitted
	Worth     AdmissionPolicy = "worth"      // package admit decides
)

// RetryPolicy names a policy for retrying failed attempts.
type RetryPolicy string

// The retry policies.
const (
	Unlimited RetryPolicy = "unlimited" // retry after a short fixed pause, without end
	Budgeted  RetryPolicy = "budgeted"  // package retry decides
)

// Patience says whether callers stop waiting before their class's first-token
// time, and whether they announce it in their budget header.
type Patience string

// The values of Patience.
const (
	FullTime         Patience = ""       // they wait for the full first-token time
	LeaveUnannounced Patience = "hidden" // they leave early without a budget header
	LeaveAnnounced   Patience = "told"   // they leave early, at the time in their budget header
)

// Setup is the configuration of one run, which is one row of a result table.
type Setup struct {
	Deployment Deployment
	Routing    RoutingPolicy
	Admission  AdmissionPolicy
	Retries    RetryPolicy
	Patience   Patience
	Fault      Fault
	Load       float64 // arrival rate as a share of the deployment's capacity
	Seconds    float64 // measured time, after the warm-up
	Seed       uint64

	Route route.Config // for Score; zero fields take defaults
	Admit admit.Config // for Worth; zero fields take defaults
}

// Parameters of a run, in seconds unless they say otherwise.
const (
	warmupSeconds       = 10.0
	reportInterval      = 0.25
	reportLag           = 0.1
	lateReportLag       = 2.0
	minPatienceShare    = 0.1  // least share of the first-token time that a caller waits
	unlimitedRetryPause = 0.02 // between attempts of Unlimited
)

// attempt is one dispatch of a request to a worker.
type attempt struct {
	sim                *sim
	id                 string
	req                *request
	worker             *worker
	expectedFirstToken float64 // seconds from dispatch, as the router expected
	promptTokensLeft   int
	answerTokensLeft   int
	recomputedPieces   int
	firstTokenSent     bool
}

// router makes the decisions of one entry instance.
type router struct {
	chooser chooser
	admit   *admit.Controller
	budget  *retry.Budget
}

// sim is the state of one run.
type sim struct {
	setup         Setup
	clock         *clock
	rng           *rand.Rand // of the routing, admission and retry decisions
	traffic       *traffic
	workers       []*worker
	links         []*link
	routers       []*router
	result        Result
	lastAttemptID int
}

// Run simulates setup and returns its measurements. The same setup gives the same
// result.
func Run(setup Setup) Result {
	s := newSim(setup)
	end := warmupSeconds + setup.Seconds
	s.scheduleArrivals(end)
	s.clock.after(0, s.sendReports)
	s.clock.after(warmupSeconds+setup.Seconds/4, s.injectFault)
	// Arrivals stop at end; the further seconds let the last requests be answered.
	s.clock.runUntil(end + warmupSeconds)
	return s.finish()
}

func newSim(setup Setup) *sim {
	s := &sim{setup: setup, clock: &clock{}, rng: rand.New(rand.NewPCG(setup.Seed, 2))}
	s.traffic = newTraffic(setup.Deployment, rand.New(rand.NewPCG(setup.Seed, 1)))
	for i := range setup.Deployment.Workers {
		s.workers = append(s.workers, newWorker(i, s.clock))
	}
	for range storeCount {
		rate := linkRatePerWorker * float64(setup.Deployment.Workers) / storeCount
		s.links = append(s.links, &link{clock: s.clock, rate: rate})
	}
	for i := range setup.Deployment.Routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	s.result.refusals = map[contract.Reason]int{}
	s.result.demand = map[requestKind]int{}
	return s
}

func (s *sim) newRouter(i int) *router {
	r := &router{admit: admit.NewController(s.setup.Admit), budget: retry.NewBudget(retry.BudgetConfig{})}
	if s.setup.Routing == Score {
		r.chooser = newScoreChooser(s.setup)
	} else {
		r.chooser = newBaselineChooser(s.setup.Routing, s.workers, i)
	}
	return r
}

// scheduleArrivals schedules the arrival of requests, one after the other, until
// end.
func (s *sim) scheduleArrivals(end float64) {
	rate := s.setup.Load * s.setup.Deployment.capacity()
	gap := s.traffic.rng.ExpFloat64() / rate
	if s.clock.now+gap > end {
		return
	}
	s.clock.after(gap, func() {
		r := s.traffic.nextRequest(s.clock.now)
		if s.setup.Patience != FullTime {
			r.firstTokenLimit *= minPatienceShare + (1-minPatienceShare)*s.traffic.rng.Float64()
		}
		if s.measured(r) {
			s.result.offered++
			s.result.demand[requestKind{r.load, r.newDoc}]++
		}
		s.routeRequest(r)
		s.scheduleArrivals(end)
	})
}

// measured reports whether r arrived after the warm-up and counts in the result.
func (s *sim) measured(r *request) bool { return r.arrivedAt >= warmupSeconds }

// routeRequest chooses a worker for r and dispatches r to it, or refuses r. Retries
// are not subject to admission.
func (s *sim) routeRequest(r *request) {
	rt := s.routers[r.routerIndex]
	importTime := func(pieces int) (float64, bool) {
		seconds := s.links[r.doc.storeIndex].transferTime(pieces)
		return seconds, !math.IsInf(seconds, 1)
	}
	if r.newDoc {
		importTime = nil
	}
	d, ok := rt.chooser.choose(r, s.clock.now, importTime, s.rng)
	if !ok {
		s.recordRefusal(r, contract.ReasonNoEndpoint)
		return
	}
	if s.setup.Admission == Worth && r.failedAttempts == 0 {
		if reason, ok := s.admit(rt, r, d); !ok {
			s.recordRefusal(r, reason)
			return
		}
	}
	s.dispatch(rt, r, d)
}

// admit reports whether admission control accepts r, and otherwise the reason of
// the refusal.
func (s *sim) admit(rt *router, r *request, d decision) (contract.Reason, bool) {
	err := rt.admit.Admit(admit.Query{
		Team: r.team, Class: r.load.class, Expected: durationFromSeconds(d.expectedFirstToken), QueueTime: durationFromSeconds(d.queueTime), MeanQueueTime: d.choice.MeanQueue,
		TimeLeft: s.announcedBudget(r),
		Cost:     durationFromSeconds(d.prefillTime() + float64(r.load.answerTokens)*decodeTimePerToken),
	}, s.clock.time(), s.rng)
	var refusal *contract.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason, false
	}
	return "", true
}

// announcedBudget returns the time budget that the caller announced, or 0 if it
// announced none.
func (s *sim) announcedBudget(r *request) time.Duration {
	if s.setup.Patience != LeaveAnnounced {
		return 0
	}
	return durationFromSeconds(r.firstTokenLimit)
}

// prefillTime returns the expected seconds to the first token without queueing.
func (d decision) prefillTime() float64 { return d.expectedFirstToken - d.queueTime }

// dispatch sends r to the chosen worker, after its document has been imported from
// the store if the decision asks for it.
func (s *sim) dispatch(rt *router, r *request, d decision) {
	s.lastAttemptID++
	a := &attempt{
		sim: s, id: strconv.Itoa(s.lastAttemptID), req: r, worker: s.workers[d.worker],
		expectedFirstToken: d.expectedFirstToken, answerTokensLeft: r.load.answerTokens,
	}
	rt.chooser.recordDispatch(a, d, s.clock.now)
	if s.measured(r) {
		s.result.attempts++
	}
	deliver := func() {
		if d.importPieces > 0 && !a.worker.failed {
			a.worker.cacheDocument(r.doc, len(r.doc.pieces))
		}
		if !a.worker.enqueue(a) {
			a.fail()
		}
	}
	delay := s.setup.Deployment.NetworkDelay
	if d.importPieces == 0 {
		s.clock.after(delay, deliver)
		return
	}
	s.links[r.doc.storeIndex].transfer(d.importPieces, func(float64) { s.clock.after(delay, deliver) })
}

func (a *attempt) router() *router { return a.sim.routers[a.req.routerIndex] }

// recordFirstToken records that the attempt has sent its first token.
func (a *attempt) recordFirstToken() {
	s, r := a.sim, a.req
	took := s.clock.now + s.setup.Deployment.NetworkDelay - r.arrivedAt
	a.firstTokenSent = true
	a.router().chooser.recordFirstToken(a, s.clock.now)
	a.router().admit.Observe(durationFromSeconds(a.expectedFirstToken), durationFromSeconds(took))
	if !s.measured(r) {
		return
	}
	s.result.firstTokenTimes = append(s.result.firstTokenTimes, took)
	if !r.newDoc {
		s.result.returning += len(r.doc.pieces)
		s.result.recomputed += a.recomputedPieces
	}
	if took <= r.firstTokenLimit {
		s.result.servedWorth += r.load.class.Worth
	}
}

// finish records that the attempt has sent its whole answer.
func (a *attempt) finish() {
	a.router().chooser.recordEnd(a, route.Succeeded, a.sim.clock.now)
	a.router().budget.RecordSuccess()
}

// abandon ends an attempt whose caller has disconnected.
func (a *attempt) abandon() {
	a.router().chooser.recordEnd(a, route.Canceled, a.sim.clock.now)
	a.sim.recordRefusal(a.req, contract.ReasonCallerDisconnected)
}

// fail ends an attempt whose worker has failed or has a full queue, and retries
// its request. An attempt that has sent its first token is not retried: its answer
// is assumed to resume at another worker, and its first token counts only once.
func (a *attempt) fail() {
	s, r := a.sim, a.req
	a.router().chooser.recordEnd(a, route.Failed, s.clock.now)
	if a.firstTokenSent {
		return
	}
	r.failedAttempts++
	r.triedWorkers = append(r.triedWorkers, workerName(a.worker.id))
	if s.setup.Retries == Unlimited {
		s.clock.after(unlimitedRetryPause, func() { r.triedWorkers = nil; s.routeRequest(r) })
		return
	}
	s.retry(a.router(), r)
}

// retry schedules the next attempt of r as package retry allows, or refuses r.
func (s *sim) retry(rt *router, r *request) {
	retrier := retry.ResumeRetrier(retry.Policy{}, rt.budget, timeAt(r.deadline), r.failedAttempts)
	wait, err := retrier.Next(retry.EndpointBusy, 0, s.clock.time(), s.rng)
	if err != nil {
		s.recordRefusal(r, contract.ReasonRetryBudget)
		return
	}
	s.clock.after(wait.Seconds(), func() { s.routeRequest(r) })
}

func (s *sim) recordRefusal(r *request, reason contract.Reason) {
	if s.measured(r) {
		s.result.refusals[reason]++
	}
}

// sendReports delivers the load and cache events of every live worker to all
// routers after the report lag, and schedules the next reports.
func (s *sim) sendReports() {
	lag := reportLag
	if s.setup.Fault == LateReports {
		lag = lateReportLag
	}
	for i, w := range s.workers {
		if w.failed {
			continue
		}
		r, ev := w.takeReport()
		s.clock.after(lag, func() { s.deliverReport(i, r, ev) })
	}
	s.clock.after(reportInterval, s.sendReports)
}

func (s *sim) deliverReport(worker int, r engine.Report, ev engine.Events) {
	for _, rt := range s.routers {
		rt.chooser.observeReport(worker, r, ev, s.clock.now)
	}
}

// injectFault starts the fault of the setup.
func (s *sim) injectFault() {
	switch s.setup.Fault {
	case WorkerLost:
		s.workers[0].fail()
	case StoreLost:
		s.links[0].down = true
	case SlowLink:
		s.links[0].rate /= 10
	}
}

// finish completes the result and returns it.
func (s *sim) finish() Result {
	slices.Sort(s.result.firstTokenTimes)
	span := warmupSeconds + s.setup.Seconds
	for _, l := range s.links {
		s.result.linkUse += float64(l.movedPieces) / (linkRatePerWorker * float64(s.setup.Deployment.Workers) * span)
	}
	s.result.maxWorth = s.maxWorth()
	return s.result
}

// maxWorth returns an upper bound on the worth that the workers can serve: with a
// full batch and every returning document cached, they take the requests with the
// most worth for their cost first. Work left over at the end of the measured time
// is assumed to equal the work left over at its start.
func (s *sim) maxWorth() float64 {
	secondsLeft := float64(s.setup.Deployment.Workers) * s.setup.Seconds
	if s.setup.Fault == WorkerLost {
		secondsLeft -= s.setup.Seconds * 3 / 4
	}
	sum := 0.0
	for _, k := range s.kindsByWorthPerSecond() {
		n := min(float64(s.result.demand[k]), secondsLeft/k.minSeconds())
		secondsLeft -= n * k.minSeconds()
		sum += n * k.load.class.Worth
	}
	return sum
}

// kindsByWorthPerSecond returns all kinds of requests, those with the most worth
// for their cost first.
func (s *sim) kindsByWorthPerSecond() []requestKind {
	var kinds []requestKind
	for l := range s.setup.Deployment.ClassLoads {
		load := &s.setup.Deployment.ClassLoads[l]
		kinds = append(kinds, requestKind{load, false}, requestKind{load, true})
	}
	slices.SortFunc(kinds, func(a, b requestKind) int { return cmp.Compare(b.worthPerSecond(), a.worthPerSecond()) })
	return kinds
}
