package route

import (
	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
)

// ApplyCacheEvents takes a batch of an endpoint's cache events. A gap or another
// start of the engine clears what was known of its cache.
func (r *Router) ApplyCacheEvents(name string, batch engine.Events) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if batch.Epoch != e.epoch || batch.Gap {
		r.view.reset(e.slot)
		e.epoch = batch.Epoch
		e.eventSeq = 0
	}
	for _, ev := range batch.List {
		r.cacheEvent(e, ev)
	}
	e.eventSeq = max(e.eventSeq, batch.Last)
}

// ApplyCacheEvent takes one cache event. A hole in the sequence clears what was
// known of the endpoint's cache, since a removal may be missing.
func (r *Router) ApplyCacheEvent(name string, ev engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.eventSeq != 0 && ev.Seq > e.eventSeq+1 {
		r.view.reset(e.slot)
	}
	r.cacheEvent(e, ev)
}

func (r *Router) cacheEvent(e *endpoint, ev engine.Event) {
	if ev.Seq != 0 && ev.Seq <= e.eventSeq {
		return
	}
	e.eventSeq = ev.Seq
	block := xxhash.Sum64String(ev.Block)
	if ev.Removed {
		r.view.remove(e.slot, block)
		return
	}
	r.view.add(e.slot, block, r.blocksPer)
}
