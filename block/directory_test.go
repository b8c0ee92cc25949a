package block

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"redwingknot/block/blockpb"
	"redwingknot/contract"
	"redwingknot/store"
)

var testStart = time.Unix(1000, 0)

func testChain(n int) []Key { return Chain("t", "m", "", "v", make([]byte, n), 1) }

// TestListingDoesNotRestoreFreedBlock applies a listing that was fetched before the
// free of a block reached the store; the block must stay out of the directory.
func TestListingDoesNotRestoreFreedBlock(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{})
	key := testChain(1)[0]
	p := publication(key, 1, 1)
	assert.NilError(t, d.Publish(testStart, p))
	assert.Assert(t, d.Free(testStart, key, 1))
	r := ListRequest{Store: "s", Partition: key.Partition()}
	assert.NilError(t, d.ApplyListing(testStart, r, store.Listing{Epoch: "e", Seq: 1, Blocks: []store.SealedBlock{p.Sealed}}))
	assert.Equal(t, d.Len(), 0)
	assert.Equal(t, len(d.DueFrees(testStart)), 1)
}

// TestNewEpochDropsPendingFrees restarts a store empty while the free of a block is
// pending, and stores the same generation of the block again. The pending free must
// not remove the new copy.
func TestNewEpochDropsPendingFrees(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{})
	key := testChain(1)[0]
	p := publication(key, 1, 1)
	assert.NilError(t, d.Publish(testStart, p))
	assert.Assert(t, d.Free(testStart, key, 1))
	r := ListRequest{Store: "s", Partition: key.Partition()}
	assert.NilError(t, d.ApplyListing(testStart, r, store.Listing{Epoch: "f", Seq: 1, Blocks: []store.SealedBlock{p.Sealed}}))
	assert.Equal(t, d.Len(), 1)
	assert.Equal(t, len(d.DueFrees(testStart)), 0)
}

func TestGapRequestsListing(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{GapGrace: time.Second})
	keys := testChain(4)
	assert.NilError(t, d.Publish(testStart, publication(keys[0], 1, 1)))
	assert.NilError(t, d.Publish(testStart, publication(keys[2], 3, 1)))
	assert.Equal(t, len(d.WantedListings(testStart, 9)), 0)
	later := testStart.Add(2 * time.Second)
	assert.DeepEqual(t, d.WantedListings(later, 9), []ListRequest{{Store: "s", Partition: keys[0].Partition()}})
	assert.NilError(t, d.Publish(later, publication(keys[1], 2, 1)))
	assert.Equal(t, len(d.WantedListings(later, 9)), 0)
}

func TestFreeWaitsForGrant(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{})
	keys := testChain(1)
	assert.NilError(t, d.Publish(testStart, publication(keys[0], 1, 1)))
	assert.Equal(t, len(d.Lookup(testStart, Query{Keys: keys, GrantDuration: 3 * time.Second}, nil)), 1)
	assert.Assert(t, d.Free(testStart, keys[0], 1))
	assert.Equal(t, len(d.Lookup(testStart, Query{Keys: keys}, nil)), 0)
	assert.Equal(t, len(d.DueFrees(testStart.Add(2*time.Second))), 0)
	assert.Equal(t, len(d.DueFrees(testStart.Add(3*time.Second))), 1)
}

// TestFreeOfListedBlockWaitsForGrants frees a block that the home knows only from a listing.
// The previous home may have granted a read of it, so the free must wait for the
// longest possible grant.
func TestFreeOfListedBlockWaitsForGrants(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{MaxGrant: 3 * time.Second})
	key := testChain(1)[0]
	r := ListRequest{Store: "s", Partition: key.Partition()}
	l := store.Listing{Epoch: "e", Seq: 1, Blocks: []store.SealedBlock{publication(key, 1, 1).Sealed}}
	assert.NilError(t, d.ApplyListing(testStart, r, l))
	assert.Assert(t, d.Free(testStart, key, 1))
	assert.Equal(t, len(d.DueFrees(testStart.Add(3*time.Second))), 0)
	assert.Equal(t, len(d.DueFrees(testStart.Add(4*time.Second))), 1)
}

func TestDirectoryRefuses(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{MaxBlocks: 1})
	keys := testChain(2)
	unsealed := publication(keys[0], 0, 1)
	assert.ErrorType(t, d.Publish(testStart, unsealed), &UnsealedError{})
	assert.NilError(t, d.Publish(testStart, publication(keys[0], 1, 2)))
	assert.ErrorType(t, d.Publish(testStart, publication(keys[0], 2, 1)), &StaleError{})
	assert.ErrorType(t, d.Publish(testStart, publication(keys[1], 3, 1)), &TooManyError{})
	other := publication(keys[0], 1, 9)
	other.Sealed.Epoch = "f"
	assert.ErrorType(t, d.Publish(testStart, other), &EpochError{})
}

func TestEvictTakesEndsOfChainsFirst(t *testing.T) {
	d := NewDirectory(testStart, DirectoryOptions{})
	keys := testChain(3)
	for i, k := range keys {
		p := publication(k, uint64(i)+1, 1)
		p.Position = i
		assert.NilError(t, d.Publish(testStart, p))
	}
	d.Evict(testStart, "s", 150, func(BlockStats) float64 { return 1 })
	assert.Equal(t, len(d.Lookup(testStart, Query{Keys: keys}, nil)), 1)
	assert.Equal(t, d.Bytes("s"), int64(100))
}

func TestReturnsFollowObservations(t *testing.T) {
	r := NewReturnEstimator(map[string]Prior{"chat": {ReturnShare: 0.5, TypicalGap: time.Minute}})
	for range 1000 {
		r.Observe("chat", 0, 2*time.Minute, true)
		r.Observe("chat", 0, 2*time.Hour, false)
	}
	young := r.Probability("chat", 0, 0, time.Hour)
	old := r.Probability("chat", 0, time.Hour, time.Hour)
	assert.Assert(t, young > 0.45 && young < 0.55, "%g", young)
	assert.Assert(t, old < 0.05, "%g", old)
}

const (
	benchPrompts = 680_000 / 380
	benchPieces  = 50
	benchStores  = 10
)

func benchDirectory(prompts int) (*Directory, [][]Key) {
	d := NewDirectory(testStart, DirectoryOptions{})
	var chains [][]Key
	seq := map[ListRequest]uint64{}
	for i := range prompts {
		keys := Chain(fmt.Sprint("team", i), "m", "", "v", make([]byte, benchPieces), 1)
		url := fmt.Sprintf("http://10.0.0.%d:7400", i%benchStores)
		for j, k := range keys {
			p := publication(k, 0, 1)
			at := ListRequest{url, k.Partition()}
			seq[at]++
			p.Store, p.Position, p.Sealed.Seq = url, j, seq[at]
			if err := d.Publish(testStart, p); err != nil {
				panic(err)
			}
		}
		chains = append(chains, keys)
	}
	return d, chains
}

// BenchmarkLookup looks up prompts of 50 pieces in the directory of one home, which
// has its share of 680,000 prompts on 380 instances.
func BenchmarkLookup(b *testing.B) {
	d, chains := benchDirectory(benchPrompts)
	found := make([]BlockLocation, 0, benchPieces)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q := Query{Keys: chains[i*7919%len(chains)], Class: "chat", GrantDuration: time.Second}
		if found = d.Lookup(testStart, q, found[:0]); len(found) != benchPieces {
			b.Fatal(len(found))
		}
	}
}

// BenchmarkDirectoryMemory reports the heap bytes of a directory per block and per
// prompt of 50 pieces.
func BenchmarkDirectoryMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, _ := benchDirectory(benchPrompts)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc - before.HeapAlloc)
		b.ReportMetric(bytes/float64(d.Len()), "B/block")
		b.ReportMetric(bytes/benchPrompts, "B/prompt")
		b.ReportMetric(bytes/(1<<20), "MB")
		runtime.KeepAlive(d)
	}
}

// BenchmarkEvict evicts one twentieth of the bytes that a store holds.
func BenchmarkEvict(b *testing.B) {
	r := NewReturnEstimator(nil)
	p := NewPlanner(PlannerOptions{})
	for b.Loop() {
		b.StopTimer()
		d, _ := benchDirectory(benchPrompts)
		url := "http://10.0.0.0:7400"
		b.StartTimer()
		d.Evict(testStart, url, d.Bytes(url)/20, func(stats BlockStats) float64 {
			return p.Score(p.ReturnProbability(r, stats.Class, stats.Returns, stats.Idle), BlockValue{Class: contract.Class{Worth: 1}, SavedTime: time.Second, Bytes: stats.Bytes})
		})
	}
}

func BenchmarkChain(b *testing.B) {
	prompt := make([]byte, benchPieces*8000)
	b.ReportAllocs()
	for b.Loop() {
		Chain("team", "model", "", "v", prompt, 8000)
	}
}

// BenchmarkMessages reports the message sizes for a prompt of 50 pieces: its lookup,
// whose blocks are all found in one of ten stores, and its publication.
func BenchmarkMessages(b *testing.B) {
	keys := testChain(benchPieces)
	lookup := &blockpb.LookupRequest{Class: "chat", GrantMs: 30_000}
	publish := &blockpb.PublishRequest{Store: "http://10.0.0.1:7400", Class: "chat", Epoch: "e1f7c6a0-0000-4000-8000-000000000000"}
	h := NewHome(time.Now, NewDirectory(testStart, DirectoryOptions{}))
	var stores []string
	var found []BlockLocation
	for i := range benchStores {
		stores = append(stores, fmt.Sprintf("http://10.0.0.%d:7400", i))
	}
	h.SetPartitions(nil, stores)
	for i := range keys {
		lookup.Fingerprints = append(lookup.Fingerprints, uint64(keys[i].Fingerprint()))
		found = append(found, BlockLocation{Store: stores[1], Key: keys[i], Generation: 1 << 60, Length: 160 << 20, Checksum: 1 << 60})
		publish.Blocks = append(publish.Blocks, &blockpb.Sealed{Key: keys[i][:], Generation: 1 << 60, Length: 160 << 20, Checksum: 1 << 60, Seq: 1 << 20})
	}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(lookup)), "B/lookup")
		b.ReportMetric(float64(proto.Size(h.lookupResponse(nil, false))), "B/empty-answer")
		b.ReportMetric(float64(proto.Size(h.lookupResponse(found, false))), "B/answer")
		b.ReportMetric(float64(proto.Size(h.lookupResponse(found, true))), "B/full-answer")
		b.ReportMetric(float64(proto.Size(publish)), "B/publication")
	}
}
