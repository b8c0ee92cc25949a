package storestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"redwingknot/store"
)

const (
	chunkBytes         = 32 << 10 // size of the buffer that content passes through
	maxMessageBytes    = 1 << 20  // limit of a JSON request body
	defaultMemoryBytes = 64 << 20
	defaultDiskBytes   = 256 << 20
	maxPageBlocks      = 1000     // blocks of a page; a page is longer if its last key has more generations
	maxBlockBytes      = 64 << 20 // limit of a block's content
)

// Options configures a store.
type Options struct {
	MemoryBytes int64 // size of the memory tier, 0 for 64 MiB
	DiskBytes   int64 // size of the disk tier, 0 for 256 MiB, negative for no disk
	Guards      Guards
}

// Server is a fake store. It implements http.Handler and is safe for concurrent
// use.
type Server struct {
	router *mux.Router
	guards Guards

	mu        sync.Mutex
	fault     Fault
	epoch     string
	blocks    map[blockID]*block
	lastSeq   map[string]uint64 // sequence number of the latest change by partition
	readClock uint64            // logical clock that each read advances; orders blocks for demotion to disk
	capacity  store.Capacity
}

// New returns an empty store.
func New(o Options) *Server {
	s := &Server{router: mux.NewRouter(), guards: o.Guards}
	s.capacity.MemoryTotal, s.capacity.DiskTotal = o.MemoryBytes, max(o.DiskBytes, 0)
	if o.MemoryBytes == 0 {
		s.capacity.MemoryTotal = defaultMemoryBytes
	}
	if o.DiskBytes == 0 {
		s.capacity.DiskTotal = defaultDiskBytes
	}
	s.reset()
	s.router.HandleFunc("/fault", s.serveSetFault).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/status", s.serveStatus).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/stat", s.serveStatAll).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/blocks", s.serveList).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.serveWrite).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.serveRead).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.serveFree).Methods(http.MethodDelete)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}/seal", s.serveSeal).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}/seal", s.serveStat).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Fault().Dead && r.URL.Path != "/fault" {
		panic(http.ErrAbortHandler)
	}
	s.router.ServeHTTP(w, r)
}

// Fault returns the injected faults.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the injected faults. If f.LoseBlocks is set, it also removes all
// blocks and starts a new epoch.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LoseBlocks {
		f.LoseBlocks = false
		s.reset()
	}
	s.fault = f
}

// reset removes all blocks and starts a new epoch, as after the loss of a disk.
func (s *Server) reset() {
	for _, b := range s.blocks {
		s.removeWhenUnread(b)
	}
	s.epoch = uuid.NewString()
	s.blocks = map[blockID]*block{}
	s.lastSeq = map[string]uint64{}
	s.capacity.MemoryUsed, s.capacity.DiskUsed = 0, 0
}

func (s *Server) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&f); err != nil {
		writeProblem(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	answer := store.Status{Epoch: s.epoch, Capacity: s.capacity}
	s.mu.Unlock()
	writeJSON(w, answer)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	answer := store.Listing{Epoch: s.epoch, Seq: s.lastSeq[partition(prefix)], Capacity: s.capacity}
	for _, b := range s.blocks {
		if b.sealed && !b.freeing && strings.HasPrefix(b.id.key, prefix) && b.id.key > after {
			answer.Blocks = append(answer.Blocks, b.sealedInfo)
		}
	}
	s.mu.Unlock()
	sortListing(answer.Blocks)
	answer.Blocks, answer.More = firstPage(answer.Blocks)
	writeJSON(w, answer)
}

func sortListing(blocks []store.SealedBlock) {
	sort.Slice(blocks, func(i, j int) bool {
		a, b := blocks[i].Ref, blocks[j].Ref
		return a.Key < b.Key || (a.Key == b.Key && a.Generation < b.Generation)
	})
}

// firstPage returns the first page of a sorted listing and whether more blocks
// follow it. All generations of a key are on the same page, because the next
// page starts after the last key of this one.
func firstPage(blocks []store.SealedBlock) ([]store.SealedBlock, bool) {
	end := maxPageBlocks
	for end < len(blocks) && blocks[end].Ref.Key == blocks[end-1].Ref.Key {
		end++
	}
	if end >= len(blocks) {
		return blocks, false
	}
	return blocks[:end], true
}

// serveWrite receives the content of a block. It replaces the content of an
// earlier write of the same generation, unless the block is sealed.
func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request) {
	id, ok := parseBlockID(w, r)
	if !ok {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxBlockBytes {
		writeProblem(w, http.StatusBadRequest, store.CodeInvalid, "length is missing or too large")
		return
	}
	b := s.beginWrite(w, id, r.ContentLength)
	if b == nil {
		return
	}
	if !s.receiveContent(b, r) {
		s.mu.Lock()
		b.interrupted = true
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// beginWrite reserves space for a block and adds it, empty and unsealed. If it
// can't, it answers with a problem and returns nil.
func (s *Server) beginWrite(w http.ResponseWriter, id blockID, length int64) *block {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.blocks[id]; old != nil {
		if old.sealed {
			writeProblem(w, http.StatusConflict, store.CodeSealed, "the block is sealed")
			return nil
		}
		s.remove(old)
	}
	tier, ok := s.makeRoom(length)
	if !ok {
		writeProblem(w, http.StatusInsufficientStorage, store.CodeFull, "both tiers are full")
		return nil
	}
	b := &block{id: id, tier: tier, reservedBytes: length, freed: make(chan struct{})}
	s.blocks[id] = b
	s.addUsage(tier, length)
	return b
}

// receiveContent appends the request body to the block in chunks, so that an
// aborted write leaves a part of the content. It reports whether the body ended
// without an error or an injected crash.
func (s *Server) receiveContent(b *block, r *http.Request) bool {
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Body.Read(buf)
		f := s.Fault()
		throttle(n, f.MaxRate)
		s.mu.Lock()
		b.content = append(b.content, buf[:n]...)
		crashed := f.CrashAfter > 0 && int64(len(b.content)) >= f.CrashAfter
		if crashed {
			b.content = b.content[:f.CrashAfter]
		}
		b.complete = !crashed && err == io.EOF && int64(len(b.content)) == b.reservedBytes
		s.mu.Unlock()
		if crashed {
			return false
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

func (s *Server) serveSeal(w http.ResponseWriter, r *http.Request) {
	id, ok := parseBlockID(w, r)
	if !ok {
		return
	}
	var req store.SealRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&req); err != nil {
		writeProblem(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	info, code := s.sealBlock(id, req)
	if code != "" {
		writeProblem(w, statusOf(code), code, "")
		return
	}
	if s.Fault().LostSeal {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, info)
}

// sealBlock makes a block readable if its content has the length and checksum of
// the request. Sealing a block again with the same values has no effect and
// succeeds.
func (s *Server) sealBlock(id blockID, req store.SealRequest) (store.SealedBlock, store.RefusalCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[id]
	if b == nil || b.freeing {
		return store.SealedBlock{}, store.CodeNotFound
	}
	if b.sealed {
		if b.sealedInfo.Ref.Length != req.Length || b.sealedInfo.Ref.Checksum != req.Checksum {
			return store.SealedBlock{}, store.CodeSealed
		}
		return b.sealedInfo, ""
	}
	ref := b.ref()
	if !b.complete || ref.Length != req.Length || ref.Checksum != req.Checksum {
		return store.SealedBlock{}, store.CodeMismatch
	}
	b.sealed = true
	b.sealedInfo = store.SealedBlock{Ref: ref, Epoch: s.epoch, Seq: s.nextSeq(id.key), Tier: b.tier}
	if s.fault.TornSeal {
		clear(b.content[len(b.content)/2:])
	}
	return b.sealedInfo, ""
}

func (s *Server) serveStat(w http.ResponseWriter, r *http.Request) {
	id, ok := parseBlockID(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	b, code := s.readableBlock(id)
	var info store.SealedBlock
	if code == "" {
		info = b.sealedInfo
	}
	s.mu.Unlock()
	if code != "" {
		writeProblem(w, statusOf(code), code, "")
		return
	}
	writeJSON(w, info)
}

func (s *Server) serveStatAll(w http.ResponseWriter, r *http.Request) {
	var req store.StatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&req); err != nil {
		writeProblem(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	var answer store.StatResponse
	s.mu.Lock()
	for _, ref := range req.Refs {
		if b, code := s.readableBlock(blockID{key: ref.Key, generation: ref.Generation}); code == "" {
			answer.Blocks = append(answer.Blocks, b.sealedInfo)
		}
	}
	s.mu.Unlock()
	writeJSON(w, answer)
}

// serveRead sends the content of a sealed block under a read grant, which ends
// with the request.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	id, ok := parseBlockID(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	b, code := s.readableBlock(id)
	if code == "" {
		b.readGrants++
		s.readClock++
		b.lastRead = s.readClock
	}
	s.mu.Unlock()
	if code != "" {
		writeProblem(w, statusOf(code), code, "")
		return
	}
	defer s.endRead(b)
	w.Header().Set(store.HeaderGeneration, strconv.FormatUint(b.id.generation, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(b.content)))
	s.sendContent(w, r, b)
}

// sendContent writes the content of a block in chunks, under the injected faults.
func (s *Server) sendContent(w http.ResponseWriter, r *http.Request, b *block) {
	buf := make([]byte, chunkBytes)
	for offset := 0; offset < len(b.content); {
		f := s.Fault()
		if f.Dead || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		n := copy(buf, b.content[offset:])
		if f.FlipBit && offset == 0 {
			buf[0] ^= 1
		}
		throttle(n, f.MaxRate)
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		offset += n
	}
}

// readableBlock returns the block if it may be read, else the reason why not. The
// caller must hold s.mu.
func (s *Server) readableBlock(id blockID) (*block, store.RefusalCode) {
	b := s.blocks[id]
	if s.guards.NoGeneration {
		b = s.latestGeneration(id.key)
	}
	switch {
	case b == nil || b.freeing:
		return nil, store.CodeNotFound
	case !b.sealed && !s.guards.NoSealCheck:
		return nil, store.CodeUnsealed
	}
	return b, ""
}

// latestGeneration returns the block of the key with the highest generation, or
// nil. The caller must hold s.mu.
func (s *Server) latestGeneration(key string) *block {
	var found *block
	for _, b := range s.blocks {
		if b.id.key == key && (found == nil || b.id.generation > found.id.generation) {
			found = b
		}
	}
	return found
}

// endRead ends a read grant. When the last one on a block that is being freed
// ends, it removes the block.
func (s *Server) endRead(b *block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.readGrants--
	if b.freeing && b.readGrants == 0 {
		s.remove(b)
	}
}

// serveFree frees a block. New reads are refused from now on; the answer is sent
// once the memory has been released.
func (s *Server) serveFree(w http.ResponseWriter, r *http.Request) {
	id, ok := parseBlockID(w, r)
	if !ok {
		return
	}
	b := s.beginFree(id)
	if b == nil {
		writeProblem(w, http.StatusNotFound, store.CodeNotFound, "")
		return
	}
	select {
	case <-b.freed:
		writeJSON(w, b.freeResult)
	case <-r.Context().Done():
	}
}

// beginFree starts to free a block and returns it, or nil if it doesn't exist.
func (s *Server) beginFree(id blockID) *block {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[id]
	if s.guards.NoGeneration {
		b = s.latestGeneration(id.key)
	}
	if b == nil {
		return nil
	}
	if b.sealed && !b.freeing {
		b.freeResult = store.FreeResponse{Epoch: s.epoch, Seq: s.nextSeq(b.id.key)}
	}
	s.removeWhenUnread(b)
	return b
}

// removeWhenUnread removes a block now, or when its last read grant ends. The
// caller must hold s.mu.
func (s *Server) removeWhenUnread(b *block) {
	b.freeing = true
	if b.readGrants == 0 || s.guards.NoGrantWait {
		s.remove(b)
	}
}

// remove releases the memory of a block for reuse. The caller must hold s.mu.
func (s *Server) remove(b *block) {
	if b.removed {
		return
	}
	b.removed = true
	if s.blocks[b.id] == b {
		delete(s.blocks, b.id)
		s.addUsage(b.tier, -b.reservedBytes)
	}
	b.scrub()
	close(b.freed)
}

// makeRoom returns the tier for a new block of length bytes and whether it has
// space for it. It moves the least recently read blocks from memory to disk if
// that makes space. The caller must hold s.mu.
func (s *Server) makeRoom(length int64) (store.Tier, bool) {
	if s.fault.Full {
		return "", false
	}
	s.removeInterrupted(length)
	for s.capacity.MemoryUsed+length > s.capacity.MemoryTotal {
		b := s.leastRecentlyRead()
		if b == nil || s.capacity.DiskUsed+b.reservedBytes > s.capacity.DiskTotal || length > s.capacity.MemoryTotal {
			break
		}
		s.addUsage(store.TierMemory, -b.reservedBytes)
		s.addUsage(store.TierDisk, b.reservedBytes)
		b.tier, b.sealedInfo.Tier = store.TierDisk, store.TierDisk
	}
	if s.capacity.MemoryUsed+length <= s.capacity.MemoryTotal {
		return store.TierMemory, true
	}
	return store.TierDisk, s.capacity.DiskUsed+length <= s.capacity.DiskTotal
}

// removeInterrupted removes the blocks left by aborted writes if length bytes
// don't fit otherwise.
func (s *Server) removeInterrupted(length int64) {
	if s.capacity.Used()+length <= s.capacity.Total() {
		return
	}
	for _, b := range s.blocks {
		if b.interrupted {
			s.remove(b)
		}
	}
}

// leastRecentlyRead returns the sealed block in memory that was read the longest
// time ago, or nil if there is none.
func (s *Server) leastRecentlyRead() *block {
	var oldest *block
	for _, b := range s.blocks {
		if b.tier == store.TierMemory && b.sealed && (oldest == nil || readEarlier(b, oldest)) {
			oldest = b
		}
	}
	return oldest
}

// readEarlier reports whether a was last read before b. If neither
// has been read, it compares the keys, so that the choice is deterministic.
func readEarlier(a, b *block) bool {
	if a.lastRead != b.lastRead {
		return a.lastRead < b.lastRead
	}
	return a.id.key < b.id.key
}

// addUsage adds n, which may be negative, to the used bytes of a tier.
func (s *Server) addUsage(tier store.Tier, n int64) {
	if tier == store.TierMemory {
		s.capacity.MemoryUsed += n
		return
	}
	s.capacity.DiskUsed += n
}

// nextSeq returns the sequence number of a new change in the key's partition.
func (s *Server) nextSeq(key string) uint64 {
	p := partition(key)
	s.lastSeq[p]++
	return s.lastSeq[p]
}

// partition returns the partition of a key, which is the key's leading digits.
// Changes are numbered separately in each partition.
func partition(key string) string { return key[:min(len(key), store.PartitionDigits)] }

func parseBlockID(w http.ResponseWriter, r *http.Request) (blockID, bool) {
	vars := mux.Vars(r)
	generation, err := strconv.ParseUint(vars["generation"], 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return blockID{}, false
	}
	return blockID{key: vars["key"], generation: generation}, true
}

func statusOf(code store.RefusalCode) int {
	if code == store.CodeNotFound {
		return http.StatusNotFound
	}
	return http.StatusConflict
}

// throttle waits for as long as n bytes take at rate bytes per second. A rate of
// 0 is no limit.
func throttle(n int, rate int64) {
	if rate > 0 && n > 0 {
		time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	}
}

func writeProblem(w http.ResponseWriter, status int, code store.RefusalCode, detail string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(store.Problem{Code: code, Detail: detail})
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// ReadGrants returns the number of read grants on the blocks in the store.
func (s *Server) ReadGrants() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.blocks {
		n += b.readGrants
	}
	return n
}

// BlocksBeingFreed returns the number of blocks that are being freed and wait for reads to
// end.
func (s *Server) BlocksBeingFreed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.blocks {
		if b.freeing {
			n++
		}
	}
	return n
}
