package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/note"
)

// minBlocksPerEndpoint keeps a useful cache view of each endpoint however many
// there are.
const minBlocksPerEndpoint = 64

// Router places the requests of one service. It is safe for concurrent use;
// its decisions depend on nothing but what it was told.
type Router struct {
	config Config

	mu        sync.Mutex
	byName    map[string]*endpoint
	endpoints []*endpoint // by slot, nil if the slot is free
	leaving   map[string]bool
	view      *cacheView
	blocksPer int

	calibration float64 // observed over modelled time of processing a prompt
	hold        float64 // seconds a request holds a slot
	ejected     int

	pending float64 // own seconds of processing without a first token
	recent  recentWait
	jitter  *rand.Rand // of ejections

	homes []uint64 // by slot: the endpoint's hash, 0 if it can't be a home

	cached []uint16 // scratch of a decision, by slot
	sought []bool   // the same: whether the slot is in scores
	scores []score
	blocks []uint64
}

// NewRouter returns a router without endpoints.
func NewRouter(c Config) *Router {
	c = c.withDefaults()
	return &Router{
		config:      c,
		byName:      map[string]*endpoint{},
		leaving:     map[string]bool{},
		view:        newCacheView(),
		blocksPer:   c.MaxCachedBlocks,
		calibration: 1,
		hold:        c.InitialHold.Seconds(),
		jitter:      rand.New(rand.NewPCG(xxhash.Sum64String(c.Service), 0)),
	}
}

// SetEndpoints replaces the endpoints by those of list that belong to the
// service. What is known of those that stay is kept.
func (r *Router) SetEndpoints(list []note.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	for _, spec := range list {
		if spec.Service != r.config.Service {
			continue
		}
		wanted[spec.Name] = true
		r.setEndpoint(spec)
	}
	for name, e := range r.byName {
		if !wanted[name] {
			r.withdraw(e)
		}
	}
	r.blocksPer = max(r.config.MaxCachedBlocks/max(len(r.byName), 1), minBlocksPerEndpoint)
	r.cached = make([]uint16, len(r.endpoints))
	r.sought = make([]bool, len(r.endpoints))
	r.homes = make([]uint64, len(r.endpoints))
	for _, e := range r.byName {
		r.setHome(e)
	}
}

func (r *Router) setEndpoint(spec note.Endpoint) {
	if e, ok := r.byName[spec.Name]; ok && e.spec.URL == spec.URL {
		e.spec = spec
		return
	} else if ok {
		r.withdraw(e)
	}
	e := newEndpoint(spec, r.freeSlot())
	e.leaving = r.leaving[spec.Name]
	r.byName[spec.Name] = e
	r.endpoints[e.slot] = e
}

func (r *Router) freeSlot() uint16 {
	for i, e := range r.endpoints {
		if e == nil {
			return uint16(i)
		}
	}
	r.endpoints = append(r.endpoints, nil)
	return uint16(len(r.endpoints) - 1)
}

// setHome says whether prefixes may have their home at e.
func (r *Router) setHome(e *endpoint) {
	r.homes[e.slot] = e.hash
	if e.leaving || e.report.Leaving {
		r.homes[e.slot] = 0
	}
}

func (r *Router) withdraw(e *endpoint) {
	e.withdrawn = true
	r.view.reset(e.slot)
	if e.health.ejected() {
		r.ejected--
	}
	r.pending -= e.pendingTokens / r.config.PrefillRate
	r.endpoints[e.slot] = nil
	delete(r.byName, e.spec.Name)
}

// SetLeaving records whether the endpoint is about to stop, by any source. It
// may be called before the endpoint is known.
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
		r.setHome(e)
	}
}

// SetQuarantined keeps all other requests off an endpoint that runs a suspect.
func (r *Router) SetQuarantined(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if on {
		e.quarantined++
	} else if e.quarantined > 0 {
		e.quarantined--
	}
}

// ObserveReport takes an endpoint's report, which may be late or out of order.
func (r *Router) ObserveReport(name string, report engine.Report, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.reported && e.report.Epoch != report.Epoch && !report.At.Before(e.report.At) {
		r.view.reset(e.slot)
	}
	e.observe(report)
	r.setHome(e)
}

// LoadingEndpoints returns at most limit endpoints that were loading weights by their
// last report.
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
