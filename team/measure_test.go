package team

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/wire/wirepb"
)

// measureEnv makes the tests below print their tables.
const measureEnv = "REDWINGKNOT_MEASURE"

// skew is how a team's arrivals spread over the instances.
type skew struct {
	name   string
	weight func(i int) float64
}

var skews = []skew{
	{"even", func(int) float64 { return 1 }},
	{"zipf", func(i int) float64 { return 1 / float64(i+1) }},
	{"one instance", func(i int) float64 { return math.Max(0, float64(1-i)) }},
	{"moves every 20 s", nil},
}

// TestMeasureShares prints, for a team offered a multiple of its limit, the part
// of what the limit allows that is admitted, the most admitted in any window
// above rate times time, and the spread of the instances' admitted parts.
func TestMeasureShares(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	fmt.Println("| nodes | arrivals | offered/limit | floor | admitted/allowed | above rate x time (burst 20) | lowest/highest admitted part |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, nodes := range []int{7, 64} {
		for _, sk := range skews {
			for _, load := range []float64{0.8, 2} {
				for _, floor := range []float64{0.1, 0.3, 0.5, 1} {
					measureShares(nodes, sk, load, floor)
				}
			}
		}
	}
}

func measureShares(nodes int, sk skew, load, floor float64) {
	const rate, burst, seconds = 200, 20, 120
	w := newWorld(Config{Floor: floor}, 1)
	for range nodes {
		w.start()
	}
	w.spread()
	w.tick()
	w.now = w.now.Add(w.cfg.HomeDelay + time.Second)
	rng := rand.New(rand.NewPCG(2, 2))
	offered, admitted := make([]float64, nodes), make([]float64, nodes)
	var m meter
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += step {
		w.now = w.now.Add(step)
		m.drain(rate, step)
		w.deliver()
		if elapsed%w.cfg.Interval == 0 {
			w.tick()
		}
		weight := sk.weight
		if weight == nil {
			hot := int(elapsed/(20*time.Second)) % nodes
			weight = func(i int) float64 {
				if i == hot {
					return 1
				}
				return 0
			}
		}
		var sum float64
		for i := range nodes {
			sum += weight(i)
		}
		for i, n := range w.nodes {
			arrivals := poisson(rng, load*rate*step.Seconds()*weight(i)/sum)
			for range arrivals {
				offered[i]++
				if ok, _ := n.limiter.Allow("ilala", limitOf(rate, burst)); ok {
					admitted[i]++
					m.admit()
				}
			}
		}
	}
	var total float64
	lowest, highest := 1.0, 0.0
	for i := range nodes {
		total += admitted[i]
		if offered[i] > 0 {
			lowest, highest = min(lowest, admitted[i]/offered[i]), max(highest, admitted[i]/offered[i])
		}
	}
	allowed := min(load, 1) * rate * seconds
	fmt.Printf("| %d | %s | %.1f | %.1f | %.2f | %.1f | %.2f |\n", nodes, sk.name, load, floor, total/allowed, m.peak, lowest/highest)
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// TestMeasureExchange prints messages and bytes a second and node, each request
// and reply with its envelope and the transport's headers, for the target's
// arrivals a node: 9,900 requests a second over 380 nodes, 28,000 teams of which
// a thousandth has a hundred times the requests of the others.
func TestMeasureExchange(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	fmt.Println("| nodes | interval | messages/s a node | payload bytes/s a node | bytes/s a node with envelopes and headers | refused of requests |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, interval := range []time.Duration{time.Second, 2 * time.Second} {
		for _, nodes := range []int{4, 8, 16, 32, 64, 380} {
			measureExchange(nodes, interval)
		}
	}
}

// headerBytes are those of two TCP segments with an acknowledgement and of the
// yamux frames that open, carry and close a stream, in one direction.
const headerBytes = 52 + 26 + 3*12 + 4

func envelope(m *Message) int {
	return proto.Size(&wirepb.Request{Method: methodExchange, BudgetMs: 3000, Payload: make([]byte, proto.Size(m))}) + headerBytes
}

func measureExchange(nodes int, interval time.Duration) {
	const perNode, teams, large, factor = 26, 28000, 28, 100
	w := newWorld(Config{Interval: interval, Lease: 3 * interval, HomeDelay: 8 * interval}, 1)
	var framed int
	w.cost = func(m *Message) int { framed += envelope(m); return proto.Size(m) }
	for range nodes {
		w.start()
	}
	w.spread()
	w.tick()
	w.now = w.now.Add(w.cfg.HomeDelay + time.Second)
	rng := rand.New(rand.NewPCG(3, 3))
	weights := float64(teams-large) + large*factor
	mean := perNode * float64(nodes) / weights // requests a second of a small team
	const seconds = 60
	w.messages, w.bytes, framed = 0, 0, 0
	var requests, refused float64
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += step {
		w.now = w.now.Add(step)
		w.deliver()
		if elapsed%interval == 0 {
			w.tick()
		}
		for _, n := range w.nodes {
			for range poisson(rng, perNode*step.Seconds()) {
				team, limit := rng.IntN(teams-large), limitOf(max(10*mean, 1), 20)
				if rng.Float64()*weights < large*factor {
					team, limit = teams-1-rng.IntN(large), limitOf(max(2*factor*mean, 1), 20)
				}
				requests++
				if ok, _ := n.limiter.Allow(fmt.Sprint(team), limit); !ok {
					refused++
				}
			}
		}
	}
	per := func(n int) float64 { return float64(n) / seconds / float64(nodes) }
	// A node sends its part and receives as much.
	fmt.Printf("| %d | %s | %.1f | %.0f | %.0f | %.4f |\n", nodes, interval, 2*per(w.messages), 2*per(w.bytes), 2*per(framed), refused/requests)
}

// BenchmarkAllow decides for one of 28,000 active teams.
func BenchmarkAllow(b *testing.B) {
	const teams = 28000
	w := ready(1)
	before := heapBytes()
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
		w.nodes[0].limiter.Allow(names[i], limitOf(testRate, testBurst))
	}
	perTeam := float64(heapBytes()-before) / teams
	limit := limitOf(testRate, testBurst)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		w.nodes[0].limiter.Allow(names[i%teams], limit)
		i++
	}
	b.ReportMetric(perTeam, "bytes/team")
}

// BenchmarkTick ends an interval with 28,000 known teams, 100 of them active.
func BenchmarkTick(b *testing.B) {
	const teams, active = 28000, 100
	w := ready(7)
	l := w.nodes[0].limiter
	for i := range teams {
		l.Allow(fmt.Sprint("team-", i), limitOf(testRate, testBurst))
	}
	for b.Loop() {
		for i := range active {
			l.Allow(fmt.Sprint("team-", i), limitOf(testRate, testBurst))
		}
		l.Tick(w.now)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
