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
	chunkBytes    = 32 << 10
	maxMessage    = 1 << 20
	defaultMemory = 64 << 20
	defaultDisk   = 256 << 20
	pageBlocks    = 1000
	maxBlockBytes = 64 << 20
)

// Options sizes a store.
type Options struct {
	MemoryBytes int64 // 0 for 64 MiB
	DiskBytes   int64 // 0 for 256 MiB, below 0 for no disk
	Guards      Guards
}

// Server is a store. It is safe for concurrent use.
type Server struct {
	router *mux.Router
	guards Guards

	mu     sync.Mutex
	fault  Fault
	epoch  string
	blocks map[id]*block
	seq    map[string]uint64 // last change of each partition
	reads  uint64            // logical clock of reads, for demotion
	cap    store.Capacity
}

// New returns the handler of an empty store.
func New(o Options) *Server {
	s := &Server{router: mux.NewRouter(), guards: o.Guards}
	s.cap.MemoryTotal, s.cap.DiskTotal = o.MemoryBytes, max(o.DiskBytes, 0)
	if o.MemoryBytes == 0 {
		s.cap.MemoryTotal = defaultMemory
	}
	if o.DiskBytes == 0 {
		s.cap.DiskTotal = defaultDisk
	}
	s.empty()
	s.router.HandleFunc("/fault", s.setFault).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/stat", s.statAll).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/blocks", s.list).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.write).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.read).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}", s.free).Methods(http.MethodDelete)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}/seal", s.seal).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/blocks/{key}/{generation}/seal", s.stat).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Fault().Dead && r.URL.Path != "/fault" {
		panic(http.ErrAbortHandler)
	}
	s.router.ServeHTTP(w, r)
}

// Fault returns the faults in force.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the faults in force.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LoseBlocks {
		f.LoseBlocks = false
		s.empty()
	}
	s.fault = f
}

// empty starts over without blocks, as after the loss of a disk.
func (s *Server) empty() {
	for _, b := range s.blocks {
		s.beginRemove(b)
	}
	s.epoch = uuid.NewString()
	s.blocks = map[id]*block{}
	s.seq = map[string]uint64{}
	s.cap.MemoryUsed, s.cap.DiskUsed = 0, 0
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessage)).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	answer := store.Status{Epoch: s.epoch, Capacity: s.cap}
	s.mu.Unlock()
	reply(w, answer)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	answer := store.Listing{Epoch: s.epoch, Seq: s.seq[partition(prefix)], Capacity: s.cap}
	for _, b := range s.blocks {
		if b.sealed && !b.freeing && strings.HasPrefix(b.id.key, prefix) && b.id.key > after {
			answer.Blocks = append(answer.Blocks, b.info)
		}
	}
	s.mu.Unlock()
	sortListing(answer.Blocks)
	answer.Blocks, answer.More = cutPage(answer.Blocks)
	reply(w, answer)
}

func sortListing(blocks []store.SealedBlock) {
	sort.Slice(blocks, func(i, j int) bool {
		a, b := blocks[i].Ref, blocks[j].Ref
		return a.Key < b.Key || (a.Key == b.Key && a.Generation < b.Generation)
	})
}

// cutPage never divides the generations of one key between pages, because a
// page is continued behind a key.
func cutPage(blocks []store.SealedBlock) ([]store.SealedBlock, bool) {
	end := pageBlocks
	for end < len(blocks) && blocks[end].Ref.Key == blocks[end-1].Ref.Key {
		end++
	}
	if end >= len(blocks) {
		return blocks, false
	}
	return blocks[:end], true
}

// write takes a block's content. It replaces what an earlier write of the same
// generation left, unless that is sealed.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	name, ok := parseID(w, r)
	if !ok {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxBlockBytes {
		refuse(w, http.StatusBadRequest, store.CodeInvalid, "length is missing or too large")
		return
	}
	b := s.begin(w, name, r.ContentLength)
	if b == nil {
		return
	}
	if !s.receive(b, r) {
		s.mu.Lock()
		b.broken = true
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// begin reserves room and puts an empty unsealed block in place.
func (s *Server) begin(w http.ResponseWriter, name id, length int64) *block {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.blocks[name]; old != nil {
		if old.sealed {
			refuse(w, http.StatusConflict, store.CodeSealed, "the block is sealed")
			return nil
		}
		s.remove(old)
	}
	tier, ok := s.makeRoom(length)
	if !ok {
		refuse(w, http.StatusInsufficientStorage, store.CodeFull, "both tiers are full")
		return nil
	}
	b := &block{id: name, tier: tier, reserved: length, freed: make(chan struct{})}
	s.blocks[name] = b
	s.count(tier, length)
	return b
}

// receive reads the content piece by piece, so that a broken write leaves the
// block in part.
func (s *Server) receive(b *block, r *http.Request) bool {
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Body.Read(buf)
		f := s.Fault()
		pace(n, f.MaxRate)
		s.mu.Lock()
		b.content = append(b.content, buf[:n]...)
		crashed := f.CrashAfter > 0 && int64(len(b.content)) >= f.CrashAfter
		if crashed {
			b.content = b.content[:f.CrashAfter]
		}
		b.whole = !crashed && err == io.EOF && int64(len(b.content)) == b.reserved
		s.mu.Unlock()
		if crashed {
			return false
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

func (s *Server) seal(w http.ResponseWriter, r *http.Request) {
	name, ok := parseID(w, r)
	if !ok {
		return
	}
	var req store.SealRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessage)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	info, code := s.trySeal(name, req)
	if code != "" {
		refuse(w, statusOf(code), code, "")
		return
	}
	if s.Fault().LostSeal {
		panic(http.ErrAbortHandler)
	}
	reply(w, info)
}

// trySeal makes the block readable if the bytes held are those described.
// Sealing again what is sealed alike is harmless.
func (s *Server) trySeal(name id, req store.SealRequest) (store.SealedBlock, store.RefusalCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[name]
	if b == nil || b.freeing {
		return store.SealedBlock{}, store.CodeNotFound
	}
	if b.sealed {
		if b.info.Ref.Length != req.Length || b.info.Ref.Checksum != req.Checksum {
			return store.SealedBlock{}, store.CodeSealed
		}
		return b.info, ""
	}
	ref := b.ref()
	if !b.whole || ref.Length != req.Length || ref.Checksum != req.Checksum {
		return store.SealedBlock{}, store.CodeMismatch
	}
	b.sealed = true
	b.info = store.SealedBlock{Ref: ref, Epoch: s.epoch, Seq: s.nextSeq(name.key), Tier: b.tier}
	if s.fault.TornSeal {
		clear(b.content[len(b.content)/2:])
	}
	return b.info, ""
}

func (s *Server) stat(w http.ResponseWriter, r *http.Request) {
	name, ok := parseID(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	b, code := s.find(name)
	var info store.SealedBlock
	if code == "" {
		info = b.info
	}
	s.mu.Unlock()
	if code != "" {
		refuse(w, statusOf(code), code, "")
		return
	}
	reply(w, info)
}

func (s *Server) statAll(w http.ResponseWriter, r *http.Request) {
	var req store.StatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessage)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return
	}
	var answer store.StatResponse
	s.mu.Lock()
	for _, ref := range req.Refs {
		if b, code := s.find(id{key: ref.Key, generation: ref.Generation}); code == "" {
			answer.Blocks = append(answer.Blocks, b.info)
		}
	}
	s.mu.Unlock()
	reply(w, answer)
}

// read sends a sealed block under a read grant, which ends with the request.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	name, ok := parseID(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	b, code := s.find(name)
	if code == "" {
		b.grants++
		s.reads++
		b.lastRead = s.reads
	}
	s.mu.Unlock()
	if code != "" {
		refuse(w, statusOf(code), code, "")
		return
	}
	defer s.release(b)
	w.Header().Set(store.HeaderGeneration, strconv.FormatUint(b.id.generation, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(b.content)))
	s.send(w, r, b)
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, b *block) {
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
		pace(n, f.MaxRate)
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		offset += n
	}
}

// find returns the block if it may be read.
func (s *Server) find(name id) (*block, store.RefusalCode) {
	b := s.blocks[name]
	if s.guards.NoGeneration {
		b = s.anyGeneration(name.key)
	}
	switch {
	case b == nil || b.freeing:
		return nil, store.CodeNotFound
	case !b.sealed && !s.guards.NoSealCheck:
		return nil, store.CodeUnsealed
	}
	return b, ""
}

func (s *Server) anyGeneration(key string) *block {
	var found *block
	for _, b := range s.blocks {
		if b.id.key == key && (found == nil || b.id.generation > found.id.generation) {
			found = b
		}
	}
	return found
}

// release ends a read grant; the last one of a block being freed gives its
// memory back.
func (s *Server) release(b *block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.grants--
	if b.freeing && b.grants == 0 {
		s.remove(b)
	}
}

// free refuses new reads at once and answers when the memory is given back.
func (s *Server) free(w http.ResponseWriter, r *http.Request) {
	name, ok := parseID(w, r)
	if !ok {
		return
	}
	b := s.beginFree(name)
	if b == nil {
		refuse(w, http.StatusNotFound, store.CodeNotFound, "")
		return
	}
	select {
	case <-b.freed:
		reply(w, b.removal)
	case <-r.Context().Done():
	}
}

func (s *Server) beginFree(name id) *block {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[name]
	if s.guards.NoGeneration {
		b = s.anyGeneration(name.key)
	}
	if b == nil {
		return nil
	}
	if b.sealed && !b.freeing {
		b.removal = store.FreeResponse{Epoch: s.epoch, Seq: s.nextSeq(b.id.key)}
	}
	s.beginRemove(b)
	return b
}

// beginRemove removes a block now or when its last read grant ends.
func (s *Server) beginRemove(b *block) {
	b.freeing = true
	if b.grants == 0 || s.guards.NoGrantWait {
		s.remove(b)
	}
}

// remove gives the memory of a block back for reuse.
func (s *Server) remove(b *block) {
	if b.removed {
		return
	}
	b.removed = true
	if s.blocks[b.id] == b {
		delete(s.blocks, b.id)
		s.count(b.tier, -b.reserved)
	}
	b.scrub()
	close(b.freed)
}

// makeRoom returns the tier for a new block. Blocks read longest ago move from
// memory to disk.
func (s *Server) makeRoom(length int64) (store.Tier, bool) {
	if s.fault.Full {
		return "", false
	}
	s.dropBroken(length)
	for s.cap.MemoryUsed+length > s.cap.MemoryTotal {
		b := s.demotable()
		if b == nil || s.cap.DiskUsed+b.reserved > s.cap.DiskTotal || length > s.cap.MemoryTotal {
			break
		}
		s.count(store.TierMemory, -b.reserved)
		s.count(store.TierDisk, b.reserved)
		b.tier, b.info.Tier = store.TierDisk, store.TierDisk
	}
	if s.cap.MemoryUsed+length <= s.cap.MemoryTotal {
		return store.TierMemory, true
	}
	return store.TierDisk, s.cap.DiskUsed+length <= s.cap.DiskTotal
}

// dropBroken removes what broken writes have left if the room is needed.
func (s *Server) dropBroken(length int64) {
	if s.cap.Used()+length <= s.cap.Total() {
		return
	}
	for _, b := range s.blocks {
		if b.broken {
			s.remove(b)
		}
	}
}

func (s *Server) demotable() *block {
	var oldest *block
	for _, b := range s.blocks {
		if b.tier == store.TierMemory && b.sealed && (oldest == nil || olderThan(b, oldest)) {
			oldest = b
		}
	}
	return oldest
}

// olderThan orders by last read, then by name so that the choice repeats.
func olderThan(a, b *block) bool {
	if a.lastRead != b.lastRead {
		return a.lastRead < b.lastRead
	}
	return a.id.key < b.id.key
}

func (s *Server) count(tier store.Tier, n int64) {
	if tier == store.TierMemory {
		s.cap.MemoryUsed += n
		return
	}
	s.cap.DiskUsed += n
}

func (s *Server) nextSeq(key string) uint64 {
	p := partition(key)
	s.seq[p]++
	return s.seq[p]
}

func partition(key string) string { return key[:min(len(key), store.PartitionDigits)] }

func parseID(w http.ResponseWriter, r *http.Request) (id, bool) {
	vars := mux.Vars(r)
	generation, err := strconv.ParseUint(vars["generation"], 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, store.CodeInvalid, err.Error())
		return id{}, false
	}
	return id{key: vars["key"], generation: generation}, true
}

func statusOf(code store.RefusalCode) int {
	if code == store.CodeNotFound {
		return http.StatusNotFound
	}
	return http.StatusConflict
}

// pace takes as long as n bytes take at rate bytes a second.
func pace(n int, rate int64) {
	if rate > 0 && n > 0 {
		time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	}
}

func refuse(w http.ResponseWriter, status int, code store.RefusalCode, detail string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(store.Problem{Code: code, Detail: detail})
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// ReadGrants returns the number of reads under way.
func (s *Server) ReadGrants() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.blocks {
		n += b.grants
	}
	return n
}

// BlocksBeingFreed returns the number of blocks whose free waits for reads.
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
