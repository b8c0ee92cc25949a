package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/internal/timer"
)

// Options configures a run. Duration and the numbers of processes, endpoints and
// callers take defaults if they are zero.
type Options struct {
	Gatewayd string // path of the gatewayd binary
	Dir      string // existing directory for settings and log files
	Seed     uint64
	Duration time.Duration // steps begin before this time has passed
	Gateways int
	Engines  int
	Apps     int // endpoints of each of the two applications
	Callers  int
	// LateCallers keep connections open and send late on them, in the runs with steps of
	// stopKinds.
	LateCallers int
	WeightSteps bool // steps of weightKinds are drawn whatever the seed says
	// CacheSteps adds steps of cacheKinds, and a cache store to half of the seeds. Prompts are
	// longer, so that engines fetch parts, and some streams outlast a load of weights.
	CacheSteps bool
	// CheckTimeBounds enables the checks of invariants with a time bound, which cannot be kept on
	// an overloaded machine.
	CheckTimeBounds bool
}

// withDefaults sets the default size, which is about a dozen processes and simulated
// endpoints, and the default duration.
func (o Options) withDefaults() Options {
	for value, defaultValue := range map[*int]int{&o.Gateways: 3, &o.Engines: 3, &o.Apps: 2, &o.Callers: 12, &o.LateCallers: 16} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if o.Duration == 0 {
		o.Duration = 12 * time.Second
	}
	return o
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Steps      []Step
	Calls      int
	Statuses   map[int]int // number of ended calls by HTTP status, 0 for no answer
	Violations []Violation
	InStops    StopCounts // of the requests that arrived at stopping gateways
}

// run is the state of a run.
type run struct {
	opts     Options
	loopback *loopback
	started  time.Time
	operator *operator
	network  *network
	// storeServers serve the metadata store, one to each gateway.
	storeServers []*httptest.Server
	cacheStore   *cacheStore // nil without CacheSteps
	gateways     []*gateway
	endpoints    []*endpoint
	// lateEndpoints serve the calls of late callers. No step disturbs them alone.
	lateEndpoints []*endpoint
	callLog       *callLog
	disruptions   *disruptionLog
	delays        delayLog

	leaveMu sync.Mutex // held while tryLeave decides
	rollMu  sync.Mutex // held during GatewaysRoll

	mu         sync.Mutex
	violations map[string]Violation // by invariant and detail
}

// Run carries out one seeded run and reports violated invariants. It returns an error if
// the run could not be set up or ctx ended.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{
		opts: o.withDefaults(), started: time.Now(), operator: newOperator(), callLog: newCallLog(),
		disruptions: &disruptionLog{}, violations: map[string]Violation{},
	}
	r.network = newNetwork(r.opts.Gateways)
	defer r.stop()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	if !r.waitFor(ctx, "every gateway is ready", r.allReady) {
		return r.report(nil), ctx.Err()
	}
	steps := NewPlan(r.opts.Seed, r.opts.Duration)
	if r.opts.WeightSteps && !hasWeightSteps(r.opts.Seed) {
		steps = withWeightSteps(steps, r.opts.Seed, r.opts.Duration)
	}
	if r.opts.CacheSteps {
		steps = withCacheSteps(steps, r.opts.Seed, r.opts.Duration)
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var tasks sync.WaitGroup
	for id := range r.opts.Callers {
		tasks.Go(func() { newCaller(r, id).callUntilDone(callersCtx) })
	}
	if hasStopSteps(r.opts.Seed) {
		for n := range r.opts.LateCallers {
			tasks.Go(func() { newLateCaller(r, n).callUntilDone(callersCtx) })
		}
	}
	tasks.Go(func() { _ = timer.Every(callersCtx, checkInterval, func() { r.check(r.opts.CheckTimeBounds) }) })
	tasks.Go(func() { _ = timer.Every(callersCtx, entryCheckInterval, r.updateEndpointEntries) })
	r.runSteps(ctx, steps)
	r.awaitRecovery(ctx)
	stopCallers()
	tasks.Wait()
	r.check(r.opts.CheckTimeBounds)
	return r.report(steps), ctx.Err()
}

// start starts the store, the endpoints and the gateways.
func (r *run) start() error {
	var err error
	if r.loopback, err = claimLoopback(r.opts.Gateways); err != nil {
		return err
	}
	if r.opts.CacheSteps {
		r.operator.longPrompts = true
		if hasCacheStore(r.opts.Seed) {
			r.cacheStore = startCacheStore()
			r.operator.cacheStore = r.cacheStore.addr()
		}
	}
	r.operator.publishConfig()
	r.operator.put(fleetwire.WeightsEntry(model, 1))
	add := func(service, ofModel string, count int) {
		for range count {
			r.endpoints = append(r.endpoints, &endpoint{service: service, model: ofModel, zone: zoneOf(len(r.endpoints)), operator: r.operator, network: r.network})
		}
	}
	add(engineService, model, r.opts.Engines)
	add(appService, "", r.opts.Apps)
	add(otherAppService, "", r.opts.Apps)
	r.addLateEndpoints()
	for _, e := range r.allEndpoints() {
		if err := e.start(); err != nil {
			return err
		}
	}
	for n := range r.opts.Gateways {
		store := httptest.NewServer(r.operator.store.Handler(r.addressesFor(n)))
		r.storeServers = append(r.storeServers, store)
		g, err := newGateway(&r.opts, r.loopback.addr(n), n, store.Listener.Addr().String())
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops everything that the run started.
func (r *run) stop() {
	for _, g := range r.gateways {
		g.stop()
	}
	for _, e := range r.allEndpoints() {
		e.release()
	}
	if r.loopback != nil {
		r.loopback.release()
	}
	for _, s := range r.storeServers {
		s.CloseClientConnections()
		s.Close()
	}
	if r.cacheStore != nil {
		r.cacheStore.server.CloseClientConnections()
		r.cacheStore.server.Close()
	}
}

// checkInterval is the time between checks during a run.
const checkInterval = time.Second

// updateEndpointEntries writes new store entries for engines whose weight version has
// changed.
func (r *run) updateEndpointEntries() {
	for _, e := range r.endpoints {
		e.updateEntry()
	}
}

// recordViolation records a violated invariant, unless the same one with the same detail
// is recorded already.
func (r *run) recordViolation(invariant Invariant, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.violations[string(invariant)+detail]; !known {
		r.violations[string(invariant)+detail] = Violation{Invariant: invariant, Detail: detail, At: time.Since(r.started)}
	}
}

// report returns the outcome of the run so far.
func (r *run) report(steps []Step) Report {
	rep := Report{Seed: r.opts.Seed, Steps: steps, Statuses: map[int]int{}}
	calls, pending := r.callLog.snapshot()
	for attempt, c := range calls {
		rep.Calls++
		if !pending[attempt] {
			rep.Statuses[c.status]++
		}
	}
	rep.InStops = r.countInStops(r.observe())
	for _, v := range r.violations {
		rep.Violations = append(rep.Violations, v)
	}
	slices.SortFunc(rep.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return rep
}

// recoveryTimeout bounds the wait for conditions that must hold in the end. It is
// reached only in failing runs.
const recoveryTimeout = 60 * time.Second

// waitFor waits until condition returns true. It returns false if ctx is done, or
// after recoveryTimeout, which it records as a violation; what describes the condition.
func (r *run) waitFor(ctx context.Context, what string, condition func() bool) bool {
	end := time.Now().Add(recoveryTimeout)
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		if time.Now().After(end) {
			r.recordViolation(NoRecovery, "%s: not true within %s", what, recoveryTimeout)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

func (r *run) allReady() bool {
	for _, g := range r.gateways {
		if !g.ready() {
			return false
		}
	}
	return true
}

// readyGateway returns a random ready gateway, as a load balancer would for a new
// connection, or nil if none is ready.
func (r *run) readyGateway(rng *rand.Rand) *gateway {
	for _, n := range rng.Perm(len(r.gateways)) {
		if r.gateways[n].ready() {
			return r.gateways[n]
		}
	}
	return nil
}

// awaitRecovery waits until everything works again after the last step.
func (r *run) awaitRecovery(ctx context.Context) {
	if !r.waitFor(ctx, "every gateway is ready", r.allReady) {
		return
	}
	// The caller has an ID that no other caller has, and does not use revocableToken.
	c := newCaller(r, r.opts.Callers+revocableTokenEvery)
	if c.id%revocableTokenEvery == 0 {
		c.id++
	}
	for _, g := range r.gateways {
		for _, kind := range callKinds {
			answers := func() bool {
				c.client.CloseIdleConnections()
				c.gateway = g
				cl := c.call(kind)
				return cl.complete() && cl.status == http.StatusOK
			}
			if !r.waitFor(ctx, fmt.Sprintf("%s answers a call of kind %s", g.name, kind), answers) {
				return
			}
		}
	}
	r.waitFor(ctx, "every engine has the newest weights", func() bool {
		for _, e := range r.endpoints {
			if i := e.running(); e.model != "" && i != nil && i.worker.WeightsVersion() != r.operator.newestWeights() {
				return false
			}
		}
		return true
	})
}

// runSteps carries out each step at its time and returns when all have ended.
func (r *run) runSteps(ctx context.Context, steps []Step) {
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(s.At))):
		}
		running.Go(func() { r.runStep(ctx, s) })
	}
}

// runStep carries out one step and returns when it has ended.
func (r *run) runStep(ctx context.Context, s Step) {
	end := func() {}
	if !isPlanned(s.Kind) {
		end = r.disruptions.begin(s.Kind)
	}
	defer end()
	g := r.gateways[s.Target%len(r.gateways)]
	e := r.endpoints[s.Target%len(r.endpoints)]
	defer r.delays.begin(s.Kind, g, e)()
	waitEnd := func() {
		select {
		case <-ctx.Done():
		case <-time.After(s.Duration):
		}
	}
	switch s.Kind {
	case GatewayKill, GatewayStop, GatewayPause, GatewayReload:
		r.signalGateway(g, s.Kind, waitEnd)
	case GatewaysRoll, GatewayStopTwice, GatewayStopReload, GatewayStopEarly:
		r.stopGateways(ctx, s)
	case GatewaysKill:
		r.killGateways(waitEnd)
	case StoreDropsHistory:
		r.operator.content.Compact()
	case StoreRestored:
		r.restoreStore(waitEnd)
	case StoreLeasesExpire:
		r.operator.content.ExpireLeases()
	case StoreBusy, StoreSilent, StoreSlow, StoreLosesAnswers, StoreLateWrites:
		r.operator.store.SetFault(storeFaults[s.Kind])
		waitEnd()
		r.operator.store.SetFault(fleetstore.Fault{})
	case StoreLinkCut, StoreLinkHoldOut, StoreLinkHoldBack, StoreLinkSilent:
		r.disturbLinks([]*Link{g.storeLink}, s.Kind, waitEnd)
		g.recordResume()
	case CallersReset, CallersSilent:
		r.disturbLinks([]*Link{g.callerLink}, s.Kind, waitEnd)
	case PartitionHangs, PartitionResets, PartitionRefuses:
		r.partition(s.Target%len(r.gateways), s.Kind, func() {
			waitEnd()
			timer.Sleep(ctx, partitionTime)
		})
	case EndpointsBrittle:
		r.makeBrittle(ctx, s, e, waitEnd)
	case ConfigMove:
		r.operator.moveRoute()
	case ConfigMoveLate:
		r.operator.moveLateRoutes()
	case ConfigGrow:
		r.operator.addRoutes()
	case ConfigRevoke:
		r.operator.revokeToken()
	case WeightsNamed:
		r.operator.nameNewWeights()
	case RunsPreempted:
		r.preemptRuns(ctx, s.Duration)
	case CacheStoreLost:
		if r.cacheStore != nil {
			r.cacheStore.content.Restart()
		}
	case RequestCrashes:
		r.sendRepeatedly(ctx, s, callCrash, 1)
	case RequestCrashWaves:
		r.sendRepeatedly(ctx, s, callCrash, copiesPerWave)
	case PartCrashes:
		r.sendRepeatedly(ctx, s, callPart, 1)
	case StreamSkips, StreamRestarts, StreamRepeats, StreamRepeatsLater, StreamEmpty, StreamErrorText, StreamErrorEvent, StreamBreaks, StreamPieces, StreamSecondResponse:
		r.disturbStreams(s, waitEnd)
	case HeadBreaks, HeadAlone, HeadJoins:
		r.spoilHeads(s, waitEnd)
	case EndpointKilled, EndpointKilledAway, EndpointLeftKilled:
		r.killEndpoint(e, s, waitEnd)
	default:
		r.disturbEndpoint(e, s.Kind, waitEnd)
	}
}

const (
	// crashCallInterval is the time between two calls of the crashing request.
	crashCallInterval = 300 * time.Millisecond
	// crashCallTime is how long the calls go on after the step: long enough for the users'
	// bound on them to apply.
	crashCallTime = 8 * time.Second
)

// copiesPerWave is the number of copies of the crashing request that are sent at once, enough
// for some to come to each endpoint of its service.
const copiesPerWave = 6

// sendRepeatedly makes calls of a kind during and after a step, each at any gateway and a
// number of them at once.
func (r *run) sendRepeatedly(ctx context.Context, s Step, kind callKind, atOnce int) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for n := range atOnce {
		// The step's time makes the callers' IDs unique.
		c := newCaller(r, firstStepCaller+(int(s.At/time.Millisecond)*copiesPerWave+n)*revocableTokenEvery+1)
		callers.Go(func() {
			for end := time.Now().Add(s.Duration + crashCallTime); time.Now().Before(end) && timer.Sleep(ctx, crashCallInterval); {
				c.client.CloseIdleConnections()
				if c.gateway = r.readyGateway(c.rng); c.gateway != nil {
					c.call(kind)
				}
			}
		})
	}
}

// firstStepCaller is above the IDs of the callers of a run.
const firstStepCaller = 1 << 20

// restoreOutage is how long the store is away before it comes back from a copy.
const restoreOutage = 200 * time.Millisecond

// restoreStore takes a copy of the store, and brings the store back from it after waitEnd.
// The operator and the endpoints then write again what they had written; the entries of
// endpoints that have stopped since expire.
func (r *run) restoreStore(waitEnd func()) {
	copied := r.operator.content.Backup()
	waitEnd()
	r.operator.store.SetFault(fleetstore.Fault{Unavailable: true})
	time.Sleep(restoreOutage)
	r.operator.store.Restore(copied)
	r.operator.store.SetFault(fleetstore.Fault{})
	r.operator.writeAgain()
	for _, e := range r.allEndpoints() {
		running := e.running()
		for _, i := range e.incarnations() {
			if i == running {
				r.operator.writeEntry(e, i)
			}
		}
	}
	time.Sleep(entryDeleteDelay)
	for _, e := range r.allEndpoints() {
		running := e.running()
		for _, i := range e.incarnations() {
			if i != running {
				e.removeEntry(i)
			}
		}
	}
}

// storeDelay is longer than the timeout of the gateways for store calls.
const storeDelay = 700 * time.Millisecond

// storeFaults holds the fault of the store for each kind that sets one.
var storeFaults = map[StepKind]fleetstore.Fault{
	StoreBusy:         {Unavailable: true},
	StoreSilent:       {NoAnswer: true},
	StoreSlow:         {Delay: storeDelay},
	StoreLosesAnswers: {LoseWriteAnswers: true},
	StoreLateWrites:   {LoseWriteAnswers: true, WriteDelay: storeDelay},
}

// signalGateway carries out a step of a kind that signals a gateway.
func (r *run) signalGateway(g *gateway, kind StepKind, waitEnd func()) {
	switch kind {
	case GatewayReload:
		g.signal(syscall.SIGHUP)
	case GatewayPause:
		g.signal(syscall.SIGSTOP)
		waitEnd()
		g.signal(syscall.SIGCONT)
		g.recordResume()
	case GatewayKill:
		<-closedIfNil(g.signal(syscall.SIGKILL))
		waitEnd()
		r.restart(g)
	case GatewayStop:
		r.stopAndRestart(g, nil)
	}
}

// killGateways kills all gateways at once, and starts them again after waitEnd.
func (r *run) killGateways(waitEnd func()) {
	var exits []<-chan struct{}
	for _, g := range r.gateways {
		exits = append(exits, closedIfNil(g.signal(syscall.SIGKILL)))
	}
	for _, exited := range exits {
		<-exited
	}
	waitEnd()
	for _, g := range r.gateways {
		r.restart(g)
	}
}

// closedIfNil returns c, or a closed channel if c is nil, because receiving from a nil
// channel blocks forever.
func closedIfNil(c <-chan struct{}) <-chan struct{} {
	if c != nil {
		return c
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// restart starts a gateway again, and records a violation if that fails.
func (r *run) restart(g *gateway) {
	if err := g.start(); err != nil {
		r.recordViolation(NoRecovery, "%s failed to start: %v", g.name, err)
	}
}

// linkDelay is several times as long as a usual answer takes.
const linkDelay = 120 * time.Millisecond

// linkFaults holds the fault of links for each kind that sets one.
var linkFaults = map[StepKind]LinkFault{
	StoreLinkCut:      {HoldToTarget: true, HoldToDialer: true},
	EndpointCut:       {HoldToTarget: true, HoldToDialer: true},
	EndpointStalls:    {HoldToTarget: true, HoldToDialer: true},
	StoreLinkHoldOut:  {HoldToTarget: true},
	StoreLinkHoldBack: {HoldToDialer: true},
	EndpointHoldBack:  {HoldToDialer: true},
	EndpointDelay:     {Delay: linkDelay},
}

// disturbLinks carries out a step on links. Faults other than resets and silence last
// until waitEnd returns.
func (r *run) disturbLinks(links []*Link, kind StepKind, waitEnd func()) {
	setFaults := func(f LinkFault) {
		for n, l := range links {
			if len(links) > 1 && r.network.partitioned(n) {
				continue // a partition decides
			}
			if err := l.SetFault(f); err != nil {
				r.recordViolation(NoRecovery, "a link could not be set up: %v", err)
			}
		}
	}
	switch kind {
	case StoreLinkSilent, EndpointSilent, CallersSilent:
		for _, l := range links {
			l.Silence()
		}
		return
	case EndpointReset, CallersReset:
		for _, l := range links {
			l.Reset()
		}
		return
	}
	setFaults(linkFaults[kind])
	waitEnd()
	setFaults(LinkFault{})
}

// pauseValues holds the value of Retry-After for each kind of pause.
var pauseValues = map[StepKind]string{EndpointPause: "2", EndpointBadPause: "soon"}

// limitPerSecond is the limit that endpoints name, in requests a second.
const limitPerSecond = 4

// limitValues holds the value of the limit for each kind that names one.
var limitValues = map[StepKind]string{EndpointLimit: strconv.Itoa(limitPerSecond), EndpointBadLimit: "a few"}

// limitTime is how long a limit lasts beyond the step: long enough for the users' bound on
// it to apply.
const limitTime = 6 * time.Second

// endlessBeginnings holds how responses without end begin for each kind.
var endlessBeginnings = map[StepKind]string{EndlessHead: fleetworker.EndlessHead, EndlessBody: fleetworker.EndlessBody}

// orderFaultTime is how long orders fail beyond the step: long enough for the users' bound on old
// weights to apply.
const orderFaultTime = 8 * time.Second

// stallTime is how long a sound endpoint falls silent.
const stallTime = 1200 * time.Millisecond

// partitionTime is how long a partition lasts beyond the step: long enough for the users'
// bound on it to apply.
const partitionTime = 6 * time.Second

// entryDeleteDelay is the time from the crash of an endpoint until its store entry is
// deleted.
const entryDeleteDelay = 3 * entryCheckInterval

// disturbEndpoint carries out a step on an endpoint or its link.
func (r *run) disturbEndpoint(e *endpoint, kind StepKind, waitEnd func()) {
	i := e.running()
	if i == nil {
		return
	}
	switch kind {
	case EndpointCrash:
		if !e.stop(i) {
			return
		}
		time.Sleep(entryDeleteDelay)
		e.removeEntry(i)
		waitEnd()
	case EndpointLeave, EndpointUpgrade:
		if !r.tryLeave(e, i) {
			return
		}
		if kind == EndpointUpgrade {
			e.upgrade(r.operator.releaseSoftware())
		}
		time.Sleep(drainTime + graceTime/2)
		e.removeEntry(i)
		e.stop(i)
	case EndpointPause, EndpointBadPause:
		i.worker.SetPause(pauseValues[kind])
		waitEnd()
		i.worker.SetPause("")
		return
	case EndpointLimit, EndpointBadLimit:
		i.worker.SetLimit(limitValues[kind])
		waitEnd()
		time.Sleep(limitTime)
		i.worker.SetLimit("")
		return
	case EndlessHead, EndlessBody:
		i.worker.SetEndless(endlessBeginnings[kind])
		waitEnd()
		i.worker.SetEndless("")
		return
	case EndpointFails:
		i.worker.SetFailing(true)
		waitEnd()
		i.worker.SetFailing(false)
		return
	case EndpointUnframed:
		i.worker.SetUnframed(true)
		waitEnd()
		i.worker.SetUnframed(false)
		return
	case EntryFlaps:
		r.operator.deleteEntry(i)
		waitEnd()
		if next := e.running(); next != nil && next.id == i.id {
			r.operator.writeEntry(e, next)
		}
		return
	case OrdersLate, OrdersLost:
		i.worker.SetOrderFault(fleetworker.OrderFault(kind), true)
		waitEnd()
		time.Sleep(orderFaultTime)
		i.worker.SetOrderFault(fleetworker.OrderFault(kind), false)
		return
	case EndpointSlow:
		i.worker.SetSlowFactor(slowFactor)
		waitEnd()
		i.worker.SetSlowFactor(1)
		return
	case EndpointStalls:
		r.disturbLinks(i.links, kind, func() { time.Sleep(stallTime) })
		return
	default:
		r.disturbLinks(i.links, kind, waitEnd)
		return
	}
	if err := e.start(); err != nil {
		r.recordViolation(NoRecovery, "an endpoint failed to start: %v", err)
	}
}

// tryLeave has an endpoint announce that it leaves and returns true. It returns false
// if the endpoint has announced so before, or if it is the last one of its service
// that stays, because an operator does not remove all endpoints of a service at once.
func (r *run) tryLeave(e *endpoint, i *incarnation) bool {
	r.leaveMu.Lock()
	defer r.leaveMu.Unlock()
	if !i.leavingSince().IsZero() {
		return false
	}
	for _, other := range r.endpoints {
		running := other.running()
		if other != e && other.service == e.service && running != nil && running.leavingSince().IsZero() {
			i.announceLeaving(r.operator, e)
			return true
		}
	}
	return false
}
