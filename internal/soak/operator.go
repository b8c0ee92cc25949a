package soak

import (
	"fmt"
	"sync"
	"time"

	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetwire"
	"redwingknot/metastore/metastoretest"
)

// Names and times of the simulated deployment.
const (
	host               = "soak.example"
	model              = "m"
	engineService      = "llm"
	appService         = "app"
	otherAppService    = "app-two"
	team               = "ours"
	token              = "our-token"
	revocableToken     = "withdrawn-token"      // valid until ConfigRevoke
	entryCheckInterval = 300 * time.Millisecond // between checks for entries with an old weight version

	targetLatency = 300 * time.Millisecond // of all routes
	maxAttempts   = 2
	maxConns      = 200 // connections to an endpoint
	firstWeights  = 1   // weight version that needs no order
)

// operator writes to the metadata store what the users' operator and endpoints
// write. It is safe for concurrent use.
type operator struct {
	content *metastoretest.Store
	store   *fleetstore.Server
	// cacheStore is the address of the cache store, empty without one. longPrompts says that the
	// run has CacheSteps. Both are set before the start.
	cacheStore  string
	longPrompts bool

	mu                sync.Mutex
	lastEndpointID    int
	configVersion     int64
	config            []byte // as last written
	extraRoutes       int    // routes that no caller uses
	lateMoved         bool   // the routes of late calls lead to otherLateService
	routeMoved        bool   // the route /moved/ leads to otherAppService
	tokenRevoked      bool
	weightsVersion    int64               // newest weight version that was named
	weightsNamedAt    map[int64]time.Time // when each version was acknowledged, but the first
	routeMovedAt      time.Time
	tokenRevokedAt    time.Time
	softwareReleases  int // number of software versions after the first
	lastEntrySequence int // sequence number of the last entry written by writeEntry
}

func newOperator() *operator {
	content := metastoretest.NewStore(time.Now)
	return &operator{content: content, store: fleetstore.New(content), weightsVersion: firstWeights, weightsNamedAt: map[int64]time.Time{}}
}

// nextEndpointID returns a new ID for an endpoint.
func (o *operator) nextEndpointID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastEndpointID++
	return fmt.Sprintf("i-%d", o.lastEndpointID)
}

// releaseSoftware returns a new version of the endpoints' software.
func (o *operator) releaseSoftware() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.softwareReleases++
	return fmt.Sprintf("v1.%d", o.softwareReleases)
}

// newestWeights returns the newest weight version that was named.
func (o *operator) newestWeights() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.weightsVersion
}

// put writes a key unconditionally.
func (o *operator) put(key string, value []byte) {
	if err := fleetstore.Put(o.content, key, value); err != nil {
		panic(err) // Put retries conflicts, and the in-memory store has no other failures
	}
}

// writeEntry writes the entry of an endpoint to the store.
func (o *operator) writeEntry(e *endpoint, i *incarnation) {
	o.mu.Lock()
	o.lastEntrySequence++
	n := o.lastEntrySequence
	o.mu.Unlock()
	o.put(fleetwire.EndpointKey(i.id), i.worker.Entry(i.links[0].Addr(), e.zone, n))
}

// deleteEntry deletes the entry of an endpoint from the store.
func (o *operator) deleteEntry(i *incarnation) {
	if e, err := o.content.Get(fleetwire.EndpointKey(i.id)); err == nil {
		// The delete fails only if the entry has been deleted already.
		_ = o.content.Delete(fleetwire.EndpointKey(i.id), e.ModRevision)
	}
}

// moveLateRoutes switches the routes of late calls between two services. Unlike that of
// callMoved they are not checked.
func (o *operator) moveLateRoutes() {
	o.mu.Lock()
	o.lateMoved = !o.lateMoved
	o.mu.Unlock()
	o.publishConfig()
}

// moveRoute switches the route of callMoved between the two applications. Until the
// configuration is written, movedRoute returns the zero time, so that the route is
// not checked.
func (o *operator) moveRoute() {
	o.mu.Lock()
	o.routeMoved, o.routeMovedAt = !o.routeMoved, time.Time{}
	o.mu.Unlock()
	o.publishConfig()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routeMovedAt = time.Now()
}

// Sizes of the growth of the configuration. With maxExtraRoutes it takes 0.8 s on the link
// to a gateway.
const (
	routesPerStep  = 1400
	maxExtraRoutes = 4200
)

// addRoutes adds routes that no caller uses, up to maxExtraRoutes.
func (o *operator) addRoutes() {
	o.mu.Lock()
	o.extraRoutes = min(o.extraRoutes+routesPerStep, maxExtraRoutes)
	o.mu.Unlock()
	o.publishConfig()
}

// movedRoute returns the service of the route of callMoved and when it was moved
// there; the time is zero before the first move and during a move.
func (o *operator) movedRoute() (string, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routeMoved {
		return otherAppService, o.routeMovedAt
	}
	return appService, o.routeMovedAt
}

// revokeToken revokes revocableToken for good.
func (o *operator) revokeToken() {
	o.mu.Lock()
	alreadyRevoked := o.tokenRevoked
	o.tokenRevoked = true
	o.mu.Unlock()
	o.publishConfig()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !alreadyRevoked {
		o.tokenRevokedAt = time.Now()
	}
}

// isTokenRevoked reports whether revocableToken is revoked or is being revoked.
func (o *operator) isTokenRevoked() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tokenRevoked
}

// tokenRevocationTime returns when the revocation of revocableToken was written, or
// the zero time if it was not.
func (o *operator) tokenRevocationTime() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tokenRevokedAt
}

// nameNewWeights writes a new weight version of the model to the store.
func (o *operator) nameNewWeights() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weightsVersion++
	o.put(fleetwire.WeightsEntry(model, o.weightsVersion))
	o.weightsNamedAt[o.weightsVersion] = time.Now()
}

// weightsReplaced returns when the version after the given one was named, or the zero time.
func (o *operator) weightsReplaced(version int64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.weightsNamedAt[version+1]
}

// writeAgain writes the newest configuration and weight version again, after the store has
// come back from an older copy.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(fleetwire.ConfigKey, o.config)
	if o.weightsVersion > firstWeights {
		o.put(fleetwire.WeightsEntry(model, o.weightsVersion))
	}
}

// publishConfig writes the configuration to the store, under a new version.
func (o *operator) publishConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configVersion += 3
	target, tokens := appService, []string{token, revocableToken}
	if o.routeMoved {
		target = otherAppService
	}
	if o.tokenRevoked {
		tokens = tokens[:1]
	}
	route := func(kind callKind, routeKind, service string) fleetwire.Route {
		return fleetwire.Route{
			Name: string(kind), Host: host, Kind: routeKind, Service: service,
			Timeout: callTimeout, TargetLatency: targetLatency, MaxAttempts: maxAttempts,
		}
	}
	open, resume := route(callOpen, fleetwire.Idempotent, appService), route(callResume, fleetwire.Stream, engineService)
	open.Public, resume.Resumable = true, true
	config := fleetwire.Config{
		Version: o.configVersion, Team: team, Tokens: tokens,
		Routes: []fleetwire.Route{
			open, route(callOnce, fleetwire.NonIdempotent, appService), route(callMoved, fleetwire.Idempotent, target),
			route(callStream, fleetwire.Stream, engineService), resume, route(callCrash, fleetwire.Idempotent, appService),
		},
		Services: []fleetwire.Service{
			{Name: engineService, MaxConns: maxConns, Model: model, CacheTokens: 100_000, TokenBytes: 1000},
			{Name: appService, MaxConns: maxConns}, {Name: otherAppService, MaxConns: maxConns},
			{Name: lateEngineService, MaxConns: maxConns, Model: lateModel, CacheTokens: 100_000, TokenBytes: 1000},
			{Name: lateAppService, MaxConns: maxConns}, {Name: otherLateService, MaxConns: maxConns},
		},
	}
	if o.longPrompts {
		config.Services[0].CacheTokens = longCacheTokens
	}
	if o.cacheStore != "" {
		config.Services = append(config.Services, fleetwire.Service{Name: cacheService, CacheTokens: longCacheTokens, StoreAddr: o.cacheStore, StoreZone: zoneOf(0), MaxReaders: maxCacheReaders})
	}
	lateService := lateAppService
	if o.lateMoved {
		lateService = otherLateService
	}
	for _, kind := range lateKinds {
		late := route(kind, lateRouteKinds[kind], lateService)
		if kind.isStream() {
			late.Service = lateEngineService
		}
		late.Timeout, late.Resumable, late.Public = lateTimeout, kind.resumable(), true
		config.Routes = append(config.Routes, late)
	}
	for n := range o.extraRoutes {
		config.Routes = append(config.Routes, route(callKind(fmt.Sprint("extra-", n)), fleetwire.Idempotent, appService))
	}
	o.config = config.Encode()
	o.put(fleetwire.ConfigKey, o.config)
}
