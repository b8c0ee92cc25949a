package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// endpointCount is the number of endpoints in a service of the size that the router
// is designed for.
const endpointCount = 690

// newLoadedRouter returns a router with endpointCount endpoints that report load
// and have the given number of prefixes of ten pieces cached, and a query for each
// of the prefixes.
func newLoadedRouter(prefixes int) (*Router, []Query) {
	r := newTestRouter(endpointCount)
	rng := newRNG()
	for i := range endpointCount {
		rep := idleReport(testStart.Add(1))
		rep.Running, rep.QueuedTokens = rng.IntN(20), rng.IntN(20_000)
		r.ObserveReport(fmt.Sprintf("w%d", i), rep, testStart)
	}
	var queries []Query
	for i := range prefixes {
		q := testQuery()
		q.PromptTokens = 21_000
		for p := range 10 {
			q.Pieces = append(q.Pieces, fmt.Sprintf("team/model/v1/%08d/%02d", i, p))
		}
		r.RecordDispatch(fmt.Sprint(i), q, Choice{Endpoint: fmt.Sprintf("w%d", i%endpointCount)}, testStart)
		r.RecordEnd(fmt.Sprintf("w%d", i%endpointCount), fmt.Sprint(i), Canceled, testStart)
		queries = append(queries, q)
	}
	return r, queries
}

func BenchmarkChoose690(b *testing.B) {
	r, queries := newLoadedRouter(10_000)
	rng, now := newRNG(), testStart.Add(100*time.Millisecond)
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
	rng, now := newRNG(), testStart.Add(100*time.Millisecond)
	bringBackCost := func(string, int) (time.Duration, bool) { return 5 * time.Millisecond, true }
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q := queries[i%len(queries)]
		q.BringBackTime = bringBackCost
		if _, err := r.Choose(q, now, rng); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCachedBlock reports the memory that a block cached at one endpoint
// takes in the cache view.
func BenchmarkCachedBlock(b *testing.B) {
	const blocks = 200_000
	for range b.N {
		v := newCacheView()
		before := heapBytes()
		for i := range uint64(blocks) {
			v.add(uint16(i%endpointCount), mixHash(i+1), blocks)
		}
		b.ReportMetric(float64(heapBytes()-before)/blocks, "B/block")
		runtime.KeepAlive(v)
	}
}

// heapBytes returns the number of bytes on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEndpoint reports the memory that an endpoint without cached blocks
// takes in the router.
func BenchmarkEndpoint(b *testing.B) {
	for range b.N {
		before := heapBytes()
		r := newTestRouter(endpointCount)
		b.ReportMetric(float64(heapBytes()-before)/endpointCount, "B/endpoint")
		runtime.KeepAlive(r)
	}
}
