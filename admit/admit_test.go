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
	epoch         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	verdictClass  = contract.Class{Name: "verdict", Worth: 10, FirstIn: time.Second}
	questionClass = contract.Class{Name: "question", Worth: 1, FirstIn: time.Second}
)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func drawMilliseconds(t *rapid.T, label string, maxMs int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMs).Draw(t, label)) * time.Millisecond
}

// TestFuzzNeverAdmitsRequestThatMissesDeadline checks that no request is admitted
// whose expected time to first token is not less than the time left. It also
// checks that each refusal says that the request has not run, and when to retry,
// unless a retry cannot help.
func TestFuzzNeverAdmitsRequestThatMissesDeadline(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		c, rng, now := NewController(Config{}), newRNG(), epoch
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				q := Query{
					Team:      fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")),
					Class:     rapid.SampledFrom([]contract.Class{verdictClass, questionClass}).Draw(t, "class"),
					QueueTime: drawMilliseconds(t, "queue", 1500),
					Cost:      drawMilliseconds(t, "cost", 500),
					TimeLeft:  drawMilliseconds(t, "left", 1200),
				}
				q.Expected = q.QueueTime + drawMilliseconds(t, "work", 800)
				checkAdmit(t, c, q, now, rng)
			},
			"wait": func(t *rapid.T) { now = now.Add(drawMilliseconds(t, "wait", 5000)) },
		})
	})
}

// checkAdmit calls Admit and checks its result against q.
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
	if unattainable := q.Expected-q.QueueTime >= left; unattainable != (refusal.Reason == contract.ReasonDeadline) {
		t.Fatalf("refused as %s with %s of work and %s left", refusal.Reason, q.Expected-q.QueueTime, left)
	}
	overload := refusal.Reason == contract.ReasonOverload
	if overload != (refusal.RetryAfter >= defaultMinRetryAfter && refusal.RetryAfter <= defaultMaxRetryAfter) {
		t.Fatalf("refusal for %s has a retry-after time of %s", refusal.Reason, refusal.RetryAfter)
	}
}

// offerRequests asks n times to admit a request of a team that would be queued for
// the given wait, and returns how many were admitted.
func offerRequests(c *Controller, team string, class contract.Class, wait time.Duration, n int, now time.Time, rng *rand.Rand) int {
	admitted := 0
	for range n {
		q := Query{Team: team, Class: class, QueueTime: wait, Expected: wait + 50*time.Millisecond, Cost: 50 * time.Millisecond}
		if c.Admit(q, now, rng) == nil {
			admitted++
		}
	}
	return admitted
}

func TestLowestWorthIsRefusedFirst(t *testing.T) {
	c, rng := NewController(Config{}), newRNG()
	now := epoch
	offerRequests(c, "a", verdictClass, 0, 1, now, rng)
	offerRequests(c, "a", questionClass, 0, 1, now, rng)
	now = now.Add(time.Second)
	const queue = 350 * time.Millisecond
	assert.Equal(t, offerRequests(c, "a", verdictClass, queue, 100, now, rng), 100)
	assert.Assert(t, offerRequests(c, "a", questionClass, queue, 100, now, rng) < 70)
}

func TestLargeTeamDoesNotStarveSmallOnes(t *testing.T) {
	c, rng, now := NewController(Config{}), newRNG(), epoch
	const queue = 600 * time.Millisecond // between the wait from which some requests are refused and the class's longest wait
	large, small := 0, 0
	const rounds = 300
	for range rounds {
		now = now.Add(100 * time.Millisecond)
		large += offerRequests(c, "large", questionClass, queue, 50, now, rng)
		small += offerRequests(c, "small", questionClass, queue, 1, now, rng)
	}
	assert.Assert(t, small > rounds*95/100, "small team: %d of %d", small, rounds)
	assert.Assert(t, large < 50*rounds*3/4, "large team: %d of %d", large, 50*rounds)
}

func TestRetryAfterIsSpreadOut(t *testing.T) {
	c, rng := NewController(Config{}), newRNG()
	seen := map[time.Duration]bool{}
	for range 100 {
		q := Query{Team: "a", Class: questionClass, QueueTime: 2 * time.Second, Expected: 2 * time.Second}
		var refusal *contract.Refusal
		assert.Assert(t, errors.As(c.Admit(q, epoch, rng), &refusal))
		seen[refusal.RetryAfter.Truncate(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 20)
}

// BenchmarkAdmit measures Admit with a simulated thousand requests per second from
// 28,000 teams.
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
		c.Admit(Query{Team: names[i%teams], Class: questionClass, Cost: time.Millisecond, Expected: time.Millisecond}, now, rng)
	}
}

// BenchmarkTeamMemory reports the heap memory per team that has recently sent
// requests.
func BenchmarkTeamMemory(b *testing.B) {
	const teams = 28_000
	rng := newRNG()
	for range b.N {
		before := heapBytes()
		c := NewController(Config{})
		for i := range teams {
			c.Admit(Query{Team: fmt.Sprint("team", i), Class: questionClass, Cost: time.Second}, epoch, rng)
		}
		b.ReportMetric(float64(heapBytes()-before)/teams, "B/team")
		runtime.KeepAlive(c)
	}
}

// heapBytes returns the bytes of allocated heap objects after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
