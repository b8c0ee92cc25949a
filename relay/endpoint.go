package relay

import (
	"context"
	"net"
	"time"

	"redwingknot/fleet"
	"redwingknot/membudget"
	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
	"redwingknot/upstream"
)

// endpoint is this instance's state of one incarnation of an endpoint. Its
// fields are guarded by the mutex of Endpoints; the pool has its own.
type endpoint struct {
	spec   *fleet.Endpoint
	key    fleet.EndpointKey // of spec; it never changes
	idHash uint64
	// incarnationHash stands for this incarnation in reports to other instances.
	incarnationHash uint64
	pool            *upstream.Pool
	memory          *membudget.Account         // for its responses
	ownLoad         peers.Load                 // load from this instance's requests
	residentParts   *promptcache.ResidentParts // estimate of the prompt parts in its memory
	health          place.Health
	path            place.Path
	address         string    // of spec; it never changes
	nextProbe       time.Time // of an unreachable endpoint, zero otherwise
	slowness        place.SlownessTracker
	speed           place.SpeedTracker
	noise           place.NoiseTracker
	recentPrefill   place.RecentTokens // of this instance's long prompts
	prefills        bool               // whether it is in its service's set of prefill engines
	source          *source            // of fetches from it, nil before the first is considered
	others          *peers.Load        // never nil: load from the other instances' requests, as of the latest decision
	otherFetches    *peers.Load        // the same of fetches from it
	knownVersion    versionMemo
	seenVersions    map[string]int64     // by model: version of its weights as derived from responses
	loadingUntil    map[string]time.Time // by model: time before which no request for it is sent
	rejection       place.Rejection
	*noticeState
	cold         coldState
	trouble      troubleState
	replaced     bool   // another endpoint or incarnation responds at its address
	unregistered bool   // its software version is not registered: no resumable stream may begin at it
	softwareName string // of the software version that softwareID identifies
	softwareID   origin.Version
	endCheck     *endCheck // latest check whether its process has ended, nil before the first

	looks   int              // looks that have begun
	look    *incarnationLook // under way, nil without one
	sighted sighting

	noMovesUntil time.Time // until when no run moves there, because it could not take one
}

// newEndpoint returns the state of a newly listed endpoint. limit is the maximum
// number of connections to it, cacheTokens its memory in tokens, notices what it has said
// of itself before.
func (e *Endpoints) newEndpoint(spec *fleet.Endpoint, limit, cacheTokens int, notices *noticeState) *endpoint {
	opened := metric.Counter("endpoint_connections_opened_total", "service", spec.Service)
	ep := &endpoint{
		spec: spec, key: spec.Key(), address: spec.Address, noticeState: notices, idHash: place.Hash(spec.ID), incarnationHash: incarnationHash(spec.Key()), seenVersions: map[string]int64{}, loadingUntil: map[string]time.Time{},
		others: &peers.Load{}, otherFetches: &peers.Load{},
		residentParts: promptcache.NewResidentParts(int(promptCacheShare * float64(cacheTokens))),
	}
	if e.responseMemory != nil {
		ep.memory = e.responseMemory.NewAccount()
	}
	ep.pool = upstream.NewPool(spec.Address, limit, func() { opened.Inc(1) }, func(ctx context.Context) (net.Conn, error) {
		return e.dialEndpoint(ctx, ep, spec.Key(), spec.Address)
	})
	ep.pool.SetMemory(ep.memory)
	ep.pool.OnSilent(func() { e.recordSilent(ep) })
	return ep
}

// weightsVersion returns the newest version of a model's weights that the
// endpoint is known to have loaded, 0 if none.
func (e *endpoint) weightsVersion(model string) int64 {
	if m := &e.knownVersion; m.spec == e.spec && m.model == model {
		return m.version
	}
	e.knownVersion = versionMemo{spec: e.spec, model: model, version: max(e.spec.WeightVersions[model], e.seenVersions[model])}
	return e.knownVersion.version
}

// versionMemo holds the latest result of weightsVersion. It is void once spec is no longer
// the endpoint's.
type versionMemo struct {
	spec    *fleet.Endpoint
	model   string
	version int64
}

// recordVersion records a version of a model's weights that the endpoint has,
// unless a newer one is recorded.
func (e *endpoint) recordVersion(model string, version int64) {
	e.knownVersion = versionMemo{}
	if version > e.seenVersions[model] {
		e.seenVersions[model] = version
	}
}

// recordVersionMismatch records that the endpoint does not have the requested
// version of a model's weights. reported is the version that its response names,
// 0 if none; wanted is the version that the fleet should use.
//
// If the response names no version, the endpoint's version is assumed: after a
// request for an older version than wanted, the endpoint has loaded wanted. After a
// request for wanted itself, it still has the version in spec, and it gets no
// requests for the model for notLoadedPause.
func (e *endpoint) recordVersionMismatch(model string, requested, reported, wanted int64, now time.Time) {
	e.knownVersion = versionMemo{}
	switch {
	case reported > 0:
		e.seenVersions[model] = reported
	case requested < wanted:
		e.seenVersions[model] = wanted
	default:
		delete(e.seenVersions, model)
		e.loadingUntil[model] = now.Add(notLoadedPause)
	}
}
