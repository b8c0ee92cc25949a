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

// maxKeptEvents is the number of cache events an engine can still tell.
const maxKeptEvents = 4096

// cache is a least-recently-used set of block keys with its event list. The
// server's mutex guards it.
type cache struct {
	limit  int
	order  *list.List
	blocks map[string]*list.Element
	seq    uint64
	events []engine.Event
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), blocks: map[string]*list.Element{}}
}

// prefix returns how many of keys, from the first on, are cached.
func (c *cache) prefix(keys []string) int {
	for i, k := range keys {
		if _, ok := c.blocks[k]; !ok {
			return i
		}
	}
	return len(keys)
}

func (c *cache) add(key string) {
	if e, ok := c.blocks[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[key] = c.order.PushFront(key)
	c.tell(key, false)
	for c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, oldest)
		c.tell(oldest, true)
	}
}

// evictAll empties the cache, as other work would in time.
func (c *cache) evictAll() {
	for c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, oldest)
		c.tell(oldest, true)
	}
}

func (c *cache) tell(key string, removed bool) {
	c.seq++
	c.events = append(c.events, engine.Event{Seq: c.seq, Block: key, Removed: removed})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[len(c.events)-maxKeptEvents:]
	}
}

// after lists the events with a number above seq and whether some are lost.
func (c *cache) after(seq uint64) ([]engine.Event, bool) {
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
	events, gap := s.cache.after(after)
	writeJSON(w, http.StatusOK, engine.Events{Epoch: s.epoch, Last: s.cache.seq, Gap: gap, List: events})
}

func (s *Server) serveEvict(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.evictAll()
	w.WriteHeader(http.StatusNoContent)
}

// BlockContent returns the content of a block, which its key determines.
func BlockContent(key string, size int) []byte {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(key), uint64(size)))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(rng.Uint32())
	}
	return content
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var t engine.Transfer
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, ref := range t.Blocks {
		if !s.holds(ref.Key) {
			http.Error(w, "block is not in the cache: "+ref.Key, http.StatusGone)
			return
		}
		content := BlockContent(ref.Key, s.o.BlockBytes)
		ref.Length = int64(len(content))
		ref.Checksum = xxhash.Sum64(content)
		if err := s.o.Mover.Put(r.Context(), t.StoreURL, ref, content, t.Rate); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var t engine.Transfer
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	imported := 0
	for _, ref := range t.Blocks {
		if !s.holds(ref.Key) {
			content, err := s.o.Mover.Get(r.Context(), t.StoreURL, ref, t.Rate)
			if err != nil || xxhash.Sum64(content) != ref.Checksum {
				break
			}
			s.hold(ref.Key)
		}
		imported++
	}
	writeJSON(w, http.StatusOK, engine.ImportResult{Imported: imported})
}

func (s *Server) holds(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.prefix([]string{key}) == 1
}

func (s *Server) hold(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.cache.add(k)
	}
}
