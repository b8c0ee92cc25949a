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

// measureEnv is the environment variable that enables the measurements below.
const measureEnv = "REDWINGKNOT_MEASURE"

// arrivalDistribution is a distribution of a team's requests over the instances.
type arrivalDistribution struct {
	name   string
	weight func(i int) float64 // relative weight of instance i; nil if all requests move on every 20 s
}

var arrivalDistributions = []arrivalDistribution{
	{"even", func(int) float64 { return 1 }},
	{"zipf", func(i int) float64 { return 1 / float64(i+1) }},
	{"one instance", func(i int) float64 { return math.Max(0, float64(1-i)) }},
	{"moves every 20 s", nil},
}

// TestMeasureShares prints results for a team whose request rate is a multiple of its
// limit: the admitted fraction of the requests that the limit allows, the maximum
// number of requests admitted in any window above rate times time, and the ratio of
// the lowest to the highest admitted fraction of any instance.
func TestMeasureShares(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	fmt.Println("| nodes | arrivals | offered/limit | floor | admitted/allowed | above rate x time (burst 20) | lowest/highest admitted part |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, nodes := range []int{7, 64} {
		for _, distribution := range arrivalDistributions {
			for _, load := range []float64{0.8, 2} {
				for _, floor := range []float64{0.1, 0.3, 0.5, 1} {
					measureShares(nodes, distribution, load, floor)
				}
			}
		}
	}
}

// measureShares prints the row of one configuration.
func measureShares(nodes int, distribution arrivalDistribution, load, floor float64) {
	const rate, burst, seconds = 200, 20, 120
	s := newSimulation(Config{Floor: floor}, 1)
	for range nodes {
		s.start()
	}
	s.propagateMembers()
	s.tick()
	s.now = s.now.Add(s.cfg.HomeDelay + time.Second)
	rng := rand.New(rand.NewPCG(2, 2))
	offered, admitted := make([]float64, nodes), make([]float64, nodes)
	var bucket leakyBucket
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += step {
		s.now = s.now.Add(step)
		bucket.drain(rate, step)
		s.deliver()
		if elapsed%s.cfg.Interval == 0 {
			s.tick()
		}
		weight := distribution.weight
		if weight == nil {
			loaded := int(elapsed/(20*time.Second)) % nodes
			weight = func(i int) float64 {
				if i == loaded {
					return 1
				}
				return 0
			}
		}
		var sum float64
		for i := range nodes {
			sum += weight(i)
		}
		for i, n := range s.nodes {
			arrivals := poisson(rng, load*rate*step.Seconds()*weight(i)/sum)
			for range arrivals {
				offered[i]++
				if ok, _ := n.limiter.Allow("ilala", teamLimit(rate, burst)); ok {
					admitted[i]++
					bucket.admit()
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
	fmt.Printf("| %d | %s | %.1f | %.1f | %.2f | %.1f | %.2f |\n", nodes, distribution.name, load, floor, total/allowed, bucket.peak, lowest/highest)
}

// poisson returns a random number with a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// TestMeasureExchange prints the messages and bytes per second and node. Each request
// and reply counts with its envelope and the transport's headers. The load per node
// is that of the target deployment: 9,900 requests per second over 380 nodes, and
// 28,000 teams of which a thousandth has a hundred times the requests of the others.
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

// headerBytes is the size of the headers in one direction of an exchange: those of
// two TCP segments with an acknowledgement, and of the yamux frames that open, carry
// and close a stream.
const headerBytes = 52 + 26 + 3*12 + 4

// framedSize returns the size of a message with its wire envelope and headers.
func framedSize(m *Message) int {
	return proto.Size(&wirepb.Request{Method: methodExchange, BudgetMs: 3000, Payload: make([]byte, proto.Size(m))}) + headerBytes
}

// measureExchange prints the row of one configuration.
func measureExchange(nodes int, interval time.Duration) {
	// nodeRate is in requests per second. A large team has largeFactor times the
	// requests of a small one.
	const nodeRate, teams, largeTeams, largeFactor = 26, 28000, 28, 100
	s := newSimulation(Config{Interval: interval, Lease: 3 * interval, HomeDelay: 8 * interval}, 1)
	var framedBytes int
	s.messageSize = func(m *Message) int { framedBytes += framedSize(m); return proto.Size(m) }
	for range nodes {
		s.start()
	}
	s.propagateMembers()
	s.tick()
	s.now = s.now.Add(s.cfg.HomeDelay + time.Second)
	rng := rand.New(rand.NewPCG(3, 3))
	weights := float64(teams-largeTeams) + largeTeams*largeFactor
	mean := nodeRate * float64(nodes) / weights // requests per second of a small team
	const seconds = 60
	s.messages, s.bytes, framedBytes = 0, 0, 0
	var requests, refused float64
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += step {
		s.now = s.now.Add(step)
		s.deliver()
		if elapsed%interval == 0 {
			s.tick()
		}
		for _, n := range s.nodes {
			for range poisson(rng, nodeRate*step.Seconds()) {
				team, limit := rng.IntN(teams-largeTeams), teamLimit(max(10*mean, 1), 20)
				if rng.Float64()*weights < largeTeams*largeFactor {
					team, limit = teams-1-rng.IntN(largeTeams), teamLimit(max(2*largeFactor*mean, 1), 20)
				}
				requests++
				if ok, _ := n.limiter.Allow(fmt.Sprint(team), limit); !ok {
					refused++
				}
			}
		}
	}
	perNodeSecond := func(n int) float64 { return float64(n) / seconds / float64(nodes) }
	// Each node sends its part and receives the same amount, hence the factor 2.
	fmt.Printf("| %d | %s | %.1f | %.0f | %.0f | %.4f |\n", nodes, interval, 2*perNodeSecond(s.messages), 2*perNodeSecond(s.bytes), 2*perNodeSecond(framedBytes), refused/requests)
}

// BenchmarkAllow measures Allow with 28,000 active teams, and the memory per team.
func BenchmarkAllow(b *testing.B) {
	const teams = 28000
	s := newReadySimulation(1)
	before := heapBytes()
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
		s.nodes[0].limiter.Allow(names[i], teamLimit(testRate, testBurst))
	}
	perTeam := float64(heapBytes()-before) / teams
	limit := teamLimit(testRate, testBurst)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.nodes[0].limiter.Allow(names[i%teams], limit)
		i++
	}
	b.ReportMetric(perTeam, "bytes/team")
}

// BenchmarkTick measures Tick with 28,000 known teams, 100 of them active.
func BenchmarkTick(b *testing.B) {
	const teams, active = 28000, 100
	s := newReadySimulation(7)
	l := s.nodes[0].limiter
	for i := range teams {
		l.Allow(fmt.Sprint("team-", i), teamLimit(testRate, testBurst))
	}
	for b.Loop() {
		for i := range active {
			l.Allow(fmt.Sprint("team-", i), teamLimit(testRate, testBurst))
		}
		l.Tick(s.now)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
