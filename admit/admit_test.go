package admit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/contract"
	"redwingknot/internal/fuzztest"
)

var (
	epoch    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	verdict  = contract.Class{Name: "verdict", Worth: 10, FirstIn: time.Second}
	question = contract.Class{Name: "question", Worth: 1, FirstIn: time.Second}
)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func milliseconds(t *rapid.T, label string, high int) time.Duration {
	return time.Duration(rapid.IntRange(0, high).Draw(t, label)) * time.Millisecond
}

// TestFuzzNeverAdmitsWhatCannotMeetItsBudget also checks that each refusal has
// not run and says when to come back, unless a repeat can't help.
func TestFuzzNeverAdmitsWhatCannotMeetItsBudget(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		c, rng, now := NewController(Config{}), newRNG(), epoch
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				q := Query{
					Team:      fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")),
					Class:     rapid.SampledFrom([]contract.Class{verdict, question}).Draw(t, "class"),
					QueueTime: milliseconds(t, "queue", 1500),
					Cost:      milliseconds(t, "cost", 500),
					TimeLeft:  milliseconds(t, "left", 1200),
				}
				q.Expected = q.QueueTime + milliseconds(t, "work", 800)
				checkAdmit(t, c, q, now, rng)
			},
			"wait": func(t *rapid.T) { now = now.Add(milliseconds(t, "wait", 5000)) },
		})
	})
}

func checkAdmit(t *rapid.T, c *Controller, q Query, now time.Time, rng *rand.Rand) {
	err := c.Admit(q, now, rng)
	left := q.TimeLeft
	if left == 0 {
		left = q.Class.FirstIn
	}
	if err == nil {
		if q.Expected >= left {
			t.Fatalf("admitted with %s expected and %s left", q.Expected, left)
		}
		return
	}
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) || refusal.Ran != contract.NotRun {
		t.Fatalf("refused with %v", err)
	}
	if hopeless := q.Expected-q.QueueTime >= left; hopeless != (refusal.Reason == contract.ReasonDeadline) {
		t.Fatalf("refused as %s with %s of work and %s left", refusal.Reason, q.Expected-q.QueueTime, left)
	}
	overload := refusal.Reason == contract.ReasonOverload
	if overload != (refusal.RetryAfter >= defaultRetryBase && refusal.RetryAfter <= defaultRetryMax) {
		t.Fatalf("%s says to return after %s", refusal.Reason, refusal.RetryAfter)
	}
}

// offer sends n requests of a team at the queue and returns those admitted.
func offer(c *Controller, team string, class contract.Class, queue time.Duration, n int, now time.Time, rng *rand.Rand) int {
	admitted := 0
	for range n {
		q := Query{Team: team, Class: class, QueueTime: queue, Expected: queue + 50*time.Millisecond, Cost: 50 * time.Millisecond}
		if c.Admit(q, now, rng) == nil {
			admitted++
		}
	}
	return admitted
}

func TestLeastWorthIsRefusedFirst(t *testing.T) {
	c, rng := NewController(Config{}), newRNG()
	now := epoch
	offer(c, "a", verdict, 0, 1, now, rng)
	offer(c, "a", question, 0, 1, now, rng)
	now = now.Add(time.Second)
	const queue = 350 * time.Millisecond
	assert.Equal(t, offer(c, "a", verdict, queue, 100, now, rng), 100)
	assert.Assert(t, offer(c, "a", question, queue, 100, now, rng) < 70)
}

func TestLargeTeamDoesNotStarveSmallOnes(t *testing.T) {
	c, rng, now := NewController(Config{}), newRNG(), epoch
	const queue = 600 * time.Millisecond // between the ramp and the allowance
	large, small := 0, 0
	const rounds = 300
	for range rounds {
		now = now.Add(100 * time.Millisecond)
		large += offer(c, "large", question, queue, 50, now, rng)
		small += offer(c, "small", question, queue, 1, now, rng)
	}
	assert.Assert(t, small > rounds*95/100, "small team: %d of %d", small, rounds)
	assert.Assert(t, large < 50*rounds*3/4, "large team: %d of %d", large, 50*rounds)
}

func TestRefusedAreSpreadOut(t *testing.T) {
	c, rng := NewController(Config{}), newRNG()
	seen := map[time.Duration]bool{}
	for range 100 {
		q := Query{Team: "a", Class: question, QueueTime: 2 * time.Second, Expected: 2 * time.Second}
		var refusal *contract.Refusal
		assert.Assert(t, errors.As(c.Admit(q, epoch, rng), &refusal))
		seen[refusal.RetryAfter.Truncate(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 20)
}

// BenchmarkAdmit admits a thousand requests a second of 28,000 teams.
func BenchmarkAdmit(b *testing.B) {
	c, rng := NewController(Config{}), newRNG()
	const teams = 28_000
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("team", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		c.Admit(Query{Team: names[i%teams], Class: question, Cost: time.Millisecond, Expected: time.Millisecond}, now, rng)
	}
}

// BenchmarkTeam reports the memory of a team that has offered work of late.
func BenchmarkTeam(b *testing.B) {
	const teams = 28_000
	rng := newRNG()
	for range b.N {
		before := heapBytes()
		c := NewController(Config{})
		for i := range teams {
			c.Admit(Query{Team: fmt.Sprint("team", i), Class: question, Cost: time.Second}, epoch, rng)
		}
		b.ReportMetric(float64(heapBytes()-before)/teams, "B/team")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
