package gateway

import (
	"sync"
	"time"

	"redwingknot/fleet"
	"redwingknot/metastore"
)

// heldEntries are entries that an older copy of the metadata store holds of endpoints that were
// removed. An endpoint that has gone does not write its entry again, so that the entry expires;
// one that had registered again before the copy was first read never changes its entry. The zero
// value is empty. It is safe for concurrent use.
type heldEntries struct {
	mu      sync.Mutex
	entries map[string]heldEntry // by key
}

// heldEntry is an entry and the time from which on the store has been seen to keep it.
type heldEntry struct {
	entry metastore.Entry
	since time.Time
}

// put holds an entry from now on.
func (h *heldEntries) put(e metastore.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries == nil {
		h.entries = map[string]heldEntry{}
	}
	h.entries[e.Key] = heldEntry{entry: e, since: now}
}

// remove forgets the entry of a key that has changed or was removed. No release passes the
// entry on once it has returned.
func (h *heldEntries) remove(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, key)
}

// restart has all entries held from now on, as the store may have removed them unnoticed.
func (h *heldEntries) restart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, e := range h.entries {
		e.since = now
		h.entries[key] = e
	}
}

// release passes the entries on that have been held for the given time.
func (h *heldEntries) release(now time.Time, held time.Duration, apply func(metastore.Entry)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, e := range h.entries {
		if now.Sub(e.since) >= held {
			delete(h.entries, key)
			apply(e.entry)
		}
	}
}

// listHeldEndpoints lists the endpoints whose entries an older copy of the metadata store has
// brought back and that the store still holds when those of endpoints that are gone have expired.
func (g *Gateway) listHeldEndpoints() {
	now := g.opts.Relay.Now()
	if g.view.StoreUnreachable() {
		g.heldEntries.restart(now)
		return
	}
	g.heldEntries.release(now, g.opts.EndpointExpiry+fleet.LapseGracePeriod, func(e metastore.Entry) { g.applyEndpoint(e, now) })
}
