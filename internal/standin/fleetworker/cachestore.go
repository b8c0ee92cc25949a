package fleetworker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"redwingknot/internal/timer"
)

const (
	headerWaitMs = "Wait-Ms"
	// maxCacheEvents is the number of most recent events that a cache store keeps.
	maxCacheEvents = 4096
	maxCacheWait   = time.Second
)

// CacheStoreOptions configures a cache store.
type CacheStoreOptions struct {
	Tokens     int           // capacity
	MaxReaders int           // calls for events that it holds at once, 0 for no limit
	SaveTime   time.Duration // time from the reservation of a part's space until the part is complete
}

// CacheStore is a fake of a managed store of prompt parts on the users' platform. It drops nothing
// on its own, and keeps each part as it was first made. It implements http.Handler and is safe for
// concurrent use.
type CacheStore struct {
	options CacheStoreOptions
	mux     *http.ServeMux

	mu      sync.Mutex
	epoch   int64 // identifies the run of the process
	parts   map[partKey]*storedPart
	tokens  int          // of all parts
	events  []cacheEvent // the latest, the oldest first
	next    int64        // number of the latest event
	changed chan struct{}
	readers int // calls for events that are held
}

// storedPart is a part in a cache store. Its space is reserved before it is complete.
type storedPart struct {
	CachedPart
	complete bool
}

// cacheEvent is a change of a cache store's content.
type cacheEvent struct {
	number int64
	sign   string
	part   CachedPart
}

// NewCacheStore returns an empty cache store.
func NewCacheStore(o CacheStoreOptions) *CacheStore {
	c := &CacheStore{options: o, mux: http.NewServeMux(), epoch: time.Now().UnixMilli(), parts: map[partKey]*storedPart{}, changed: make(chan struct{})}
	c.mux.HandleFunc("GET /redwingknot/kv-events", c.serveEvents)
	c.mux.HandleFunc("GET /redwingknot/kv-list", c.serveList)
	c.mux.HandleFunc("POST /redwingknot/kv-free", c.serveFree)
	c.mux.HandleFunc("GET /redwingknot/report", c.serveReport)
	c.mux.HandleFunc("GET "+pathPart, c.serveFetch)
	c.mux.HandleFunc("PUT "+pathPart, c.serveSave)
	return c
}

// Restart ends the store's process and starts another one, which holds nothing.
func (c *CacheStore) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	clear(c.parts)
	c.tokens, c.events, c.next = 0, nil, 0
	close(c.changed)
	c.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (c *CacheStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Parts returns the parts that the store holds whole, in no order.
func (c *CacheStore) Parts() []CachedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []CachedPart
	for _, p := range c.parts {
		if p.complete {
			parts = append(parts, p.CachedPart)
		}
	}
	return parts
}

// serveFetch answers a call for a part, also for one that isn't complete.
func (c *CacheStore) serveFetch(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	p := c.parts[partKeyOf(r)]
	c.mu.Unlock()
	if p == nil {
		writePart(w, CachedPart{}, false)
		return
	}
	writePart(w, p.CachedPart, true)
}

// serveSave reserves space for a part that the store doesn't hold, and keeps it.
func (c *CacheStore) serveSave(w http.ResponseWriter, r *http.Request) {
	var p CachedPart
	if json.NewDecoder(r.Body).Decode(&p) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parts[p.key()] != nil {
		return
	}
	if c.tokens+p.Tokens > c.options.Tokens {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	stored := &storedPart{CachedPart: p}
	c.parts[p.key()] = stored
	c.tokens += p.Tokens
	if c.options.SaveTime <= 0 {
		c.complete(stored)
		return
	}
	time.AfterFunc(c.options.SaveTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.parts[p.key()] == stored {
			c.complete(stored)
		}
	})
}

// complete records that a part has arrived. The caller holds mu.
func (c *CacheStore) complete(p *storedPart) {
	p.complete = true
	c.recordEvent("+", p.CachedPart)
}

// recordEvent records a change of the content. The caller holds mu.
func (c *CacheStore) recordEvent(sign string, p CachedPart) {
	c.next++
	c.events = append(c.events, cacheEvent{c.next, sign, p})
	c.events = c.events[max(len(c.events)-maxCacheEvents, 0):]
	close(c.changed)
	c.changed = make(chan struct{})
}

// serveEvents answers with the events after a number. It waits for one if the call asks for that.
func (c *CacheStore) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	if c.options.MaxReaders > 0 && c.readers >= c.options.MaxReaders {
		c.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	c.readers++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readers--
	}()
	if ms, err := strconv.Atoi(r.Header.Get(headerWaitMs)); err == nil && !c.waitForEvent(r, since, time.Duration(ms)*time.Millisecond) {
		return // the client has disconnected
	}
	c.mu.Lock()
	rows := [][]any{}
	for _, e := range c.events {
		if e.number > since {
			rows = append(rows, []any{e.number, e.sign, e.part.Salt, e.part.ID, e.part.Tokens, e.part.Model})
		}
	}
	lost := since > c.next || since < c.next-int64(len(c.events))
	body := map[string]any{"boot_epoch": c.epoch, "next": c.next, "lost": lost, "events": rows, "clock_ms": clockMillis()}
	c.mu.Unlock()
	writeJSON(w, body)
}

// waitForEvent waits until an event after a number exists, for at most limit. It reports false if
// the client disconnects first.
func (c *CacheStore) waitForEvent(r *http.Request, since int64, limit time.Duration) bool {
	until := time.Now().Add(min(limit, maxCacheWait))
	for {
		c.mu.Lock()
		exists, changed := c.next != since, c.changed
		c.mu.Unlock()
		left := time.Until(until)
		if exists || left <= 0 {
			return r.Context().Err() == nil
		}
		if !timer.Wait(r.Context(), changed, left) {
			return false
		}
	}
}

// serveList answers with the whole content.
func (c *CacheStore) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	held, partial := [][]any{}, [][]any{}
	for _, p := range c.parts {
		if p.complete {
			held = append(held, []any{p.Salt, p.ID, p.Tokens, p.Model})
		} else {
			partial = append(partial, []any{p.Salt, p.ID, 0, p.Tokens})
		}
	}
	body := map[string]any{"boot_epoch": c.epoch, "next": c.next, "held": held, "partial": partial, "clock_ms": clockMillis()}
	c.mu.Unlock()
	writeJSON(w, body)
}

// serveFree frees parts at once, unless the call is late or means an earlier run of the process.
func (c *CacheStore) serveFree(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Parts   [][2]string `json:"parts"`
		Epoch   *int64      `json:"boot_epoch"`
		UntilMs *int64      `json:"until_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Epoch != nil && *call.Epoch != c.epoch || call.UntilMs != nil && clockMillis() > *call.UntilMs {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, named := range call.Parts {
		k := partKey{named[0], named[1]}
		p := c.parts[k]
		if p == nil {
			continue
		}
		delete(c.parts, k)
		c.tokens -= p.Tokens
		if p.complete {
			p.CachedPart.Tokens = 0
			c.recordEvent("-", p.CachedPart)
		}
	}
}

// serveReport answers with the load report.
func (c *CacheStore) serveReport(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	body := map[string]any{"kv_used": c.tokens, "kv_total": c.options.Tokens, "boot_epoch": c.epoch, "clock_ms": clockMillis()}
	c.mu.Unlock()
	writeJSON(w, body)
}
