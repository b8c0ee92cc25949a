package relay

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingknot/fleet"
	"redwingknot/membudget"
	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
	"redwingknot/retry"
	"redwingknot/slots"
)

// connShare is the fraction of an endpoint's allowed connections that all
// instances together use. The rest is reserved for instances that start or stop.
const connShare = 0.85

// Endpoints holds this instance's state of all endpoints and chooses an endpoint
// for each request. It is safe for concurrent use.
type Endpoints struct {
	view           *fleet.View
	responseMemory *membudget.Budget // nil without a limit
	dataCentre     string
	oldWeightsTime time.Duration
	drainTime      time.Duration
	log            *slog.Logger
	dialect        Dialect
	retryConfig    retry.WindowConfig
	now            func() time.Time
	startedAt      time.Time
	cache          *promptcache.Directory
	otherLoads     *peers.Table
	sendPlacements func([]peers.Placement)
	origins        Origins
	detours        Detours // nil without
	longPrefill    longPrefillEngines
	slots          slotShares
	// membersConfirmedAt returns when the live instances were last confirmed; nil if they are known.
	membersConfirmedAt  func() time.Time
	coldOver, coldSlack float64
	rampUpAll           bool // endpoints of all services are ramped up

	mu             sync.Mutex
	byKey          map[fleet.EndpointKey]*endpoint
	notices        map[fleet.EndpointKey]*noticeState // also of endpoints that are not listed at present
	syncedSnapshot *fleet.Snapshot                    // snapshot that byKey was last updated from
	instance       string                             // name of this instance, empty before it is known
	instances      []string                           // names of the live instances
	limits         map[uint64]*endpointLimit          // by the hash of an endpoint's incarnation
	weightLoads    map[weightLoadKey]peers.WeightLoad // loads of weights of the last seconds
	members        place.Members
	reportedCold   map[uint64]reportedCold // by the hash of an endpoint's identifier
	ramps          map[uint64]*rampState   // by the hash of an endpoint's incarnation
	services       map[string]*serviceState
	sources        map[string]*source          // sources of cache fetches, by address
	otherBacklogs  []peers.Backlog             // what waits at all other instances
	waiting        atomic.Int64                // requests that wait; changed only by holders of mu
	changed        chan struct{}               // closed and replaced when byKey is updated
	listed         map[string]*listedEndpoints // by service
	separate       bool                        // see Options.SeparatePrefill
	explains       bool                        // a decision is being explained: nothing is logged or counted
	buffers        choiceBuffers
	partitions     map[partitionKey]string // names of partitions
	withheld       withheldFetches
	awaited        map[*pick]struct{} // attempts that wait for their first event and may be taken back
}

// serviceState is this instance's state of one service.
type serviceState struct {
	retryWindow           *retry.Window
	prefillRate           place.PrefillRate
	waitQueue             *waitQueue // nil before the first request
	streams               place.StreamModel
	prefillSet            prefillSet
	pauseObjective        time.Duration                      // tightest of the routes that use the service, 0 if there is none
	pauseObjectiveConfig  int64                              // version of the configuration that pauseObjective belongs to
	around                place.Surroundings                 // of the latest decision
	avoided               metrics.Counter                    // decisions for another engine because of interference
	firstEventError       float64                            // moving average of the relative error of the expected time to the first data
	waitingForPlace       int                                // requests that wait for a place at a brittle endpoint
	brittleUntil          time.Time                          // until when its endpoints count as brittle
	brittleRefusals       float64                            // how many requests one of them can turn away in a second
	waitingForLimit       int                                // requests that wait for a share of an endpoint's limit
	numbering             map[origin.Version]*eventNumbering // of the events of streams, by software version
	mostRamp              bool                               // more than half of its endpoints ramp up, so that their rates do not bind
	usualSeconds          float64                            // moving average of the time to the first data
	averageSecondsPerCost float64                            // moving average of the time to the first data, in seconds per unit of pick.cost
}

// averageSampleWeight is the weight of a new sample in averageSecondsPerCost,
// which thus covers about ten responses, so that a slowdown of all endpoints alike makes none of
// them look slow.
const averageSampleWeight = 0.1

func newEndpoints(o Options) *Endpoints {
	e := &Endpoints{
		view: o.View, responseMemory: o.ResponseMemory, dataCentre: o.DataCentre, oldWeightsTime: o.OldWeightsTime, now: o.Now, startedAt: o.Now(),
		drainTime: o.DrainTime, log: o.Log, dialect: o.Dialect, cache: o.Cache, otherLoads: o.OtherLoads, sendPlacements: o.SendPlacements, origins: o.Origins, detours: o.Detours, slots: slotShares{client: o.Slots, granted: map[*pick]struct{}{}}, sources: map[string]*source{},
		retryConfig: retry.WindowConfig{Span: o.RetryWindow, Ratio: o.RetryRatio, Slack: o.RetrySlack},
		byKey:       map[fleet.EndpointKey]*endpoint{}, notices: map[fleet.EndpointKey]*noticeState{}, limits: map[uint64]*endpointLimit{}, reportedCold: map[uint64]reportedCold{}, weightLoads: map[weightLoadKey]peers.WeightLoad{}, services: map[string]*serviceState{}, changed: make(chan struct{}),
		withheld: newWithheldFetches(), partitions: map[partitionKey]string{}, awaited: map[*pick]struct{}{}, separate: o.SeparatePrefill,
		membersConfirmedAt: o.MembersConfirmedAt, coldOver: o.ColdOver, coldSlack: o.ColdSlack, rampUpAll: o.RampUp, ramps: map[uint64]*rampState{},
	}
	e.longPrefill = pendingPrefill{e}
	if o.SeparatePrefill {
		e.longPrefill = prefillSetEngines{e}
	}
	o.View.OnChange(e.viewChanged)
	return e
}

// syncView updates the known endpoints from the view's current snapshot and
// returns the snapshot.
func (e *Endpoints) syncView() *fleet.Snapshot {
	s := e.view.Snapshot()
	if s == e.syncedSnapshot {
		return s
	}
	if e.syncedSnapshot != nil {
		e.observeSoftware(e.syncedSnapshot, e.now())
	}
	e.observeSoftware(s, e.now())
	e.syncedSnapshot = s
	live := make(map[fleet.EndpointKey]bool, len(s.Endpoints))
	for _, spec := range s.Endpoints {
		key := spec.Key()
		live[key] = true
		limit := e.connLimit(s, spec.Service)
		if ep, ok := e.byKey[key]; ok && ep.spec.Address == spec.Address {
			ep.spec = spec
			ep.pool.SetLimit(limit)
			continue
		}
		e.byKey[key] = e.newEndpoint(spec, limit, cacheTokens(s, spec.Service), e.noticesOf(key))
	}
	for key, ep := range e.byKey {
		if !live[key] {
			ep.pool.Close()
			delete(e.byKey, key)
		}
	}
	e.syncListed(s)
	e.syncNotices()
	e.syncRegistered()
	close(e.changed)
	e.changed = make(chan struct{})
	e.wakeAllQueues(causeView)
	return s
}

// connLimit returns the number of connections that this instance may open to an
// endpoint of a service: its share of the service's limit, at least 1.
func (e *Endpoints) connLimit(s *fleet.Snapshot, service string) int {
	const defaultLimit = 256
	if s.Config == nil || s.Config.Services[service] == nil || s.Config.Services[service].MaxConns == 0 {
		return defaultLimit
	}
	return max(int(connShare*float64(s.Config.Services[service].MaxConns))/s.Instances, 1)
}

// cacheTokens returns the memory of each of a service's engines in tokens, 0 if
// it is unknown.
func cacheTokens(s *fleet.Snapshot, service string) int {
	if s.Config == nil || s.Config.Services[service] == nil || s.Config.Services[service].Engine == nil {
		return 0
	}
	return s.Config.Services[service].Engine.CacheTokens
}

// service returns the state of a service, which it creates if necessary.
func (e *Endpoints) service(name string) *serviceState {
	s, ok := e.services[name]
	if !ok {
		s = &serviceState{numbering: map[origin.Version]*eventNumbering{}, avoided: metric.Counter("interference_avoided_total", "service", name), retryWindow: retry.NewWindow(e.retryConfig, e.startedAt)}
		e.services[name] = s
	}
	return s
}

// countRequest counts a request of a service, which raises the number of retries
// that the service is allowed.
func (e *Endpoints) countRequest(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service(service).retryWindow.RecordRequest(e.now())
}

// takeRetry takes one retry from a service's retry budget. It returns false if
// none is left.
func (e *Endpoints) takeRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service(service).retryWindow.Take(e.now(), e.view.Snapshot().Instances)
}

// pick is the endpoint chosen for an attempt, with the data that the attempt
// needs.
type pick struct {
	endpoint       *endpoint
	spec           *fleet.Endpoint
	weights        int64      // weights version to request, 0 for any
	avoided        bool       // another endpoint was not chosen because of interference
	endpointIdle   bool       // the endpoint had fewer than maxIdlePending other prompt tokens to prefill
	cost           float64    // expected time to the first data: in prefill tokens for prompts, always 1 for plain requests
	reserved       peers.Load // load added to the endpoint for this attempt
	chosenAt       time.Time
	parts          []sharedPart
	fetchAddresses []string       // for each part of the prompt, the address to fetch it from, or empty; nil without any
	plannedFetches []plannedFetch // transfers that are expected to take place
	decidedAt      time.Time      // by which it was decided on the fetches
	moveState
	takenBack takenBack // guarded by the mutex of Endpoints
	waitCost  float64   // cost in the units of a queue
	rejected  bool      // the endpoint rejected the attempt
	memory    pickMemory
	grant     *slots.Grant // of the slot, nil without
	sentAt    time.Time    // when the request was sent, zero before a response has begun
}

// pickMemory is the memory of the slices of a pick for a prompt of up to three parts, the
// usual number, so that a pick is a single allocation.
type pickMemory struct {
	parts          [2]sharedPart
	fetchAddresses [3]string
	plannedFetches [2]plannedFetch
}

// plannedFetch is a prompt part that an endpoint is expected to fetch from an
// address for a request.
type plannedFetch struct {
	address string
	tokens  int
	cost    int // expected duration, in prefill tokens
}

// choose chooses an endpoint for q and adds the request to its load. If no
// endpoint can take the request now, it returns a nil pick and a channel that is
// closed when the known endpoints are updated.
func (e *Endpoints) choose(q *placementQuery) (*pick, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chooseLocked(q)
}

// chooseLocked is choose for callers that hold mu.
func (e *Endpoints) chooseLocked(q *placementQuery) (*pick, <-chan struct{}) {
	p := e.selectLocked(q)
	if p != nil {
		e.reserve(q, p)
	}
	return p, e.changed
}

// selectLocked is chooseLocked without adding the request to the load of the endpoint. The caller
// holds mu.
func (e *Endpoints) selectLocked(q *placementQuery) *pick {
	s, now := e.syncView(), e.now()
	list := e.eligible(s, q, now)
	e.buffers.list = list
	if len(list) == 0 {
		q.admissionDelay = e.blockedFor(s, q, now)
		q.awaitsAdmission = q.admissionDelay > 0
		return nil
	}
	q.awaitsAdmission, q.admissionDelay = q.prompt != nil, 0
	if q.prompt != nil {
		return e.chooseForPrompt(s, q, list, now)
	}
	return e.chooseWithoutPrompt(q, list, now)
}

// reserve adds a request for which an endpoint was chosen to its load. The caller holds mu.
func (e *Endpoints) reserve(q *placementQuery, p *pick) {
	s, now := e.syncView(), e.now()
	if q.prompt != nil {
		e.recordPlacement(p)
	}
	if p.avoided {
		e.service(q.service).avoided.Inc(1)
	}
	p.prefill = p.reserved.PendingTokens
	p.chosenAt = now
	p.endpoint.ownLoad.Add(p.reserved)
	if e.service(q.service).isLong(p.reserved.PendingTokens) {
		p.endpoint.recentPrefill.Add(p.reserved.PendingTokens, now)
	}
	for _, f := range p.plannedFetches {
		e.source(f.address).recordFetch(f.tokens, e.service(q.service).prefillRate.PrefillTime(f.cost), now)
	}
	p.endpoint.health.RecordSent(now)
	e.takeFromLimit(p.endpoint, now)
	e.takeCold(coldService(s, q.service), p.endpoint, now)
	e.takeRamp(p.endpoint, now)
}

// chooseWithoutPrompt chooses the least loaded endpoint for a request without a
// prompt.
func (e *Endpoints) chooseWithoutPrompt(q *placementQuery, list []*endpoint, now time.Time) *pick {
	candidates := resized(e.buffers.candidates, len(list))
	e.buffers.candidates = candidates
	for i, ep := range list {
		candidates[i] = place.Candidate{
			Hash: ep.idHash, Running: e.totalLoad(ep).Running, Slots: ep.spec.Slots,
			Local: ep.spec.DataCentre == e.dataCentre, Slowness: ep.slowness.Slowness(now),
		}
	}
	ep := list[place.LeastLoaded(candidates, q.requestHash)]
	return &pick{endpoint: ep, spec: ep.spec, cost: 1, reserved: peers.Load{Running: 1}}
}

// eligible returns the endpoints that may execute q, by preference: the healthy
// ones that were not tried yet; if there are none, the healthy ones that were
// tried; if there are none either, healthy ones that are leaving, and then, unless a healthy
// one may take q soon, the unhealthy ones. Those that asked for a pause, whose limit is used up, that are cold
// or ramped up and whose rate is used up, or that are brittle and have no
// place left for this instance, get nothing. The result is valid until the next call.
func (e *Endpoints) eligible(s *fleet.Snapshot, q *placementQuery, now time.Time) []*endpoint {
	e.readOtherLoads(q.service)
	b := &e.buffers
	untried, tried, leaving, unhealthy := b.untried[:0], b.tried[:0], b.leaving[:0], b.unhealthy[:0]
	defer func() { b.untried, b.tried, b.leaving, b.unhealthy = untried, tried, leaving, unhealthy }()
	healthyIsFull, brittle := false, e.isBrittle(q.service, now)
	cold := coldService(s, q.service)
	for _, ep := range e.listedOf(q.service) {
		switch standing := e.standingOf(s, q, ep, cold, brittle, now); standing {
		case place.MayRun:
			untried = append(untried, ep)
		case place.Tried:
			tried = append(tried, ep)
		case place.Departing:
			leaving = append(leaving, ep)
		case place.Unhealthy, place.Dark:
			unhealthy = append(unhealthy, ep)
		default:
			healthyIsFull = healthyIsFull || standing.Busy() && ep.leavingSince.IsZero() && ep.health.Usable(now) && !e.isDark(ep, now)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	if len(tried) > 0 {
		return tried
	}
	if len(leaving) > 0 {
		return leaving
	}
	if healthyIsFull {
		return nil
	}
	return unhealthy
}

// standingOf returns how an endpoint stands towards q. cold is coldService of its service, and
// brittle says that its service is. The caller holds mu.
func (e *Endpoints) standingOf(s *fleet.Snapshot, q *placementQuery, ep *endpoint, cold *fleet.Service, brittle bool, now time.Time) place.Standing {
	spec := ep.spec
	switch {
	case ep.replaced:
		return place.Replaced
	case spec.Leaving:
		return place.Left
	case s.Evacuated[spec.DataCentre]:
		return place.Evacuated
	case !q.mayTry(spec):
		return q.whyNotTry(spec)
	case q.beginsStream && ep.unregistered:
		return place.Unregistered
	}
	if q.prompt != nil {
		if standing := e.modelStanding(s, ep, q.prompt.Model, now); standing != place.MayRun {
			return standing
		}
	}
	switch {
	case q.ahead[ep]:
		return place.HeldForOthers
	case !ep.pause.Admits(now, ep.ownLoad.Running):
		return place.Pausing
	case ep.rejection.Active(now):
		return place.Rejecting
	case !e.admitsByLimit(ep, now):
		return place.OverLimit
	case !e.admitsCold(cold, ep, now):
		return place.Cold
	case !e.admitsRamp(ep, now):
		return place.RampingUp
	case brittle && !e.hasPlace(ep, now):
		return place.Brittle
	}
	isLeaving := !ep.leavingSince.IsZero()
	switch {
	case isLeaving && !e.mayServeWhileLeaving(ep, now):
		return place.Left
	case !ep.health.Usable(now):
		return place.Unhealthy
	case e.isDark(ep, now):
		return place.Dark
	case isLeaving:
		return place.Departing
	case len(q.tried) > 0 && slices.Contains(q.tried, spec.Key()):
		return place.Tried
	}
	return place.MayRun
}

// blockedFor returns how long it takes at least until an endpoint admits q that has asked
// for a pause, whose limit is used up or that is brittle and full, 0 if there is none. The
// caller holds mu.
func (e *Endpoints) blockedFor(s *fleet.Snapshot, q *placementQuery, now time.Time) time.Duration {
	var waits []time.Duration
	if pause := e.pauseLeft(s, q, now); pause > 0 {
		waits = append(waits, pause)
	}
	if left := e.rejectionLeft(s, q, now); left > 0 {
		waits = append(waits, left)
	}
	if wait, limited := e.limitWait(s, q, now); limited {
		waits = append(waits, wait)
	}
	if wait, full := e.placeWait(s, q, now); full {
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}

// pauseLeft returns how long the shortest pause of an endpoint that could execute q
// lasts, 0 if none of them has asked for a pause.
func (e *Endpoints) pauseLeft(s *fleet.Snapshot, q *placementQuery, now time.Time) time.Duration {
	var shortest time.Duration
	for _, spec := range s.Serving[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !ep.leavingSince.IsZero() || !q.mayTry(spec) {
			continue
		}
		if left := ep.pause.Left(now); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// rejectionLeft returns how long it takes until an endpoint that could execute q and has
// rejected a request gets further ones, 0 if there is none.
func (e *Endpoints) rejectionLeft(s *fleet.Snapshot, q *placementQuery, now time.Time) time.Duration {
	var shortest time.Duration
	for _, spec := range s.ByService[q.service] {
		ep := e.byKey[spec.Key()]
		if ep == nil || ep.replaced || spec.Leaving || !q.mayTry(spec) {
			continue
		}
		if left := ep.rejection.Left(now); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// isDark reports whether other instances could not reach an endpoint that this one has
// not reached lately either.
func (e *Endpoints) isDark(ep *endpoint, now time.Time) bool {
	if ep.health.Reached(now) {
		return false
	}
	return place.IsDark(ep.others.Reached, ep.others.Unreachable)
}

// modelStanding returns how an endpoint stands towards a prompt as far as that depends on its
// weights. It may execute the request if it has the wanted version of the weights, or an older one
// that maySendTo still allows, and is not loading another.
func (e *Endpoints) modelStanding(s *fleet.Snapshot, ep *endpoint, model string, now time.Time) place.Standing {
	version := ep.weightsVersion(model)
	switch {
	case version == 0:
		return place.NoWeights
	case len(ep.loadingUntil) > 0 && now.Before(ep.loadingUntil[model]) || e.isLoading(ep, model, version, now):
		return place.Loading
	case !e.maySendTo(s, model, version, now):
		return place.OldWeights
	}
	return place.MayRun
}

// release removes an attempt from its endpoint's load.
func (e *Endpoints) release(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasePending(p)
	delete(e.slots.granted, p)
	p.endpoint.ownLoad.Add(peers.Load{Running: -p.reserved.Running, HeldTokens: -p.reserved.HeldTokens})
	if !p.rejected {
		p.endpoint.rejection.End()
	}
	service := e.service(p.spec.Service)
	e.earnCredit(service, p)
	e.wakeQueue(service, causeRelease)
}

// releasePending removes an attempt's pending prompt tokens from its endpoint's
// load. They count only until the prompt is prefilled.
func (e *Endpoints) releasePending(p *pick) {
	p.endpoint.ownLoad.PendingTokens -= p.reserved.PendingTokens
	p.reserved.PendingTokens = 0
}

// recordFirstData records that the first data of a response was available after
// took, measured from the sending of the request: the first event of a stream, or
// the buffered part of another response.
func (e *Endpoints) recordFirstData(p *pick, q *placementQuery, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	p.endpoint.health.RecordSuccess(now)
	p.endpoint.pause.RecordExecuted(now)
	p.endpoint.rejection.RecordExecuted()
	s := e.service(q.service)
	secondsPerCost := took.Seconds() / p.cost
	if q.prompt != nil && took > 0 {
		expected := s.prefillRate.PrefillTime(int(p.cost)).Seconds()
		s.firstEventError += averageSampleWeight * (math.Abs(took.Seconds()-expected)/took.Seconds() - s.firstEventError)
	}
	if p.endpointIdle {
		s.prefillRate.Observe(took, p.cost)
	}
	if s.averageSecondsPerCost == 0 {
		s.averageSecondsPerCost = secondsPerCost
	}
	p.endpoint.slowness.Observe(secondsPerCost/s.averageSecondsPerCost, now)
	e.recordRampAnswer(p, secondsPerCost/s.averageSecondsPerCost, took)
	for _, f := range p.plannedFetches {
		e.source(f.address).recordFirstData(took, secondsPerCost/s.averageSecondsPerCost, now)
	}
	s.averageSecondsPerCost += averageSampleWeight * (secondsPerCost - s.averageSecondsPerCost)
	e.releasePending(p)
	e.wakeQueue(s, causeFirstEvent)
}

// recordFailure records a failure of an endpoint. unreachable says that the
// connection failed, as opposed to a failure that the endpoint reported.
func (e *Endpoints) recordFailure(p *pick, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordRampBad(p, false)
	if unreachable {
		p.endpoint.health.RecordUnreachable(e.now())
		// A request sent on another idle connection may be lost in the same way.
		// Opening a new connection first shows whether the endpoint is reachable.
		p.endpoint.pool.CloseIdle()
	} else {
		p.endpoint.health.RecordFailure(e.now())
	}
}

// recordSilent records that an endpoint acknowledges nothing of a request that was sent to
// it. Others get the new ones; the request itself may yet be answered.
func (e *Endpoints) recordSilent(ep *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	metric.Counter("endpoint_silences_total", "service", ep.spec.Service).Inc(1)
	ep.health.RecordUnreachable(e.now())
	ep.pool.CloseIdle()
}

const (
	// loadingPause is how long an endpoint that refused a request because it is
	// loading weights gets no requests for the model. A load takes about 300 ms.
	loadingPause = 200 * time.Millisecond
	// notLoadedPause is the same for an endpoint that turned out not to have
	// loaded the requested weights.
	notLoadedPause = 100 * time.Millisecond
)

// recordRefusal records that an endpoint refused a request, that is, did not execute it.
func (e *Endpoints) recordRefusal(p *pick, q *placementQuery, r Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	p.rejected = true
	if !r.Misdirected {
		e.recordRampBad(p, true)
	}
	switch {
	case r.Misdirected && r.EndpointID != "" && r.EndpointID != p.spec.ID:
		p.endpoint.replaced = true
		p.endpoint.pool.Close()
	case r.Misdirected && q.prompt != nil:
		p.endpoint.recordVersionMismatch(q.prompt.Model, p.weights, r.WeightsVersion, e.view.Snapshot().WantedWeights[q.prompt.Model], now)
	case r.Misdirected:
	case e.recordLoading(p, q, now):
	case r.Notice.Pause == 0:
		p.endpoint.rejection.Record(now)
		e.recordTurnedAway(p.endpoint, now)
		if q.prompt != nil {
			metric.Counter("engine_rejections_total", "service", p.spec.Service).Inc(1)
		}
	}
}

// recordLoading records that an endpoint is loading weights if it refused a request for
// older ones than wanted, and reports whether it did. When it accepts requests again, it has
// the new version. The caller holds mu.
func (e *Endpoints) recordLoading(p *pick, q *placementQuery, now time.Time) bool {
	if q.prompt == nil {
		return false
	}
	wanted := e.view.Snapshot().WantedWeights[q.prompt.Model]
	if p.weights >= wanted {
		return false
	}
	p.endpoint.recordVersion(q.prompt.Model, wanted)
	p.endpoint.loadingUntil[q.prompt.Model] = now.Add(loadingPause)
	return true
}

// recordWeightsVersion records the version of the weights that a response names.
func (e *Endpoints) recordWeightsVersion(p *pick, q *placementQuery, r Reply) {
	if q.prompt == nil || r.WeightsVersion == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.endpoint.recordVersion(q.prompt.Model, r.WeightsVersion)
}

// pruneConnections closes the idle connections that have expired.
func (e *Endpoints) pruneConnections() {
	e.mu.Lock()
	endpoints := make([]*endpoint, 0, len(e.byKey))
	for _, ep := range e.byKey {
		endpoints = append(endpoints, ep)
	}
	e.mu.Unlock()
	for _, ep := range endpoints {
		ep.pool.Prune(time.Now())
	}
}

// ownLoads returns, for each service, the load that this instance's requests put
// on its endpoints.
func (e *Endpoints) ownLoads() map[string]peers.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := map[string]peers.Load{}
	for _, ep := range e.byKey {
		l := loads[ep.spec.Service]
		l.Add(ep.ownLoad)
		loads[ep.spec.Service] = l
	}
	return loads
}
