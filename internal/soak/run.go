package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/timer"
)

// Options describe a run.
type Options struct {
	Gatewayd string // path of the program
	Dir      string // for settings and logs; must exist
	Seed     uint64
	Duration time.Duration // of the disruptions
	Gateways int
	Engines  int
	Apps     int // of each of the two applications
	Callers  int
	// CheckTimeBounds has promises with a bound on time checked as well. A machine that is
	// too busy can't keep them.
	CheckTimeBounds bool
}

// withDefaults fills in the usual size: a dozen processes and stand-ins.
func (o Options) withDefaults() Options {
	for value, usual := range map[*int]int{&o.Gateways: 3, &o.Engines: 3, &o.Apps: 2, &o.Callers: 12} {
		if *value == 0 {
			*value = usual
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
	Statuses   map[int]int // answers by status, 0 for none
	Violations []Violation
}

// run is a run under way.
type run struct {
	o         Options
	net       *loopback
	started   time.Time
	operator  *operator
	front     *httptest.Server // of the store
	gateways  []*gateway
	endpoints []*endpoint
	record    *record
	trouble   *trouble

	leaving sync.Mutex // held while an endpoint is found that may leave

	mu         sync.Mutex
	violations map[string]Violation // by promise and detail
}

// Run carries out one seeded run. The error is of the surroundings; broken
// promises are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{
		o: o.withDefaults(), started: time.Now(), operator: newOperator(), record: newRecord(),
		trouble: &trouble{}, violations: map[string]Violation{},
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	if !r.await(ctx, "every gateway is ready", r.allReady) {
		return r.report(nil), ctx.Err()
	}
	steps := NewPlan(r.o.Seed, r.o.Duration)
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var tasks sync.WaitGroup
	for id := range r.o.Callers {
		tasks.Go(func() { newCaller(r, id).loop(callers) })
	}
	tasks.Go(func() { _ = timer.Every(callers, checkInterval, func() { r.check(r.o.CheckTimeBounds) }) })
	tasks.Go(func() { _ = timer.Every(callers, heartbeats, r.heartbeat) })
	r.disrupt(ctx, steps)
	r.recover(ctx)
	stopCallers()
	tasks.Wait()
	r.check(r.o.CheckTimeBounds)
	return r.report(steps), ctx.Err()
}

// start starts the store, the endpoints and the gateways.
func (r *run) start() error {
	var err error
	if r.net, err = claimLoopback(); err != nil {
		return err
	}
	r.front = httptest.NewServer(r.operator.store)
	r.operator.publish()
	r.operator.put(fleetwire.WeightsEntry(model, 1))
	add := func(service, ofModel string, count int) {
		for range count {
			r.endpoints = append(r.endpoints, &endpoint{service: service, model: ofModel, zone: zoneOf(len(r.endpoints)), operate: r.operator})
		}
	}
	add(engines, model, r.o.Engines)
	add(apps, "", r.o.Apps)
	add(otherApps, "", r.o.Apps)
	for _, e := range r.endpoints {
		if err := e.start(); err != nil {
			return err
		}
	}
	for n := range r.o.Gateways {
		g, err := newGateway(&r.o, r.net.addr(n), n, r.front.Listener.Addr().String())
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

// stop ends what the run started.
func (r *run) stop() {
	for _, g := range r.gateways {
		g.stop()
	}
	for _, e := range r.endpoints {
		e.stop(e.running())
	}
	if r.net != nil {
		r.net.free()
	}
	if r.front != nil {
		r.front.CloseClientConnections()
		r.front.Close()
	}
}

// checkInterval is the time between checks while the run goes on.
const checkInterval = time.Second

// heartbeat has the endpoints list what has changed.
func (r *run) heartbeat() {
	for _, e := range r.endpoints {
		e.heartbeat()
	}
}

// violate records a broken promise once.
func (r *run) violate(promise Promise, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.violations[string(promise)+detail]; !known {
		r.violations[string(promise)+detail] = Violation{Promise: promise, Detail: detail, At: time.Since(r.started)}
	}
}

func (r *run) report(steps []Step) Report {
	rep := Report{Seed: r.o.Seed, Steps: steps, Statuses: map[int]int{}}
	calls, open := r.record.all()
	for attempt, k := range calls {
		rep.Calls++
		if !open[attempt] {
			rep.Statuses[k.status]++
		}
	}
	for _, v := range r.violations {
		rep.Violations = append(rep.Violations, v)
	}
	slices.SortFunc(rep.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return rep
}

// patience bounds waits for what must come about in the end; it only limits a
// failing run.
const patience = 60 * time.Second

// await waits until a condition holds; if it does not, the run has failed.
func (r *run) await(ctx context.Context, what string, holds func() bool) bool {
	end := time.Now().Add(patience)
	for !holds() {
		if ctx.Err() != nil {
			return false
		}
		if time.Now().After(end) {
			r.violate(NoRecovery, "%s: not within %s", what, patience)
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

// readyGateway returns the gateway that the balancer gives a new connection to,
// nil if none is ready.
func (r *run) readyGateway(rng *rand.Rand) *gateway {
	for _, n := range rng.Perm(len(r.gateways)) {
		if r.gateways[n].ready() {
			return r.gateways[n]
		}
	}
	return nil
}

// recover waits until everything works again after the last disruption.
func (r *run) recover(ctx context.Context) {
	if !r.await(ctx, "every gateway is ready", r.allReady) {
		return
	}
	c := newCaller(r, r.o.Callers+withdrawnEvery)
	if c.id%withdrawnEvery == 0 {
		c.id++
	}
	for _, g := range r.gateways {
		for _, kind := range callKinds {
			answers := func() bool {
				c.client.CloseIdleConnections()
				c.gateway = g
				k := c.call(kind)
				return k.whole() && k.status == http.StatusOK
			}
			if !r.await(ctx, fmt.Sprintf("%s answers a call of the kind %s", g.name, kind), answers) {
				return
			}
		}
	}
	r.await(ctx, "every engine has the newest weights", func() bool {
		for _, e := range r.endpoints {
			if i := e.running(); e.model != "" && i != nil && i.worker.WeightsVersion() != r.operator.weights() {
				return false
			}
		}
		return true
	})
}

// disrupt carries out the steps, each in time, and returns when all have ended.
func (r *run) disrupt(ctx context.Context, steps []Step) {
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(s.At))):
		}
		running.Go(func() { r.step(ctx, s) })
	}
}

// step carries out one step and returns when it has ended.
func (r *run) step(ctx context.Context, s Step) {
	end := func() {}
	if !slices.Contains(planned, s.Kind) {
		end = r.trouble.begin(slices.Contains(ofStore, s.Kind))
	}
	defer end()
	g := r.gateways[s.Target%len(r.gateways)]
	e := r.endpoints[s.Target%len(r.endpoints)]
	hold := func() {
		select {
		case <-ctx.Done():
		case <-time.After(s.Duration):
		}
	}
	switch s.Kind {
	case GatewayKill, GatewayStop, GatewayPause, GatewayReload:
		r.signal(g, s.Kind, hold)
	case StoreDropsHistory:
		r.operator.content.Compact()
	case StoreLeasesExpire:
		r.operator.content.ExpireLeases()
	case StoreBusy, StoreSilent, StoreSlow, StoreLosesAnswers, StoreLateWrites:
		r.operator.store.SetFault(storeFaults[s.Kind])
		hold()
		r.operator.store.SetFault(fleetstore.Fault{})
	case StoreLinkCut, StoreLinkHoldOut, StoreLinkHoldBack, StoreLinkSilent:
		disturb(g.store, s.Kind, hold)
		g.noteThaw()
	case CallersReset, CallersSilent:
		disturb(g.callers, s.Kind, hold)
	case ConfigMove:
		r.operator.move()
	case ConfigRevoke:
		r.operator.revoke()
	case WeightsNamed:
		r.operator.name()
	default:
		r.disturbEndpoint(e, s.Kind, hold)
	}
}

// storeDelay is above the time that the gateways give a call.
const storeDelay = 700 * time.Millisecond

var storeFaults = map[StepKind]fleetstore.Fault{
	StoreBusy:         {Unavailable: true},
	StoreSilent:       {NoAnswer: true},
	StoreSlow:         {Delay: storeDelay},
	StoreLosesAnswers: {LoseWriteAnswers: true},
	StoreLateWrites:   {LoseWriteAnswers: true, WriteDelay: storeDelay},
}

// signal sends signals to a gateway and starts it again.
func (r *run) signal(g *gateway, kind StepKind, hold func()) {
	switch kind {
	case GatewayReload:
		g.signal(syscall.SIGHUP)
	case GatewayPause:
		g.signal(syscall.SIGSTOP)
		hold()
		g.signal(syscall.SIGCONT)
		g.noteThaw()
	case GatewayKill:
		<-orClosed(g.signal(syscall.SIGKILL))
		hold()
		r.restart(g)
	case GatewayStop:
		ended := orClosed(g.signal(syscall.SIGTERM))
		select {
		case <-ended:
		case <-time.After(graceTime):
			g.signal(syscall.SIGKILL)
			<-ended
		}
		r.restart(g)
	}
}

// orClosed returns a channel that is never nil.
func orClosed(c <-chan struct{}) <-chan struct{} {
	if c != nil {
		return c
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

func (r *run) restart(g *gateway) {
	if err := g.start(); err != nil {
		r.violate(NoRecovery, "%s does not start: %v", g.name, err)
	}
}

// linkDelay is some times the usual answer.
const linkDelay = 120 * time.Millisecond

// disturb acts on a link until hold returns.
func disturb(k *Link, kind StepKind, hold func()) {
	switch kind {
	case StoreLinkSilent, EndpointSilent, CallersSilent:
		k.Silence()
		return
	case EndpointReset, CallersReset:
		k.Reset()
		return
	case StoreLinkCut, EndpointCut:
		k.SetFault(LinkFault{HoldToTarget: true, HoldToDialer: true})
	case StoreLinkHoldOut:
		k.SetFault(LinkFault{HoldToTarget: true})
	case StoreLinkHoldBack, EndpointHoldBack:
		k.SetFault(LinkFault{HoldToDialer: true})
	case EndpointDelay:
		k.SetFault(LinkFault{Delay: linkDelay})
	}
	hold()
	k.SetFault(LinkFault{})
}

// lapse is when an endpoint that is silent is taken from the list.
const lapse = 3 * heartbeats

// disturbEndpoint acts on an endpoint or its link.
func (r *run) disturbEndpoint(e *endpoint, kind StepKind, hold func()) {
	i := e.running()
	if i == nil {
		return
	}
	switch kind {
	case EndpointCrash:
		if !e.stop(i) {
			return
		}
		time.Sleep(lapse)
		r.operator.unlist(i)
		hold()
	case EndpointLeave:
		if !r.leave(e, i) {
			return
		}
		time.Sleep(drainTime + graceTime/2)
		r.operator.unlist(i)
		e.stop(i)
	case EndpointSlow:
		i.worker.SetSlowFactor(slowFactor)
		hold()
		i.worker.SetSlowFactor(1)
		return
	default:
		disturb(i.link, kind, hold)
		return
	}
	if err := e.start(); err != nil {
		r.violate(NoRecovery, "an endpoint does not start: %v", err)
	}
}

// leave has an endpoint announce its end, unless it has before or is the last of
// its service: an operator doesn't take all away at once.
func (r *run) leave(e *endpoint, i *incarnation) bool {
	r.leaving.Lock()
	defer r.leaving.Unlock()
	if !i.leftAt().IsZero() {
		return false
	}
	for _, other := range r.endpoints {
		rest := other.running()
		if other != e && other.service == e.service && rest != nil && rest.leftAt().IsZero() {
			i.leave(r.operator, e)
			return true
		}
	}
	return false
}
