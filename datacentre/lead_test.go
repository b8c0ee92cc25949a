package datacentre

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/datacentre/datacentretest"
	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
)

// contender is a Lead whose process can die without a farewell.
type contender struct {
	*LeaderElector
	*datacentretest.KV
	stop context.CancelFunc
	done chan struct{}
	dead atomic.Bool
	mode atomic.Value // how its calls fare: "up", "down" or "lossy"
}

// faulty is a contender whose calls fare by its mode.
func faulty(ctx context.Context, kv *datacentretest.KV, self string, seed uint64) *contender {
	r := rand.New(rand.NewPCG(seed, 2))
	var c *contender
	ready := make(chan struct{})
	fault := kv.NewClient()
	fault.Fault = func(string) datacentretest.Fault {
		<-ready
		switch c.mode.Load() {
		case "down":
			return datacentretest.FaultNotSent
		case "lossy":
			return datacentretest.Fault(r.IntN(3))
		}
		return datacentretest.FaultNone
	}
	c = contend(ctx, fault, self, seed)
	c.mode.Store("up")
	close(ready)
	return c
}

// KeepAlive does not reach the service from a dead process.
func (c *contender) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	if c.dead.Load() {
		return 0, &metastore.NotSentError{Op: "keepalive"}
	}
	return c.KV.KeepAlive(ctx, p, id)
}

// Revoke does not reach the service from a dead process.
func (c *contender) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	if c.dead.Load() {
		return &metastore.NotSentError{Op: "revoke"}
	}
	return c.KV.Revoke(ctx, p, id)
}

func contend(ctx context.Context, kv *datacentretest.KV, self string, seed uint64) *contender {
	return contendIn(ctx, kv, "ilala", self, seed)
}

func contendIn(ctx context.Context, kv *datacentretest.KV, dataCentre, self string, seed uint64) *contender {
	c := &contender{KV: kv.NewClient(), done: make(chan struct{})}
	c.RequestDelay.Store(kv.RequestDelay.Load())
	c.AnswerDelay.Store(kv.AnswerDelay.Load())
	c.Fault = kv.Fault
	ctx, c.stop = context.WithCancel(ctx)
	c.LeaderElector = NewLeaderElector(LeaderElectorConfig{
		KV:          c,
		DataCentre:  dataCentre,
		InstanceID:  self,
		IsCandidate: func() bool { return !c.dead.Load() },
		Rand:        rand.New(rand.NewPCG(seed, 1)),
	})
	go func() {
		defer close(c.done)
		c.Run(ctx)
	}()
	return c
}

func stopAll(all []*contender) {
	for _, c := range all {
		c.stop()
	}
	for _, c := range all {
		<-c.done
	}
}

func holders(all []*contender) (held []int64) {
	for _, c := range all {
		if fence, ok := c.FencingToken(); ok {
			held = append(held, fence)
		}
	}
	return held
}

func TestOneOfManyLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		var all []*contender
		for i := range 3 {
			all = append(all, contend(t.Context(), kv, fmt.Sprint(i), uint64(i)))
		}
		time.Sleep(time.Minute)
		assert.Equal(t, len(holders(all)), 1)
	})
}

func TestPlannedStopHandsOverWithoutWaitingForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		old := contend(t.Context(), kv, "old", 1)
		time.Sleep(5 * time.Second)
		young := contend(t.Context(), kv, "young", 2)
		time.Sleep(5 * time.Second)
		first, ok := old.FencingToken()
		assert.Assert(t, ok)
		old.stop()
		<-old.done
		synctest.Wait()
		fence, ok := young.FencingToken()
		assert.Assert(t, ok)
		assert.Assert(t, fence > first)
	})
}

// TestFuzzAtMostOneHolds lets leads contend while calls fail, answers are lost,
// the service is slow and processes come and go.
func TestFuzzAtMostOneHolds(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		type act struct {
			kind  string
			who   int
			delay time.Duration
			wait  time.Duration
		}
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{
				kind:  rapid.SampledFrom([]string{"down", "lossy", "up", "slow request", "slow answer", "slow answer", "stop", "start"}).Draw(t, "kind"),
				who:   rapid.IntRange(0, 3).Draw(t, "who"),
				delay: time.Duration(rapid.SampledFrom([]int{0, 300, 900, 1400, 1900}).Draw(t, "delay")) * time.Millisecond,
				wait:  time.Duration(rapid.SampledFrom([]int{0, 200, 1000, 2500, 7000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 10, 40).Draw(rt, "acts")
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			kv := datacentretest.NewKV(time.Now)
			all := make([]*contender, 4)
			for i := range all {
				all[i] = faulty(t.Context(), kv, fmt.Sprint(i), seed+uint64(i))
			}
			var last int64
			watch := func(d time.Duration) {
				const step = 50 * time.Millisecond
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
					kv.ExpireLeases()
					held := holders(all)
					if len(held) > 1 {
						wrong = fmt.Sprintf("%d hold the lead", len(held))
					}
					if len(held) == 1 && held[0] < last {
						wrong = fmt.Sprintf("fence %d after %d", held[0], last)
					}
					if len(held) == 1 {
						last = held[0]
					}
				}
			}
			for _, a := range acts {
				c := all[a.who]
				switch a.kind {
				case "slow request":
					c.RequestDelay.Store(int64(a.delay))
				case "slow answer":
					c.AnswerDelay.Store(int64(a.delay))
				case "stop":
					c.stop()
				case "start":
					if c.stopped() {
						all[a.who] = faulty(t.Context(), kv, fmt.Sprint(a.who), seed+7)
					}
				default:
					c.mode.Store(a.kind)
				}
				watch(a.wait)
			}
			for _, c := range all {
				c.mode.Store("up")
				c.RequestDelay.Store(0)
				c.AnswerDelay.Store(0)
			}
			all = append(all, contend(t.Context(), kv, "last", seed+9))
			watch(time.Minute)
			if len(holders(all)) != 1 {
				wrong = "nobody leads after the faults"
			}
			stopAll(all)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func (c *contender) stopped() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// TestHoldingEndsBeforeTheLease cuts a holder off whose answers come late, in
// its first tenure and after a renewal.
func TestHoldingEndsBeforeTheLease(t *testing.T) {
	for _, cutAfter := range []time.Duration{2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			kv := datacentretest.NewKV(time.Now)
			c := faulty(t.Context(), kv, "a", 1)
			c.AnswerDelay.Store(int64(650 * time.Millisecond))
			time.Sleep(cutAfter)
			_, held := c.FencingToken()
			assert.Assert(t, held)
			c.mode.Store("down")
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				kv.ExpireLeases()
				_, err := kv.Get(t.Context(), PurposeLeader, "lead/ilala")
				_, held := c.FencingToken()
				assert.Assert(t, err == nil || !held, "held after the lease has lapsed")
			}
			_, held = c.FencingToken()
			assert.Assert(t, !held)
			stopAll([]*contender{c})
		})
	}
}

func TestLostAnswerOfARefusedCreateIsNoLead(t *testing.T) {
	kv := datacentretest.NewKV(time.Now)
	_, err := kv.Create(t.Context(), PurposeLeader, "lead/ilala", []byte("other"), 0)
	assert.NilError(t, err)
	kv.Fault = func(op string) datacentretest.Fault {
		if op == "create" {
			return datacentretest.FaultLostAnswer
		}
		return datacentretest.FaultNone
	}
	l := NewLeaderElector(LeaderElectorConfig{KV: kv, DataCentre: "ilala", InstanceID: "a"})
	id, err := kv.Grant(t.Context(), PurposeLeader, DefaultLeaseTTL)
	assert.NilError(t, err)
	_, err = l.create(t.Context(), id)
	var unknown *metastore.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown))
}

// measureEnv prints tables of measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureLeadCalls(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dataCentres, candidates int }{{3, 2}, {9, 2}, {9, 3}, {9, 42}, {18, 2}} {
		synctest.Test(t, func(t *testing.T) { measureLeads(t, size.dataCentres, size.candidates) })
	}
}

func measureLeads(t *testing.T, dataCentres, candidates int) {
	kv := datacentretest.NewKV(time.Now)
	kv.RequestDelay.Store(int64(2 * time.Millisecond))
	kv.AnswerDelay.Store(int64(2 * time.Millisecond))
	var down atomic.Bool
	kv.Fault = func(string) datacentretest.Fault {
		if down.Load() {
			return datacentretest.FaultNotSent
		}
		return datacentretest.FaultNone
	}
	var all []*contender
	for d := range dataCentres {
		for i := range candidates {
			c := contendIn(t.Context(), kv, fmt.Sprint(d), fmt.Sprint(d, "-", i), uint64(100*d+i))
			all = append(all, c)
		}
	}
	time.Sleep(time.Minute)
	w, r := writesAndReads(kv)
	const minutes = 10
	time.Sleep(minutes * time.Minute)
	w2, r2 := writesAndReads(kv)
	down.Store(true)
	time.Sleep(time.Hour)
	down.Store(false)
	w3, r3 := writesAndReads(kv)
	back := time.Now()
	peak, lastW := 0, w3
	var led time.Duration
	for range 60 {
		time.Sleep(time.Second)
		now, _ := writesAndReads(kv)
		peak = max(peak, now-lastW)
		lastW = now
		if led == 0 && len(holders(all)) == dataCentres {
			led = time.Since(back)
		}
	}
	w4, r4 := writesAndReads(kv)
	t.Logf("%2d data centres x %2d candidates: %.1f writes/s %.1f reads+watches/s steady; after an hour's outage: peak %d writes/s, %d writes %d reads in 60 s, all led after %v",
		dataCentres, candidates, float64(w2-w)/(minutes*60), float64(r2-r)/(minutes*60), peak, w4-w3, r4-r3, led)
	takeover(t, kv, all)
	stopAll(all)
}

func writesAndReads(kv *datacentretest.KV) (writes, reads int) {
	for _, op := range []string{"create", "swap", "delete", "grant", "keepalive", "revoke"} {
		writes += kv.Calls(op)
	}
	for _, op := range []string{"get", "range", "watch"} {
		reads += kv.Calls(op)
	}
	return writes, reads
}

// takeover kills holders without a farewell and measures until another leads.
func takeover(t *testing.T, kv *datacentretest.KV, all []*contender) {
	var worst, sum time.Duration
	var killed []*contender
	for _, c := range all {
		if _, ok := c.FencingToken(); ok {
			killed = append(killed, c)
		}
	}
	for _, c := range killed {
		time.Sleep(time.Duration(rand.IntN(int(DefaultLeaseTTL))))
		c.dead.Store(true)
		before := len(holders(all))
		c.set(nil)
		start := time.Now()
		for len(holders(all)) < before && time.Since(start) < time.Minute {
			time.Sleep(50 * time.Millisecond)
			kv.ExpireLeases()
		}
		d := time.Since(start)
		sum += d
		worst = max(worst, d)
	}
	t.Logf("   takeover after a kill: mean %v worst %v of %d", sum/time.Duration(len(killed)), worst, len(killed))
}
