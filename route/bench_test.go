package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const targetWorkers = 690

// newLoadedRouter returns a router of the target size whose endpoints report
// load and hold prefixes of ten pieces.
func newLoadedRouter(prefixes int) (*Router, []Query) {
	r := newTestRouter(targetWorkers)
	rng := newRNG()
	for i := range targetWorkers {
		rep := report(epoch.Add(1))
		rep.Running, rep.QueuedTokens = rng.IntN(20), rng.IntN(20_000)
		r.ObserveReport(fmt.Sprintf("w%d", i), rep, epoch)
	}
	var queries []Query
	for i := range prefixes {
		q := query()
		q.PromptTokens = 21_000
		for p := range 10 {
			q.Pieces = append(q.Pieces, fmt.Sprintf("team/model/v1/%08d/%02d", i, p))
		}
		r.RecordDispatch(fmt.Sprint(i), q, Choice{Endpoint: fmt.Sprintf("w%d", i%targetWorkers)}, epoch)
		r.RecordEnd(fmt.Sprintf("w%d", i%targetWorkers), fmt.Sprint(i), Canceled, epoch)
		queries = append(queries, q)
	}
	return r, queries
}

func BenchmarkChoose690(b *testing.B) {
	r, queries := newLoadedRouter(10_000)
	rng, now := newRNG(), epoch.Add(100*time.Millisecond)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, err := r.Choose(queries[i%len(queries)], now, rng); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChoose690BringBack(b *testing.B) {
	r, queries := newLoadedRouter(10_000)
	rng, now := newRNG(), epoch.Add(100*time.Millisecond)
	bring := func(string, int) (time.Duration, bool) { return 5 * time.Millisecond, true }
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q := queries[i%len(queries)]
		q.BringBackTime = bring
		if _, err := r.Choose(q, now, rng); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCachedBlock reports the memory of a block known at one endpoint.
func BenchmarkCachedBlock(b *testing.B) {
	const blocks = 200_000
	for range b.N {
		v := newCacheView()
		before := heapBytes()
		for i := range uint64(blocks) {
			v.add(uint16(i%targetWorkers), mix(i+1), blocks)
		}
		b.ReportMetric(float64(heapBytes()-before)/blocks, "B/block")
		runtime.KeepAlive(v)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEndpoint reports the memory of an endpoint without cached blocks.
func BenchmarkEndpoint(b *testing.B) {
	for range b.N {
		before := heapBytes()
		r := newTestRouter(targetWorkers)
		b.ReportMetric(float64(heapBytes()-before)/targetWorkers, "B/endpoint")
		runtime.KeepAlive(r)
	}
}
