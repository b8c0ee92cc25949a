package decisionbench

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const benchEnv = "REDWINGKNOT_BENCH"

// parallel bounds the cells that run at once.
const parallel = 3

func testSeed() uint64 { return 20261203 }

// runAll runs the cells and returns their results in order.
func runAll(setups []Setup) []Result {
	results := make([]Result, len(setups))
	var group sync.WaitGroup
	free := make(chan struct{}, parallel)
	for i, s := range setups {
		free <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = Run(s)
			<-free
		}()
	}
	group.Wait()
	return results
}

func TestRunRepeatsExactly(t *testing.T) {
	s := Setup{
		Deployment: Authority(), Routing: Score, Admission: Worth, Retries: Budgeted,
		Fault: WorkerLost, Load: 1, Seconds: 4, Seed: testSeed(),
	}
	a, b := Run(s), Run(s)
	assert.Assert(t, a.offered > 0)
	assert.Equal(t, a.String(), b.String())
}

var loads = []float64{0.7, 1.0, 1.5}

// todayWorkers bounds the deployments of today's size.
const todayWorkers = 100

// cellSeconds is the measured time of a cell; the scaled-up deployments have
// more requests in less.
func cellSeconds(d Deployment) float64 {
	const today, scaled = 40, 15
	if d.Workers > todayWorkers {
		return scaled
	}
	return today
}

func deployments() []Deployment {
	list := []Deployment{Authority(), CoOp()}
	if os.Getenv(benchEnv) == "full" {
		list = append(list, Authority().Scaled(20, 24), CoOp().Scaled(10, 24))
	}
	return list
}

// TestTable prints every rival of one decision side by side.
func TestTable(t *testing.T) {
	if os.Getenv(benchEnv) == "" {
		t.Skip("set " + benchEnv + "=1, or =full for the scaled-up deployments")
	}
	for _, d := range deployments() {
		printTable(d, "routing", routingCells(d))
		if d.Workers <= todayWorkers {
			printTable(d, "admission", admissionCells(d))
			printTable(d, "retries", retryCells(d))
			printTable(d, "caller budgets", budgetCells(d))
		}
	}
}

func printTable(d Deployment, title string, setups []Setup) {
	results := runAll(setups)
	fmt.Printf("\n%s: %s\n%-12s %4s %-13s %-10s %-9s %s\n", d.Name, title, "fault", "load", "routing", "admission", "retries", TableHeader)
	for i, s := range setups {
		fmt.Printf("%-12s %4.1f %-13s %-10s %-9s %s\n", s.Fault, s.Load, s.Routing, s.Admission, s.Retries, results[i].String())
	}
}

// cells returns a cell for each fault and load, changed by each of the ways.
func cells(d Deployment, faults []Fault, ways ...func(*Setup)) []Setup {
	var setups []Setup
	for _, f := range faults {
		for _, l := range loads {
			for _, way := range ways {
				s := Setup{
					Deployment: d, Routing: Score, Admission: Worth, Retries: Budgeted,
					Fault: f, Load: l, Seconds: cellSeconds(d), Seed: testSeed(),
				}
				way(&s)
				setups = append(setups, s)
			}
		}
	}
	return setups
}

func routingCells(d Deployment) []Setup {
	var ways []func(*Setup)
	for _, w := range RoutingPolicies {
		ways = append(ways, func(s *Setup) { s.Routing = w })
	}
	return cells(d, Faults, ways...)
}

func admissionCells(d Deployment) []Setup {
	return cells(d, []Fault{NoFault, WorkerLost, LateReports},
		func(s *Setup) { s.Admission = FirstCome },
		func(s *Setup) { s.Admission = Worth })
}

// retryCells leave admission open, so that workers do turn requests away.
func retryCells(d Deployment) []Setup {
	return cells(d, []Fault{NoFault, WorkerLost},
		func(s *Setup) { s.Admission, s.Retries, s.Seconds = FirstCome, Unlimited, 15 },
		func(s *Setup) { s.Admission, s.Retries, s.Seconds = FirstCome, Budgeted, 15 })
}

// budgetCells have callers that leave early; the hidden ones come first.
func budgetCells(d Deployment) []Setup {
	return cells(d, []Fault{NoFault, LateReports},
		func(s *Setup) { s.Patience = LeaveUnannounced },
		func(s *Setup) { s.Patience = LeaveAnnounced })
}

// TestNoise prints the spread over seeds of the two best ways to route, to tell
// a difference from noise.
func TestNoise(t *testing.T) {
	if os.Getenv(benchEnv) == "" {
		t.Skip("set " + benchEnv + "=1")
	}
	const seeds = 8
	fmt.Printf("%-10s %-10s %4s %-13s %18s %8s\n", "deployment", "fault", "load", "routing", "worth (range)", "p95 ms")
	for _, d := range []Deployment{Authority(), CoOp()} {
		for _, f := range []Fault{NoFault, LateReports} {
			for _, s := range cells(d, []Fault{f}, func(s *Setup) { s.Routing = BoundedHash }, func(s *Setup) {}) {
				printNoise(s, seeds)
			}
		}
	}
}

func printNoise(s Setup, seeds int) {
	setups := make([]Setup, seeds)
	for i := range setups {
		setups[i] = s
		setups[i].Seed = uint64(i)
	}
	mean, low, high, p95 := 0.0, 10.0, 0.0, 0.0
	results := runAll(setups)
	for i := range results {
		w := results[i].WorthShare()
		mean += w / float64(seeds)
		p95 += results[i].Quantile(0.95) / float64(seeds)
		low, high = min(low, w), max(high, w)
	}
	fmt.Printf("%-10s %-10s %4.1f %-13s %5.1f%% (%.1f..%.1f) %8.0f\n",
		s.Deployment.Name, s.Fault, s.Load, s.Routing, 100*mean, 100*low, 100*high, 1000*p95)
}
