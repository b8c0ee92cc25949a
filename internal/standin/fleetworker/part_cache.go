package fleetworker

import (
	"container/list"
	"time"
)

// defaultCacheTokens is the capacity of an engine whose options name none.
const defaultCacheTokens = 100_000

// clockOffset is the difference between the clock of engines and cache stores and the machine's,
// so that a caller that takes one for the other is seen.
const clockOffset = 7 * time.Hour

// clockMillis returns the clock of engines and cache stores in milliseconds.
func clockMillis() int64 { return time.Now().Add(clockOffset).UnixMilli() }

// CachedPart is a part of prompts that an engine or a cache store holds.
type CachedPart struct {
	Salt    string `json:"salt"`
	ID      string `json:"id"`
	Model   string `json:"model"`
	Tokens  int    `json:"tokens"`
	Weights int64  `json:"weights"` // weight version under which it was made
}

// partKey names a part.
type partKey struct{ salt, id string }

func (p *CachedPart) key() partKey { return partKey{p.Salt, p.ID} }

// partCache is a set of parts of which the least recently used yield. It is guarded by the mutex of
// its owner.
type partCache struct {
	capacity int // in tokens
	tokens   int
	recency  *list.List // of CachedPart, the most recently used first
	parts    map[partKey]*list.Element
}

func newPartCache(capacity int) *partCache {
	return &partCache{capacity: capacity, recency: list.New(), parts: map[partKey]*list.Element{}}
}

// get returns a part and counts it as used.
func (c *partCache) get(k partKey) (CachedPart, bool) {
	e := c.parts[k]
	if e == nil {
		return CachedPart{}, false
	}
	c.recency.MoveToFront(e)
	return e.Value.(CachedPart), true
}

// put adds a part or replaces it, and evicts others beyond the capacity.
func (c *partCache) put(p CachedPart) {
	c.remove(p.key())
	c.parts[p.key()] = c.recency.PushFront(p)
	c.tokens += p.Tokens
	for c.tokens > c.capacity && c.recency.Len() > 1 {
		oldest := c.recency.Back().Value.(CachedPart)
		c.remove(oldest.key())
	}
}

// remove removes a part if it is there.
func (c *partCache) remove(k partKey) {
	if e := c.parts[k]; e != nil {
		c.tokens -= c.recency.Remove(e).(CachedPart).Tokens
		delete(c.parts, k)
	}
}

// clear removes all parts.
func (c *partCache) clear() { *c = *newPartCache(c.capacity) }

// list returns all parts, the most recently used first.
func (c *partCache) list() []CachedPart {
	var parts []CachedPart
	for e := c.recency.Front(); e != nil; e = e.Next() {
		parts = append(parts, e.Value.(CachedPart))
	}
	return parts
}
