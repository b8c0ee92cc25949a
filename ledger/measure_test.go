package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/ledger/ledgerpb"
	"redwingknot/metastore"
)

// measureEnv names the environment variable that enables the measurements below,
// which print tables.
const measureEnv = "REDWINGKNOT_MEASURE"

const (
	serviceWriteRate = 300 // writes per second
	serviceLatency   = 3 * time.Millisecond
	linkRoundTrip    = 3 * time.Millisecond
	measureDuration  = 20 * time.Second
)

// delayedRemote is a fakeRemote whose link has a round trip of linkRoundTrip.
type delayedRemote struct{ fakeRemote }

func (r delayedRemote) Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	time.Sleep(linkRoundTrip)
	return r.fakeRemote.Submit(ctx, owner, shard, op)
}

// TestMeasureClaims prints the rate and the delay of claims in simulated time, for
// several numbers of shards, write intervals and offered rates.
func TestMeasureClaims(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	fmt.Println("| shards | interval | offered/s | finished/s | refused/s | claim ms p50 | p99 | writes/s | writes/claim | bytes/claim |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		shards        int
		interval      time.Duration
		oneOpPerWrite bool
		offered       int
	}{
		{64, time.Nanosecond, true, 100}, {64, time.Nanosecond, true, 140}, {64, time.Nanosecond, true, 200}, {64, time.Nanosecond, true, 1000},
		{4, 20 * time.Millisecond, false, 100}, {4, 20 * time.Millisecond, false, 1000}, {4, 20 * time.Millisecond, false, 10000},
		{4, 100 * time.Millisecond, false, 1000},
		{16, 60 * time.Millisecond, false, 100}, {16, 60 * time.Millisecond, false, 1000}, {16, 60 * time.Millisecond, false, 10000},
		{16, 100 * time.Millisecond, false, 100}, {16, 100 * time.Millisecond, false, 1000}, {16, 100 * time.Millisecond, false, 10000},
		{16, 250 * time.Millisecond, false, 1000},
		{64, 250 * time.Millisecond, false, 1000}, {64, 250 * time.Millisecond, false, 10000},
	} {
		synctest.Test(t, func(t *testing.T) { measureClaims(c.shards, c.interval, c.oneOpPerWrite, c.offered) })
	}
}

// measureClaims offers claims at random times, at a mean rate of offered a second, to
// seven instances and prints a row of the table. With oneOpPerWrite set, each log
// entry holds one operation.
func measureClaims(shards int, interval time.Duration, oneOpPerWrite bool, offered int) {
	const instances = 7
	f := newFakeService()
	f.writeInterval, f.latency = time.Second/serviceWriteRate, serviceLatency
	ledgers := map[string]*Ledger{}
	name := func(i int) string { return fmt.Sprint("entry-", i) }
	entrySize := DefaultMaxEntryBytes
	if oneOpPerWrite {
		entrySize = 1
	}
	for i := range instances {
		self := name(i)
		ledgers[self] = New(Config{
			Shards: shards, WriteInterval: interval, MaxEntryBytes: entrySize, Instance: self,
			OpenLog: func(n int, sm metastore.StateMachine) metastore.Log { return f.open(n, sm, neverUnreachable) },
			Alive:   func(string) bool { return true },
			Owner:   func(n int) (string, bool) { o := name(n % instances); return o, o == self },
			Remote:  delayedRemote{fakeRemote{ledger: func(n string) *Ledger { return ledgers[n] }, linkFault: func() fault { return faultNone }}},
		})
	}
	var mu sync.Mutex
	var delays []time.Duration
	var finished, refused int
	var calls sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	for n := uint64(0); time.Since(start) < measureDuration; n++ {
		l := ledgers[name(rng.IntN(instances))]
		calls.Go(func() {
			began := time.Now()
			o, err := l.Claim(context.Background(), keyAt(began, n), bodyDigest)
			elapsed := time.Since(began)
			g, ok := o.(Granted)
			if err != nil || !ok {
				mu.Lock()
				defer mu.Unlock()
				refused++
				return
			}
			time.Sleep(20 * time.Millisecond)
			l.Finish(context.Background(), g.Claim, Answer{Status: 200, Body: make([]byte, 200)})
			mu.Lock()
			defer mu.Unlock()
			finished++
			delays = append(delays, elapsed)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(offered)))
	}
	calls.Wait()
	seconds := time.Since(start).Seconds()
	slices.Sort(delays)
	quantile := func(q float64) float64 {
		return float64(delays[int(q*float64(len(delays)-1))].Microseconds()) / 1000
	}
	writeMode := fmt.Sprint(interval)
	if oneOpPerWrite {
		writeMode = "one write per operation"
	}
	fmt.Printf("| %d | %s | %d | %.0f | %.0f | %.1f | %.1f | %.0f | %.2f | %.0f |\n", shards, writeMode, offered,
		float64(finished)/seconds, float64(refused)/seconds, quantile(0.5), quantile(0.99), float64(f.writeCount)/seconds,
		float64(f.writeCount)/float64(finished), float64(f.byteCount)/float64(finished))
	for _, l := range ledgers {
		l.Close()
	}
}

// TestMeasurePeerMemory evaluates an alternative design, which stores claims only in
// the memory of an owner and a replica, the two live instances with the highest
// hashes. It prints how many calls would run twice if each is resent after a fault.
func TestMeasurePeerMemory(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	const keys, instances, dcs = 10000, 7, 3
	all := make([]string, instances)
	for i := range all {
		all[i] = fmt.Sprint("entry-", i)
	}
	ownerAndReplica := func(key int, live []string) []string {
		first := RendezvousOwner(key, live)
		rest := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == first })
		return []string{first, RendezvousOwner(key, rest)}
	}
	liveWithout := func(killed ...int) []string {
		return slices.DeleteFunc(slices.Clone(all), func(n string) bool {
			return slices.ContainsFunc(killed, func(i int) bool { return all[i] == n })
		})
	}
	// liveInDataCentre returns the instances of the data centre that receives the
	// resend and is cut off from the others. Instance i is in data centre i % dcs.
	liveInDataCentre := func(dc int) []string {
		var live []string
		for i := range all {
			if i%dcs == dc {
				live = append(live, all[i])
			}
		}
		return live
	}
	for _, c := range []struct {
		name string
		live []string
	}{
		{"no fault", all}, {"one instance killed", liveWithout(0)}, {"two killed at once", liveWithout(0, 1)},
		{"three killed at once", liveWithout(0, 1, 2)}, {"resend in a cut-off data centre", liveInDataCentre(1)}, {"all restarted", nil},
	} {
		ranTwice := 0
		for key := range keys {
			holders := ownerAndReplica(key, all)
			found := slices.ContainsFunc(holders, func(n string) bool { return slices.Contains(c.live, n) })
			if !found {
				ranTwice++
			}
		}
		fmt.Printf("| claims in two peers' memory, %s | %d of %d calls run twice |\n", c.name, ranTwice, keys)
	}
}

// BenchmarkApply encodes, decodes and applies entries of 100 claims and their 100
// answers of 200 bytes.
func BenchmarkApply(b *testing.B) {
	const calls = 100
	s := newState(time.Hour)
	key := func(n int) []byte { return fmt.Appendf(nil, "%016d", n) }
	var bytes, ops int
	for i := 0; b.Loop(); i++ {
		e := &ledgerpb.Entry{TimeMs: int64(i) * 1000}
		for n := range calls {
			id := key(i*calls + n)
			claim := &ledgerpb.Op{Kind: ledgerpb.Kind_KIND_CLAIM, Key: id, Claim: id, MintedMs: e.TimeMs, Digest: id, Instance: "entry-1-20261203"}
			finish := &ledgerpb.Op{Kind: ledgerpb.Kind_KIND_FINISH, Key: id, Claim: id, MintedMs: e.TimeMs, Answer: &ledgerpb.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}}
			e.Ops = append(e.Ops, claim, finish)
		}
		raw, _ := proto.Marshal(e)
		var got ledgerpb.Entry
		proto.Unmarshal(raw, &got)
		s.apply(&got)
		bytes += len(raw)
		ops += calls
	}
	b.ReportMetric(float64(bytes)/float64(ops), "bytes/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(ops), "ns/claim")
}

// BenchmarkRecordMemory reports the heap memory of a record with its answer of 200
// bytes.
func BenchmarkRecordMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := newState(time.Hour)
		const records = 50000
		for n := range records {
			id := fmt.Appendf(nil, "%016d", n)
			op := &ledgerpb.Op{Kind: ledgerpb.Kind_KIND_CLAIM, Key: id, Claim: id, MintedMs: 1, Digest: id, Instance: "entry"}
			raw, _ := proto.Marshal(&ledgerpb.Entry{Ops: []*ledgerpb.Op{op, {Kind: ledgerpb.Kind_KIND_FINISH, Key: id, Claim: id, Answer: &ledgerpb.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}}}})
			var got ledgerpb.Entry
			proto.Unmarshal(raw, &got)
			s.apply(&got)
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "bytes/record")
		if len(s.records) != records {
			b.Fatal("records are missing")
		}
	}
}

// heapBytes returns the allocated heap memory after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
