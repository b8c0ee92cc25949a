package relay

import (
	"slices"
	"sync"
	"time"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
	"redwingknot/retry"
)

// connShare is the part of an endpoint's connections that the instances use
// together; the rest is for those that come and go.
const connShare = 0.85

// Endpoints keeps the state of all endpoints and chooses among them. It is safe
// for concurrent use.
type Endpoints struct {
	view       *fleet.View
	dataCentre string
	loadTime   time.Duration
	retries    retry.WindowConfig
	now        func() time.Time
	started    time.Time
	cache      *promptcache.Directory
	others     *peers.Table
	tell       func([]peers.Placement)

	mu       sync.Mutex
	known    map[fleet.EndpointKey]*endpoint
	snapshot *fleet.Snapshot // that known was matched with
	services map[string]*serviceState
	sources  map[string]*source // of fetches, by address
	changed  chan struct{}
}

// serviceState is what this instance keeps of a service.
type serviceState struct {
	retries *retry.Window
	speed   place.PrefillSpeed
	usual   float64 // smoothed seconds to the first event for each unit of cost
}

// usualWeight smooths the usual time over some ten answers, so that what slows
// all down alike makes none look slow.
const usualWeight = 0.1

func newEndpoints(o Options) *Endpoints {
	return &Endpoints{
		view: o.View, dataCentre: o.DataCentre, loadTime: o.OldWeightsTime, now: o.Now, started: o.Now(),
		cache: o.Cache, others: o.OtherLoads, tell: o.SendPlacements, sources: map[string]*source{},
		retries: retry.WindowConfig{Span: o.RetrySpan, Ratio: o.RetryRatio, Slack: o.RetrySlack},
		known:   map[fleet.EndpointKey]*endpoint{}, services: map[string]*serviceState{}, changed: make(chan struct{}),
	}
}

// sync matches the known endpoints with the view's.
func (e *Endpoints) sync() *fleet.Snapshot {
	s := e.view.Snapshot()
	if s == e.snapshot {
		return s
	}
	e.snapshot = s
	live := make(map[fleet.EndpointKey]bool, len(s.Endpoints))
	for _, spec := range s.Endpoints {
		key := spec.Key()
		live[key] = true
		limit := e.connLimit(s, spec.Service)
		if known, ok := e.known[key]; ok && known.spec.Address == spec.Address {
			known.spec = spec
			known.pool.SetLimit(limit)
			continue
		}
		e.known[key] = newEndpoint(spec, limit, cacheTokens(s, spec.Service))
	}
	for key, known := range e.known {
		if !live[key] {
			known.pool.Close()
			delete(e.known, key)
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
	return s
}

// connLimit is this instance's share of an endpoint's connections.
func (e *Endpoints) connLimit(s *fleet.Snapshot, service string) int {
	const unlimited = 256
	if s.Config == nil || s.Config.Services[service] == nil || s.Config.Services[service].MaxConns == 0 {
		return unlimited
	}
	return max(int(connShare*float64(s.Config.Services[service].MaxConns))/s.Instances, 1)
}

// cacheTokens returns the memory of a service's engines.
func cacheTokens(s *fleet.Snapshot, service string) int {
	if s.Config == nil || s.Config.Services[service] == nil || s.Config.Services[service].Engine == nil {
		return 0
	}
	return s.Config.Services[service].Engine.CacheTokens
}

func (e *Endpoints) service(name string) *serviceState {
	s, ok := e.services[name]
	if !ok {
		s = &serviceState{retries: retry.NewWindow(e.retries, e.started)}
		e.services[name] = s
	}
	return s
}

// arrived counts a request of a service.
func (e *Endpoints) arrived(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service(service).retries.RecordRequest(e.now())
}

// takeRetry spends one repeat of a service's allowance.
func (e *Endpoints) takeRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service(service).retries.Take(e.now(), e.view.Snapshot().Instances)
}

// pick is a chosen endpoint with what the attempt needs to know of it.
type pick struct {
	endpoint *endpoint
	spec     *fleet.Endpoint
	weights  int64      // version to ask for, 0 if any
	idle     bool       // the endpoint had hardly anything else to read
	cost     float64    // expected time to the first event, in units of its service
	reserved peers.Load // of the endpoint
	parts    []sharedPart
	fetch    []string // for each part of the prompt, the address to fetch it from
	fetching []fetching
}

// fetching is what is likely to be fetched from an address for a request.
type fetching struct {
	address string
	tokens  int
	cost    int // in tokens read
}

// choose reserves a place for q. If no endpoint can take it now, the returned
// channel is closed when that may have changed.
func (e *Endpoints) choose(q *query) (*pick, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sync()
	now := e.now()
	list := e.eligible(s, q, now)
	if len(list) == 0 {
		return nil, e.changed
	}
	var p *pick
	q.admission = q.prompt != nil
	if q.prompt != nil {
		p = e.choosePrompt(s, q, list, now)
	} else {
		p = e.choosePlain(q, list, now)
	}
	if p == nil {
		return nil, e.changed
	}
	p.endpoint.own.Add(p.reserved)
	for _, f := range p.fetching {
		e.source(f.address).begin(f.tokens, f.cost, now)
	}
	p.endpoint.health.RecordSent(now)
	return p, nil
}

// choosePlain chooses among endpoints of a plain service.
func (e *Endpoints) choosePlain(q *query, list []*endpoint, now time.Time) *pick {
	candidates := make([]place.Candidate, len(list))
	for i, ep := range list {
		candidates[i] = place.Candidate{
			Hash: ep.hash, Running: e.load(ep).Running, Slots: ep.spec.Slots,
			Local: ep.spec.DataCentre == e.dataCentre, Slowness: ep.pace.Slowness(now),
		}
	}
	ep := list[place.LeastLoaded(candidates, q.tie)]
	return &pick{endpoint: ep, spec: ep.spec, cost: 1, reserved: peers.Load{Running: 1}}
}

// eligible returns the endpoints that may run q: those without known trouble
// that were not tried yet, else those that were, else those in trouble.
func (e *Endpoints) eligible(s *fleet.Snapshot, q *query, now time.Time) []*endpoint {
	var fresh, usable, doubtful []*endpoint
	for _, spec := range s.ByService[q.service] {
		ep := e.known[spec.Key()]
		if ep == nil || ep.gone || spec.Leaving || !q.mayTry(spec.Key()) {
			continue
		}
		if q.prompt != nil && !e.hasWeights(s, ep, q.prompt.Model, now) {
			continue
		}
		switch {
		case !ep.health.Usable(now):
			doubtful = append(doubtful, ep)
		case slices.Contains(q.tried, spec.Key()):
			usable = append(usable, ep)
		default:
			fresh = append(fresh, ep)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	if len(usable) > 0 {
		return usable
	}
	return doubtful
}

// oldWeightsMargin is kept from the time by which named weights must run.
const oldWeightsMargin = 800 * time.Millisecond

// hasWeights reports whether an endpoint may run a request of model now.
func (e *Endpoints) hasWeights(s *fleet.Snapshot, ep *endpoint, model string, now time.Time) bool {
	version := ep.version(model)
	if version == 0 || now.Before(ep.loading[model]) {
		return false
	}
	if version >= s.WantedWeights[model] {
		return true
	}
	return now.Sub(s.WantedSince[model]) < e.loadTime-oldWeightsMargin
}

// release ends a reservation.
func (e *Endpoints) release(p *pick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wasRead(p)
	p.endpoint.own.Add(peers.Load{Running: -p.reserved.Running, HeldTokens: -p.reserved.HeldTokens})
}

// wasRead ends the part of a reservation that holds until the prompt is read.
func (e *Endpoints) wasRead(p *pick) {
	p.endpoint.own.PendingTokens -= p.reserved.PendingTokens
	p.reserved.PendingTokens = 0
}

// began records an answer's first event after took.
func (e *Endpoints) began(p *pick, q *query, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	p.endpoint.health.RecordSuccess(now)
	s := e.service(q.service)
	pace := took.Seconds() / p.cost
	if p.idle {
		s.speed.Observe(took, p.cost)
	}
	if s.usual == 0 {
		s.usual = pace
	}
	p.endpoint.pace.Observe(pace/s.usual, now)
	for _, f := range p.fetching {
		e.source(f.address).pace.ObserveSparse(pace/s.usual, now)
	}
	s.usual += usualWeight * (pace - s.usual)
	e.wasRead(p)
}

// failed records an endpoint's failure.
func (e *Endpoints) failed(p *pick, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if unreachable {
		p.endpoint.health.RecordUnreachable(e.now())
		// What is sent on another kept connection may be lost the same way; a new
		// one shows first whether the endpoint can be reached.
		p.endpoint.pool.CloseIdle()
	} else {
		p.endpoint.health.RecordFailure(e.now())
	}
}

const (
	// loadPause is how long an endpoint that refuses requests while it loads
	// weights is left alone; a load takes about 300 ms.
	loadPause = 200 * time.Millisecond
	// swapPause is the same for one that turned out not to have loaded.
	swapPause = 100 * time.Millisecond
)

// refused records that an endpoint did not run a request.
func (e *Endpoints) refused(p *pick, q *query, r Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch {
	case r.Misdirected && r.EndpointID != "" && r.EndpointID != p.spec.ID:
		p.endpoint.gone = true
		p.endpoint.pool.Close()
	case q.prompt == nil:
	case r.Misdirected:
		p.endpoint.hasOther(q.prompt.Model, p.weights, r.WeightsVersion, e.view.Snapshot().WantedWeights[q.prompt.Model], now)
	case p.weights < e.view.Snapshot().WantedWeights[q.prompt.Model]:
		// It is loading; when it takes requests again, it has the new weights.
		p.endpoint.sawVersion(q.prompt.Model, e.view.Snapshot().WantedWeights[q.prompt.Model])
		p.endpoint.loading[q.prompt.Model] = now.Add(loadPause)
	}
}

// ran records the version of the weights in an answer.
func (e *Endpoints) ran(p *pick, q *query, r Reply) {
	if q.prompt == nil || r.WeightsVersion == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.endpoint.sawVersion(q.prompt.Model, r.WeightsVersion)
}

// prune closes idle connections that have run out.
func (e *Endpoints) prune() {
	e.mu.Lock()
	pools := make([]*endpoint, 0, len(e.known))
	for _, ep := range e.known {
		pools = append(pools, ep)
	}
	e.mu.Unlock()
	for _, ep := range pools {
		ep.pool.Prune(time.Now())
	}
}

// sums returns this instance's own work at the endpoints of each service.
func (e *Endpoints) sums() map[string]peers.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	sums := map[string]peers.Load{}
	for _, ep := range e.known {
		l := sums[ep.spec.Service]
		l.Add(ep.own)
		sums[ep.spec.Service] = l
	}
	return sums
}
