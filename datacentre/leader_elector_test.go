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

// candidate is a LeaderElector together with its client of the key-value service. It can
// crash, that is stop without revoking its leader lease.
type candidate struct {
	*LeaderElector
	*datacentretest.KV
	stop     context.CancelFunc
	done     chan struct{}
	crashed  atomic.Bool
	unable   atomic.Bool  // it can't act as the leader
	linkMode atomic.Value // of a faulty candidate: "up", "down" (no call is sent) or "lossy" (random faults)
}

// startFaultyCandidate starts a candidate in the data centre ilala whose calls fail
// as its linkMode says; it starts with "up".
func startFaultyCandidate(ctx context.Context, kv *datacentretest.KV, instanceID string, seed uint64) *candidate {
	rng := rand.New(rand.NewPCG(seed, 2))
	var c *candidate
	ready := make(chan struct{})
	client := kv.NewClient()
	client.Fault = func(string) datacentretest.Fault {
		<-ready
		switch c.linkMode.Load() {
		case "down":
			return datacentretest.FaultNotSent
		case "lossy":
			return datacentretest.Fault(rng.IntN(3))
		}
		return datacentretest.FaultNone
	}
	c = startCandidate(ctx, client, instanceID, seed)
	c.linkMode.Store("up")
	close(ready)
	return c
}

// KeepAlive implements metastore.KV. The call of a crashed candidate is not sent.
func (c *candidate) KeepAlive(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) (time.Duration, error) {
	if c.crashed.Load() {
		return 0, &metastore.NotSentError{Op: "keepalive"}
	}
	return c.KV.KeepAlive(ctx, p, id)
}

// Revoke implements metastore.KV. The call of a crashed candidate is not sent.
func (c *candidate) Revoke(ctx context.Context, p metastore.Purpose, id metastore.LeaseID) error {
	if c.crashed.Load() {
		return &metastore.NotSentError{Op: "revoke"}
	}
	return c.KV.Revoke(ctx, p, id)
}

// startCandidate starts a candidate in the data centre ilala.
func startCandidate(ctx context.Context, kv *datacentretest.KV, instanceID string, seed uint64) *candidate {
	return startCandidateIn(ctx, kv, "ilala", instanceID, seed)
}

// startCandidateIn starts a candidate that reaches the service of kv with the
// delays and faults of kv.
func startCandidateIn(ctx context.Context, kv *datacentretest.KV, dataCentre, instanceID string, seed uint64) *candidate {
	c := &candidate{KV: kv.NewClient(), done: make(chan struct{})}
	c.RequestDelay.Store(kv.RequestDelay.Load())
	c.AnswerDelay.Store(kv.AnswerDelay.Load())
	c.Fault = kv.Fault
	ctx, c.stop = context.WithCancel(ctx)
	c.LeaderElector = NewLeaderElector(LeaderElectorConfig{
		KV:          c,
		DataCentre:  dataCentre,
		InstanceID:  instanceID,
		IsCandidate: func() bool { return !c.crashed.Load() && !c.unable.Load() },
		MustResign:  c.unable.Load,
		Rand:        rand.New(rand.NewPCG(seed, 1)),
	})
	go func() {
		defer close(c.done)
		c.Run(ctx)
	}()
	return c
}

// stopAll stops the candidates and waits until their Run has returned.
func stopAll(all []*candidate) {
	for _, c := range all {
		c.stop()
	}
	for _, c := range all {
		<-c.done
	}
}

// heldFencingTokens returns the fencing tokens of the candidates that lead now.
func heldFencingTokens(all []*candidate) (tokens []int64) {
	for _, c := range all {
		if token, ok := c.FencingToken(); ok {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func TestExactlyOneCandidateLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		var all []*candidate
		for i := range 3 {
			all = append(all, startCandidate(t.Context(), kv, fmt.Sprint(i), uint64(i)))
		}
		time.Sleep(time.Minute)
		assert.Equal(t, len(heldFencingTokens(all)), 1)
	})
}

func TestPlannedStopHandsOverBeforeLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		first := startCandidate(t.Context(), kv, "old", 1)
		time.Sleep(5 * time.Second)
		second := startCandidate(t.Context(), kv, "young", 2)
		time.Sleep(5 * time.Second)
		firstToken, ok := first.FencingToken()
		assert.Assert(t, ok)
		first.stop()
		<-first.done
		synctest.Wait()
		secondToken, ok := second.FencingToken()
		assert.Assert(t, ok)
		assert.Assert(t, secondToken > firstToken)
	})
}

// TestFuzzAtMostOneLeader checks that never more than one of several candidates is
// the leader and that fencing tokens don't decrease, while calls fail, answers are
// lost or delayed and candidates stop and start. Once the faults have ended, one
// candidate must lead.
func TestFuzzAtMostOneLeader(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		type action struct {
			kind   string
			target int
			delay  time.Duration
			wait   time.Duration
		}
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				kind:   rapid.SampledFrom([]string{"down", "lossy", "up", "slow request", "slow answer", "slow answer", "stop", "start"}).Draw(t, "kind"),
				target: rapid.IntRange(0, 3).Draw(t, "who"),
				delay:  time.Duration(rapid.SampledFrom([]int{0, 300, 900, 1400, 1900}).Draw(t, "delay")) * time.Millisecond,
				wait:   time.Duration(rapid.SampledFrom([]int{0, 200, 1000, 2500, 7000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 10, 40).Draw(rt, "acts")
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			kv := datacentretest.NewKV(time.Now)
			all := make([]*candidate, 4)
			for i := range all {
				all[i] = startFaultyCandidate(t.Context(), kv, fmt.Sprint(i), seed+uint64(i))
			}
			var lastToken int64
			checkLeadersFor := func(d time.Duration) {
				const step = 50 * time.Millisecond
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
					kv.ExpireLeases()
					tokens := heldFencingTokens(all)
					if len(tokens) > 1 {
						failure = fmt.Sprintf("%d candidates lead at once", len(tokens))
					}
					if len(tokens) == 1 && tokens[0] < lastToken {
						failure = fmt.Sprintf("fencing token %d after %d", tokens[0], lastToken)
					}
					if len(tokens) == 1 {
						lastToken = tokens[0]
					}
				}
			}
			for _, a := range actions {
				c := all[a.target]
				switch a.kind {
				case "slow request":
					c.RequestDelay.Store(int64(a.delay))
				case "slow answer":
					c.AnswerDelay.Store(int64(a.delay))
				case "stop":
					c.stop()
				case "start":
					if c.isStopped() {
						all[a.target] = startFaultyCandidate(t.Context(), kv, fmt.Sprint(a.target), seed+7)
					}
				default:
					c.linkMode.Store(a.kind)
				}
				checkLeadersFor(a.wait)
			}
			for _, c := range all {
				c.linkMode.Store("up")
				c.RequestDelay.Store(0)
				c.AnswerDelay.Store(0)
			}
			all = append(all, startCandidate(t.Context(), kv, "last", seed+9))
			checkLeadersFor(time.Minute)
			if len(heldFencingTokens(all)) != 1 {
				failure = "no candidate, or more than one, leads after the faults"
			}
			stopAll(all)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// isStopped reports whether Run has returned.
func (c *candidate) isStopped() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// TestTermEndsBeforeLease checks that a leader that can no longer reach the service
// stops acting as the leader before its lease expires. Its answers are delayed by 650
// ms, so a term counted from their arrival would end too late. The service becomes
// unreachable before the first renewal in one run and after a renewal in the other.
func TestTermEndsBeforeLease(t *testing.T) {
	for _, cutAfter := range []time.Duration{2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			kv := datacentretest.NewKV(time.Now)
			c := startFaultyCandidate(t.Context(), kv, "a", 1)
			c.AnswerDelay.Store(int64(650 * time.Millisecond))
			time.Sleep(cutAfter)
			_, held := c.FencingToken()
			assert.Assert(t, held)
			c.linkMode.Store("down")
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				kv.ExpireLeases()
				_, err := kv.Get(t.Context(), PurposeLeader, "lead/ilala")
				_, held := c.FencingToken()
				assert.Assert(t, err == nil || !held, "candidate still leads after its lease has expired")
			}
			_, held = c.FencingToken()
			assert.Assert(t, !held)
			stopAll([]*candidate{c})
		})
	}
}

// TestRefusedCreateWithLostAnswerDoesNotLead checks that a candidate does not lead
// if the leader key belongs to another instance and the answer that refused the
// creation of the key is lost.
func TestRefusedCreateWithLostAnswerDoesNotLead(t *testing.T) {
	kv := datacentretest.NewKV(time.Now)
	_, err := kv.Create(t.Context(), PurposeLeader, "lead/ilala", []byte("other"), 0)
	assert.NilError(t, err)
	kv.Fault = func(op string) datacentretest.Fault {
		if op == "create" {
			return datacentretest.FaultLostAnswer
		}
		return datacentretest.FaultNone
	}
	e := NewLeaderElector(LeaderElectorConfig{KV: kv, DataCentre: "ilala", InstanceID: "a"})
	leaseID, err := kv.Grant(t.Context(), PurposeLeader, DefaultLeaseTTL)
	assert.NilError(t, err)
	_, err = e.createLeaderKey(t.Context(), leaseID)
	var unknown *metastore.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown))
}

// measureEnv is the environment variable that enables the tests which only print
// measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureLeadCalls(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dataCentres, candidates int }{{3, 2}, {9, 2}, {9, 3}, {9, 42}, {18, 2}} {
		synctest.Test(t, func(t *testing.T) { measureLeadCalls(t, size.dataCentres, size.candidates) })
	}
}

// measureLeadCalls logs the rates of writes and reads on the key-value service in
// steady state and after an outage of an hour, and the takeover time.
func measureLeadCalls(t *testing.T, dataCentres, candidates int) {
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
	var all []*candidate
	for d := range dataCentres {
		for i := range candidates {
			c := startCandidateIn(t.Context(), kv, fmt.Sprint(d), fmt.Sprint(d, "-", i), uint64(100*d+i))
			all = append(all, c)
		}
	}
	time.Sleep(time.Minute)
	startWrites, startReads := writesAndReads(kv)
	const minutes = 10
	time.Sleep(minutes * time.Minute)
	steadyWrites, steadyReads := writesAndReads(kv)
	down.Store(true)
	time.Sleep(time.Hour)
	down.Store(false)
	outageWrites, outageReads := writesAndReads(kv)
	restoredAt := time.Now()
	peak, lastWrites := 0, outageWrites
	var allLedAfter time.Duration
	for range 60 {
		time.Sleep(time.Second)
		writes, _ := writesAndReads(kv)
		peak = max(peak, writes-lastWrites)
		lastWrites = writes
		if allLedAfter == 0 && len(heldFencingTokens(all)) == dataCentres {
			allLedAfter = time.Since(restoredAt)
		}
	}
	finalWrites, finalReads := writesAndReads(kv)
	t.Logf("%2d data centres x %2d candidates: %.1f writes/s %.1f reads+watches/s steady; after an hour's outage: peak %d writes/s, %d writes %d reads in 60 s, all led after %v",
		dataCentres, candidates, float64(steadyWrites-startWrites)/(minutes*60), float64(steadyReads-startReads)/(minutes*60), peak, finalWrites-outageWrites, finalReads-outageReads, allLedAfter)
	measureTakeover(t, kv, all)
	stopAll(all)
}

// writesAndReads returns the numbers of write and read calls so far.
func writesAndReads(kv *datacentretest.KV) (writes, reads int) {
	for _, op := range []string{"create", "swap", "delete", "grant", "keepalive", "revoke"} {
		writes += kv.Calls(op)
	}
	for _, op := range []string{"get", "range", "watch"} {
		reads += kv.Calls(op)
	}
	return writes, reads
}

// measureTakeover crashes each leader in turn and logs how long it takes until
// another candidate leads.
func measureTakeover(t *testing.T, kv *datacentretest.KV, all []*candidate) {
	var worst, sum time.Duration
	var leaders []*candidate
	for _, c := range all {
		if _, ok := c.FencingToken(); ok {
			leaders = append(leaders, c)
		}
	}
	for _, c := range leaders {
		time.Sleep(time.Duration(rand.IntN(int(DefaultLeaseTTL))))
		c.crashed.Store(true)
		leadersBefore := len(heldFencingTokens(all))
		c.setTerm(nil)
		start := time.Now()
		for len(heldFencingTokens(all)) < leadersBefore && time.Since(start) < time.Minute {
			time.Sleep(50 * time.Millisecond)
			kv.ExpireLeases()
		}
		takeoverTime := time.Since(start)
		sum += takeoverTime
		worst = max(worst, takeoverTime)
	}
	t.Logf("   takeover after a crash: mean %v worst %v of %d", sum/time.Duration(len(leaders)), worst, len(leaders))
}

// TestStandbysLeaveLeadershipToFirstCandidates simulates a leader that is lost before
// ten candidates, nine of which are standbys. The first candidate must take over
// without calls by the standbys, and a standby must take over once it is lost too.
func TestStandbysLeaveLeadershipToFirstCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		leader := startCandidate(t.Context(), kv, "leader", 1)
		time.Sleep(time.Second)
		first := startCandidate(t.Context(), kv, "first", 2)
		var standbys []*candidate
		for i := range 9 {
			c := &candidate{KV: kv.NewClient(), done: make(chan struct{})}
			c.LeaderElector = NewLeaderElector(LeaderElectorConfig{
				KV: c, DataCentre: "ilala", InstanceID: fmt.Sprint("standby", i), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
				IsCandidate:  func() bool { return !c.crashed.Load() },
				StandbyDelay: func() time.Duration { return time.Second + time.Duration(i)*100*time.Millisecond },
			})
			go func() {
				defer close(c.done)
				c.Run(t.Context())
			}()
			standbys = append(standbys, c)
		}
		time.Sleep(time.Second)
		grants := kv.Calls("grant")
		leader.stop()
		<-leader.done
		time.Sleep(3 * time.Second)
		_, ok := first.FencingToken()
		assert.Check(t, ok)
		assert.Equal(t, kv.Calls("grant")-grants, 1)
		first.stop()
		<-first.done
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(heldFencingTokens(standbys)), 1)
		assert.Check(t, kv.Calls("grant")-grants <= 4, "%d", kv.Calls("grant")-grants)
	})
}

// TestFormerCandidateDoesNotTakeOver checks that an instance that ceased to be a candidate
// while it waited for the leader key leaves the key alone.
func TestFormerCandidateDoesNotTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		leader := startCandidate(t.Context(), kv, "leader", 1)
		time.Sleep(time.Second)
		former := startCandidate(t.Context(), kv, "former", 2)
		time.Sleep(time.Second)
		former.crashed.Store(true) // its IsCandidate returns false from now on
		grants := kv.Calls("grant")
		leader.stop()
		<-leader.done
		time.Sleep(time.Minute)
		assert.Equal(t, kv.Calls("grant"), grants)
	})
}

// TestLeaderThatCannotActHandsOver has the leader find that it can't act as one: another
// candidate must lead before the lease would have expired.
func TestLeaderThatCannotActHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := datacentretest.NewKV(time.Now)
		first := startCandidate(t.Context(), kv, "cut off", 1)
		time.Sleep(5 * time.Second)
		second := startCandidate(t.Context(), kv, "other", 2)
		time.Sleep(5 * time.Second)
		firstToken, ok := first.FencingToken()
		assert.Assert(t, ok)
		first.unable.Store(true)
		time.Sleep(first.cfg.TTL / 2)
		_, ok = first.FencingToken()
		assert.Check(t, !ok, "it still leads")
		secondToken, ok := second.FencingToken()
		assert.Check(t, ok && secondToken > firstToken)
		first.unable.Store(false)
		time.Sleep(time.Minute)
		_, ok = second.FencingToken()
		assert.Check(t, ok, "a sound leader stays")
	})
}
