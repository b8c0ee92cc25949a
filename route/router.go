package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/note"
)

// minCachedBlocksPerEndpoint is the least number of cached blocks tracked for an
// endpoint. It keeps the cache view useful however many endpoints there are.
const minCachedBlocksPerEndpoint = 64

// Router chooses endpoints for the requests of one service. It is safe for
// concurrent use. Its decisions depend only on the arguments of its method calls.
type Router struct {
	config Config

	mu                   sync.Mutex
	byName               map[string]*endpoint
	endpoints            []*endpoint     // by index, nil if the index is unused
	leaving              map[string]bool // names of endpoints that are about to stop
	cacheView            *cacheView
	maxBlocksPerEndpoint int

	calibration  float64 // ratio of a prompt's observed prefill time to that at Config.PrefillRate
	meanHold     float64 // seconds that a request holds a slot of an endpoint, exponentially weighted
	ejectedCount int     // endpoints ejected now

	pendingPrefill float64    // seconds of prefill, at Config.PrefillRate, for this router's attempts without a first token
	recentWait     recentWait // over all endpoints
	ejectionRNG    *rand.Rand // for the jitter of ejections

	preferenceHashes []uint64 // by endpoint index: hash of the endpoint's name, 0 if it can't be preferred

	// Buffers that hold the state of one decision and are reused by the next.
	cachedPieces []uint16 // by endpoint index: number of leading pieces cached
	selected     []bool   // by endpoint index: whether sampling has added the endpoint to scores
	scores       []score
	pieceHashes  []uint64
}

// NewRouter returns a router without endpoints.
func NewRouter(c Config) *Router {
	c = c.withDefaults()
	return &Router{
		config:               c,
		byName:               map[string]*endpoint{},
		leaving:              map[string]bool{},
		cacheView:            newCacheView(),
		maxBlocksPerEndpoint: c.MaxCachedBlocks,
		calibration:          1,
		meanHold:             c.InitialHold.Seconds(),
		ejectionRNG:          rand.New(rand.NewPCG(xxhash.Sum64String(c.Service), 0)),
	}
}

// SetEndpoints replaces the endpoints by those of list that belong to the
// service. The state of endpoints that stay, with the same name and URL, is kept.
func (r *Router) SetEndpoints(list []note.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	for _, spec := range list {
		if spec.Service != r.config.Service {
			continue
		}
		wanted[spec.Name] = true
		r.addOrUpdateEndpoint(spec)
	}
	for name, e := range r.byName {
		if !wanted[name] {
			r.removeEndpoint(e)
		}
	}
	r.maxBlocksPerEndpoint = max(r.config.MaxCachedBlocks/max(len(r.byName), 1), minCachedBlocksPerEndpoint)
	r.cachedPieces = make([]uint16, len(r.endpoints))
	r.selected = make([]bool, len(r.endpoints))
	r.preferenceHashes = make([]uint64, len(r.endpoints))
	for _, e := range r.byName {
		r.updatePreference(e)
	}
}

// addOrUpdateEndpoint updates the endpoint with the name and URL of spec or adds a
// new one; an endpoint with the same name and another URL is removed first.
func (r *Router) addOrUpdateEndpoint(spec note.Endpoint) {
	if e, ok := r.byName[spec.Name]; ok && e.spec.URL == spec.URL {
		e.spec = spec
		return
	} else if ok {
		r.removeEndpoint(e)
	}
	e := newEndpoint(spec, r.allocateIndex())
	e.leaving = r.leaving[spec.Name]
	r.byName[spec.Name] = e
	r.endpoints[e.index] = e
}

// allocateIndex returns an unused index in r.endpoints, which grows if needed.
func (r *Router) allocateIndex() uint16 {
	for i, e := range r.endpoints {
		if e == nil {
			return uint16(i)
		}
	}
	r.endpoints = append(r.endpoints, nil)
	return uint16(len(r.endpoints) - 1)
}

// updatePreference sets the hash of e from which preferredEndpoint determines the
// preferred endpoint of a prefix. The hash is 0 if e is leaving, so that e is never
// preferred.
func (r *Router) updatePreference(e *endpoint) {
	r.preferenceHashes[e.index] = e.hash
	if e.leaving || e.report.Leaving {
		r.preferenceHashes[e.index] = 0
	}
}

// removeEndpoint removes e and its contribution to the state of the router.
func (r *Router) removeEndpoint(e *endpoint) {
	e.withdrawn = true
	r.cacheView.clearEndpoint(e.index)
	if e.health.ejected() {
		r.ejectedCount--
	}
	r.pendingPrefill -= e.pendingTokens / r.config.PrefillRate
	r.endpoints[e.index] = nil
	delete(r.byName, e.spec.Name)
}

// SetLeaving records whether the named endpoint is about to stop, whatever the
// source of that information. It may be called before the endpoint is known.
func (r *Router) SetLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[name] = true
	} else {
		delete(r.leaving, name)
	}
	if e, ok := r.byName[name]; ok {
		e.leaving = leaving
		r.updatePreference(e)
	}
}

// SetQuarantined starts or ends a quarantine of an endpoint that runs a suspect
// request: no other request is sent there meanwhile. Quarantines are counted, and
// the endpoint is free once all of them have ended.
func (r *Router) SetQuarantined(name string, quarantined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if quarantined {
		e.suspects++
	} else if e.suspects > 0 {
		e.suspects--
	}
}

// ObserveReport records a report of the named endpoint. Reports may arrive late or out
// of order; those older than the latest known are ignored. A new epoch means that
// the engine has restarted and clears the view of its cache.
func (r *Router) ObserveReport(name string, report engine.Report, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.reported && e.report.Epoch != report.Epoch && !report.At.Before(e.report.At) {
		r.cacheView.clearEndpoint(e.index)
	}
	e.observe(report)
	r.updatePreference(e)
}

// LoadingEndpoints returns the names of at most limit endpoints that were loading weights
// according to their last report.
func (r *Router) LoadingEndpoints(limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, e := range r.endpoints {
		if len(names) == limit {
			break
		}
		if e != nil && !e.withdrawn && e.reported && e.report.Loading != "" {
			names = append(names, e.spec.Name)
		}
	}
	return names
}
