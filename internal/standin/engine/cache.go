package enginestandin

import (
	"container/list"
	"encoding/binary"
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
	recency   *list.List               // cached blocks, the most recently used first
	blocks    map[string]*list.Element // elements of recency by block key
	lastSeq   uint64                   // sequence number of the latest event
	events    []engine.Event           // the latest maxEvents events, the oldest first
}

// cachedBlock is a block in the cache.
type cachedBlock struct {
	key    string
	origin origin
}

// origin identifies the weights with which the content of a block was computed.
type origin uint64

// originBytes is the size of the origin at the start of a block's content.
const originBytes = 8

// originOf returns the origin of a block that is computed with w.
func originOf(w engine.Weights) origin { return origin(xxhash.Sum64String(w.String())) }

// originIn returns the origin of a block by its content.
func originIn(content []byte) origin {
	var b [originBytes]byte
	copy(b[:], content)
	return origin(binary.LittleEndian.Uint64(b[:]))
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

// foreignBlocks returns how many of the cached blocks of keys were computed with other
// weights than w.
func (c *cache) foreignBlocks(keys []string, w engine.Weights) int {
	foreign := 0
	for _, k := range keys {
		if e, ok := c.blocks[k]; ok && e.Value.(cachedBlock).origin != originOf(w) {
			foreign++
		}
	}
	return foreign
}

// add inserts a block as the most recently used one and evicts the least recently
// used blocks beyond maxBlocks. A block that is cached already stays as it is.
func (c *cache) add(key string, o origin) {
	if e, ok := c.blocks[key]; ok {
		c.recency.MoveToFront(e)
		return
	}
	c.blocks[key] = c.recency.PushFront(cachedBlock{key: key, origin: o})
	c.recordEvent(key, false)
	for c.recency.Len() > c.maxBlocks {
		c.evict(c.recency.Back())
	}
}

// evict removes the block of an element of recency.
func (c *cache) evict(e *list.Element) {
	key := c.recency.Remove(e).(cachedBlock).key
	delete(c.blocks, key)
	c.recordEvent(key, true)
}

// evictAll empties the cache, as other requests would do over time.
func (c *cache) evictAll() {
	for c.recency.Len() > 0 {
		c.evict(c.recency.Back())
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

// blockContent returns the content of the block with the given key: size bytes, the
// first of which are its origin.
func blockContent(key string, o origin, size int) []byte {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(key), uint64(size)))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(rng.Uint32())
	}
	copy(content, binary.LittleEndian.AppendUint64(nil, uint64(o)))
	return content
}

// serveExport writes cached blocks to a store. It stops at the first block that
// isn't cached or can't be written, and as soon as the engine has other weights than
// those of the transfer. A transfer that names no weights is not checked.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var transfer engine.Transfer
	if err := json.NewDecoder(r.Body).Decode(&transfer); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, ref := range transfer.Blocks {
		o, status := s.originForExport(ref.Key, transfer.Weights)
		if status != http.StatusOK {
			http.Error(w, "block can't be exported: "+ref.Key, status)
			return
		}
		content := blockContent(ref.Key, o, s.options.BlockBytes)
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
		if _, ok := s.originOfCached(ref.Key); !ok {
			content, err := s.options.Mover.Get(r.Context(), transfer.StoreURL, ref, transfer.Rate)
			if err != nil || xxhash.Sum64(content) != ref.Checksum {
				break
			}
			s.addToCache(originIn(content), ref.Key)
		}
		imported++
	}
	writeJSON(w, http.StatusOK, engine.ImportResult{Imported: imported})
}

// originForExport returns the origin of a cached block. The status is another than 200 if the
// block is not cached or the engine has other weights than the wanted ones.
func (s *Server) originForExport(key string, wanted engine.Weights) (origin, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.cache.blocks[key]
	switch {
	case wanted != (engine.Weights{}) && !s.hasWeights(wanted):
		return 0, http.StatusPreconditionFailed
	case !ok:
		return 0, http.StatusGone
	}
	return e.Value.(cachedBlock).origin, http.StatusOK
}

// originOfCached returns the origin of a block, and whether it is cached.
func (s *Server) originOfCached(key string) (origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.cache.blocks[key]
	if !ok {
		return 0, false
	}
	return e.Value.(cachedBlock).origin, true
}

func (s *Server) addToCache(o origin, keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.cache.add(k, o)
	}
}
