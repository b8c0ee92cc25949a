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

// The names of the calls that a home answers.
const (
	methodPublish = "block.publish"
	methodLookup  = "block.lookup"
	methodReject  = "block.reject"
)

// maxKeys bounds the blocks in one call.
const maxKeys = 4096

// Home is the directory of the partitions that this instance is home of,
// together with the upkeep of the blocks in them. It is safe for concurrent use.
type Home struct {
	now     func() time.Time
	planner *Planner

	mu     sync.Mutex
	dir    *Directory
	stores map[string]StoreView
}

// NewHome returns a home over dir, which it owns from now on.
func NewHome(now func() time.Time, dir *Directory) *Home {
	return &Home{now: now, planner: NewPlanner(PlannerOptions{}), dir: dir, stores: map[string]StoreView{}}
}

// Register adds the home's calls to s.
func (h *Home) Register(s *wire.Server) {
	wire.Handle(s, methodPublish, h.publish)
	wire.Handle(s, methodLookup, h.lookup)
	wire.Handle(s, methodReject, h.reject)
}

// SetPartitions tells the home its partitions and the stores of the data centre.
func (h *Home) SetPartitions(partitions []Partition, stores []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dir.SetPartitions(partitions, stores)
	known := map[string]StoreView{}
	for _, url := range stores {
		view := h.stores[url]
		view.URL = url
		known[url] = view
	}
	h.stores = known
}

// Len returns the number of blocks in the home's directory.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dir.Len()
}

func (h *Home) publish(_ context.Context, q *blockpb.PublishRequest) (*blockpb.PublishResponse, error) {
	if len(q.Blocks) > maxKeys {
		return nil, wire.Fail(wire.FailureMalformed, "too many blocks")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var answer blockpb.PublishResponse
	for i, b := range q.Blocks {
		p := Publication{Store: q.Store, Class: q.Class, Position: int(q.First) + i, Sealed: sealedOf(b, q.Epoch)}
		if err := h.dir.Publish(now, p); err != nil {
			metric.Counter("block_publications_refused_total").Inc(1)
			continue
		}
		answer.Published++
	}
	metric.Gauge("block_directory_blocks").Update(int64(h.dir.Len()))
	return &answer, nil
}

// sealedOf returns the store's account in a message. A malformed key stays
// malformed and is refused by the directory.
func sealedOf(b *blockpb.Sealed, epoch string) store.SealedBlock {
	var key Key
	text := ""
	if copy(key[:], b.Key) == KeyBytes && len(b.Key) == KeyBytes {
		text = key.String()
	}
	return store.SealedBlock{
		Ref:   engine.BlockRef{Key: text, Generation: b.Generation, Length: b.Length, Checksum: b.Checksum},
		Epoch: epoch,
		Seq:   b.Seq,
	}
}

func (h *Home) lookup(_ context.Context, q *blockpb.LookupRequest) (*blockpb.LookupResponse, error) {
	if len(q.Fingerprints) > maxKeys {
		return nil, wire.Fail(wire.FailureMalformed, "too many keys")
	}
	marks := make([]Fingerprint, len(q.Fingerprints))
	for i, f := range q.Fingerprints {
		marks[i] = Fingerprint(f)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	query := Query{Fingerprints: marks, First: int(q.First), Class: q.Class, GrantDuration: time.Duration(q.GrantMs) * time.Millisecond}
	found := h.dir.Lookup(h.now(), query, make([]BlockLocation, 0, len(marks)))
	metric.Counter("block_lookups_total").Inc(1)
	metric.Counter("block_lookups_found_total").Inc(int64(len(found)))
	answer := h.lookupResponse(found, q.WantStores)
	for returns := 0; q.WantStores && returns < returnLevels; returns++ {
		answer.Chances = append(answer.Chances, float32(h.planner.ReturnProbability(h.dir.opts.Returns, q.Class, returns, 0)))
	}
	return answer, nil
}

// lookupResponse names all stores only if asked to: most lookups find nothing
// and their answers should stay small.
func (h *Home) lookupResponse(found []BlockLocation, wantStores bool) *blockpb.LookupResponse {
	var answer blockpb.LookupResponse
	index := make(map[string]int32)
	name := func(url string) int32 {
		i, ok := index[url]
		if !ok {
			i = int32(len(answer.Stores))
			index[url] = i
			s := h.stores[url]
			answer.Stores = append(answer.Stores, &blockpb.StoreState{Url: url, Down: s.Down, Used: s.Used, Total: s.Total, Price: s.Price})
		}
		return i
	}
	if wantStores {
		for url := range h.stores {
			name(url)
		}
	}
	for _, l := range found {
		answer.Found = append(answer.Found, &blockpb.Found{Store: name(l.Store), Generation: l.Generation, Length: l.Length, Checksum: l.Checksum})
	}
	return &answer
}

func (h *Home) reject(_ context.Context, q *blockpb.RejectRequest) (*blockpb.RejectResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range q.Blocks {
		if key, err := keyFromBytes(b.Key); err == nil && h.dir.Free(h.now(), key, b.Generation) {
			metric.Counter("block_rejected_total").Inc(1)
		}
	}
	return &blockpb.RejectResponse{}, nil
}

// Score returns the score by which the home's blocks are evicted; value says
// what a block is worth. A block known from a listing alone has no class and
// counts with a worth of 1.
func (h *Home) Score(value func(BlockStats) BlockValue) func(BlockStats) float64 {
	return func(b BlockStats) float64 {
		v := value(b)
		if b.Class == "" {
			v.Class.Worth = 1
		}
		return h.planner.Score(h.planner.ReturnProbability(h.dir.opts.Returns, b.Class, b.Returns, b.Idle), v)
	}
}
