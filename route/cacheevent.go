package route

import (
	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
)

// ApplyCacheEvents applies a batch of cache events of the named endpoint. A gap in the
// sequence or a new epoch, which means that the engine has restarted, first
// clears the view of the endpoint's cache.
func (r *Router) ApplyCacheEvents(name string, batch engine.Events) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if batch.Epoch != e.cacheEpoch || batch.Gap {
		r.cacheView.clearEndpoint(e.index)
		e.cacheEpoch = batch.Epoch
		e.eventSeq = 0
	}
	for _, ev := range batch.List {
		r.updateCacheView(e, ev)
	}
	e.eventSeq = max(e.eventSeq, batch.Last)
}

// ApplyCacheEvent applies one cache event of the named endpoint. A gap in the sequence
// first clears the view of the endpoint's cache, since a removal event may have
// been missed.
func (r *Router) ApplyCacheEvent(name string, ev engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.eventSeq != 0 && ev.Seq > e.eventSeq+1 {
		r.cacheView.clearEndpoint(e.index)
	}
	r.updateCacheView(e, ev)
}

// updateCacheView applies ev to the cache view. Events that were already applied
// are ignored; a sequence number of 0 marks an event without one.
func (r *Router) updateCacheView(e *endpoint, ev engine.Event) {
	if ev.Seq != 0 && ev.Seq <= e.eventSeq {
		return
	}
	e.eventSeq = ev.Seq
	block := xxhash.Sum64String(ev.Block)
	if ev.Removed {
		r.cacheView.remove(e.index, block)
		return
	}
	r.cacheView.add(e.index, block, r.maxBlocksPerEndpoint)
}
