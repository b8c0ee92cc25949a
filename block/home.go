package block

import (
	"context"
	"sync"
	"time"

	"redwingknot/block/blockpb"
	"redwingknot/engine"
	"redwingknot/metric"
	"redwingknot/store"
	"redwingknot/wire"
)

// Names of the calls that a home handles.
const (
	methodPublish = "block.publish"
	methodLookup  = "block.lookup"
	methodReject  = "block.reject"
)

// maxBlocksPerCall limits the blocks in one publication or lookup.
const maxBlocksPerCall = 4096

// Home serves the directory of the partitions whose home is this instance, and keeps
// the states of the stores. An Upkeep updates both. Home is safe for concurrent use.
type Home struct {
	now     func() time.Time
	planner *Planner

	mu     sync.Mutex
	dir    *Directory
	stores map[string]StoreView
}

// NewHome returns a home that serves dir. The caller must not use dir any more.
func NewHome(now func() time.Time, dir *Directory) *Home {
	return &Home{now: now, planner: NewPlanner(PlannerOptions{}), dir: dir, stores: map[string]StoreView{}}
}

// Register adds the handlers of the home's calls to s.
func (h *Home) Register(s *wire.Server) {
	wire.Handle(s, methodPublish, h.publish)
	wire.Handle(s, methodLookup, h.lookup)
	wire.Handle(s, methodReject, h.reject)
}

// SetPartitions sets the partitions whose home is this instance and the URLs of the data
// centre's stores.
func (h *Home) SetPartitions(partitions []Partition, stores []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dir.SetPartitions(partitions, stores)
	views := map[string]StoreView{}
	for _, url := range stores {
		view := h.stores[url]
		view.URL = url
		views[url] = view
	}
	h.stores = views
}

// Len returns the number of blocks in the home's directory.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dir.Len()
}

// publish handles a publication. It leaves out the blocks that the directory refuses
// and counts them in a metric.
func (h *Home) publish(_ context.Context, req *blockpb.PublishRequest) (*blockpb.PublishResponse, error) {
	if len(req.Blocks) > maxBlocksPerCall {
		return nil, wire.Fail(wire.FailureMalformed, "too many blocks")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var resp blockpb.PublishResponse
	for i, b := range req.Blocks {
		p := Publication{Store: req.Store, Class: req.Class, Position: int(req.First) + i, Sealed: decodeSealed(b, req.Epoch)}
		if err := h.dir.Publish(now, p); err != nil {
			metric.Counter("block_publications_refused_total").Inc(1)
			continue
		}
		resp.Published++
	}
	metric.Gauge("block_directory_blocks").Update(int64(h.dir.Len()))
	return &resp, nil
}

// decodeSealed decodes a store's confirmation of a sealed block. If the key has a wrong
// length, the key of the result is empty, and the directory refuses the block.
func decodeSealed(b *blockpb.Sealed, epoch string) store.SealedBlock {
	var key Key
	keyText := ""
	if copy(key[:], b.Key) == KeyBytes && len(b.Key) == KeyBytes {
		keyText = key.String()
	}
	return store.SealedBlock{
		Ref:   engine.BlockRef{Key: keyText, Generation: b.Generation, Length: b.Length, Checksum: b.Checksum},
		Epoch: epoch,
		Seq:   b.Seq,
	}
}

// lookup handles a lookup. If the requester wants the stores, the response also has
// the probabilities of a return.
func (h *Home) lookup(_ context.Context, req *blockpb.LookupRequest) (*blockpb.LookupResponse, error) {
	if len(req.Fingerprints) > maxBlocksPerCall {
		return nil, wire.Fail(wire.FailureMalformed, "too many keys")
	}
	fingerprints := make([]Fingerprint, len(req.Fingerprints))
	for i, f := range req.Fingerprints {
		fingerprints[i] = Fingerprint(f)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	query := Query{Fingerprints: fingerprints, First: int(req.First), Class: req.Class, GrantDuration: time.Duration(req.GrantMs) * time.Millisecond}
	found := h.dir.Lookup(h.now(), query, make([]BlockLocation, 0, len(fingerprints)))
	metric.Counter("block_lookups_total").Inc(1)
	metric.Counter("block_lookups_found_total").Inc(int64(len(found)))
	resp := h.lookupResponse(found, req.WantStores)
	for returns := 0; req.WantStores && returns < returnLevels; returns++ {
		resp.Chances = append(resp.Chances, float32(h.planner.ReturnProbability(h.dir.opts.Returns, req.Class, returns, 0)))
	}
	return resp, nil
}

// lookupResponse returns the response for the blocks found. It has all stores only if
// wantStores is set, otherwise those of found: most lookups find nothing, and their
// responses should be small. The caller holds mu.
func (h *Home) lookupResponse(found []BlockLocation, wantStores bool) *blockpb.LookupResponse {
	var resp blockpb.LookupResponse
	index := make(map[string]int32)
	storeIndex := func(url string) int32 {
		i, ok := index[url]
		if !ok {
			i = int32(len(resp.Stores))
			index[url] = i
			s := h.stores[url]
			resp.Stores = append(resp.Stores, &blockpb.StoreState{Url: url, Down: s.Down, Used: s.Used, Total: s.Total, Price: s.Price})
		}
		return i
	}
	if wantStores {
		for url := range h.stores {
			storeIndex(url)
		}
	}
	for _, l := range found {
		resp.Found = append(resp.Found, &blockpb.Found{Store: storeIndex(l.Store), Generation: l.Generation, Length: l.Length, Checksum: l.Checksum})
	}
	return &resp
}

// reject frees the blocks that a reader could not read.
func (h *Home) reject(_ context.Context, req *blockpb.RejectRequest) (*blockpb.RejectResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range req.Blocks {
		if key, err := keyFromBytes(b.Key); err == nil && h.dir.Free(h.now(), key, b.Generation) {
			metric.Counter("block_rejected_total").Inc(1)
		}
	}
	return &blockpb.RejectResponse{}, nil
}

// ScoreFunc returns a function that scores the home's blocks for eviction, for use as
// Upkeep.Score, which is called with mu held. value returns the value of storing a block.
// A block known only from a listing has no class and is scored with a worth of 1.
func (h *Home) ScoreFunc(value func(BlockStats) BlockValue) func(BlockStats) float64 {
	return func(b BlockStats) float64 {
		v := value(b)
		if b.Class == "" {
			v.Class.Worth = 1
		}
		return h.planner.Score(h.planner.ReturnProbability(h.dir.opts.Returns, b.Class, b.Returns, b.Idle), v)
	}
}
