package enginestandin

import (
	"container/list"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
)

// maxEvents is the number of most recent cache events that an engine retains.
const maxEvents = 4096

// cache is a set of block keys with least-recently-used eviction and a list of
// its recent changes. It is guarded by Server.mu.
type cache struct {
	maxBlocks int
	recency   *list.List               // block keys, the most recently used first
	blocks    map[string]*list.Element // elements of recency by block key
	lastSeq   uint64                   // sequence number of the latest event
	events    []engine.Event           // the latest maxEvents events, the oldest first
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, recency: list.New(), blocks: map[string]*list.Element{}}
}

// cachedPrefix returns the length of the longest prefix of keys that is cached
// as a whole.
func (c *cache) cachedPrefix(keys []string) int {
	for i, k := range keys {
		if _, ok := c.blocks[k]; !ok {
			return i
		}
	}
	return len(keys)
}

// add inserts key as the most recently used block and evicts the least recently
// used blocks beyond maxBlocks.
func (c *cache) add(key string) {
	if e, ok := c.blocks[key]; ok {
		c.recency.MoveToFront(e)
		return
	}
	c.blocks[key] = c.recency.PushFront(key)
	c.recordEvent(key, false)
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Remove(c.recency.Back()).(string)
		delete(c.blocks, oldest)
		c.recordEvent(oldest, true)
	}
}

// evictAll empties the cache, as other requests would do over time.
func (c *cache) evictAll() {
	for c.recency.Len() > 0 {
		oldest := c.recency.Remove(c.recency.Back()).(string)
		delete(c.blocks, oldest)
		c.recordEvent(oldest, true)
	}
}

// recordEvent appends the insertion or removal of a block to the events.
func (c *cache) recordEvent(key string, removed bool) {
	c.lastSeq++
	c.events = append(c.events, engine.Event{Seq: c.lastSeq, Block: key, Removed: removed})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the retained events with a sequence number above seq and
// whether some events after seq are no longer retained.
func (c *cache) eventsAfter(seq uint64) ([]engine.Event, bool) {
	gap := len(c.events) > 0 && c.events[0].Seq > seq+1
	for i, e := range c.events {
		if e.Seq > seq {
			return c.events[i:], gap
		}
	}
	return nil, gap
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	events, gap := s.cache.eventsAfter(after)
	writeJSON(w, http.StatusOK, engine.Events{Epoch: s.epoch, Last: s.cache.lastSeq, Gap: gap, List: events})
}

func (s *Server) serveEvict(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.evictAll()
	w.WriteHeader(http.StatusNoContent)
}

// BlockContent returns the content of the block with the given key: size bytes
// that depend only on key and size.
func BlockContent(key string, size int) []byte {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(key), uint64(size)))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(rng.Uint32())
	}
	return content
}

// serveExport writes cached blocks to a store. It stops at the first block that
// isn't cached or can't be written.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var transfer engine.Transfer
	if err := json.NewDecoder(r.Body).Decode(&transfer); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, ref := range transfer.Blocks {
		if !s.isCached(ref.Key) {
			http.Error(w, "block is not in the cache: "+ref.Key, http.StatusGone)
			return
		}
		content := BlockContent(ref.Key, s.options.BlockBytes)
		ref.Length = int64(len(content))
		ref.Checksum = xxhash.Sum64(content)
		if err := s.options.Mover.Put(r.Context(), transfer.StoreURL, ref, content, transfer.Rate); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveImport reads blocks from a store into the cache. It stops at the first
// block that can't be read or has another checksum, and answers with the number
// of leading blocks that are cached now.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var transfer engine.Transfer
	if err := json.NewDecoder(r.Body).Decode(&transfer); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	imported := 0
	for _, ref := range transfer.Blocks {
		if !s.isCached(ref.Key) {
			content, err := s.options.Mover.Get(r.Context(), transfer.StoreURL, ref, transfer.Rate)
			if err != nil || xxhash.Sum64(content) != ref.Checksum {
				break
			}
			s.addToCache(ref.Key)
		}
		imported++
	}
	writeJSON(w, http.StatusOK, engine.ImportResult{Imported: imported})
}

func (s *Server) isCached(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.cachedPrefix([]string{key}) == 1
}

func (s *Server) addToCache(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.cache.add(k)
	}
}
