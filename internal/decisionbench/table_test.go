package decisionbench

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// benchEnv names the environment variable that has the tables printed.
const benchEnv = "REDWINGKNOT_BENCH"

// maxParallelRuns is the largest number of runs at the same time.
const maxParallelRuns = 3

func testSeed() uint64 { return 20261203 }

// runAll runs the setups and returns their results in order.
func runAll(setups []Setup) []Result {
	results := make([]Result, len(setups))
	var group sync.WaitGroup
	running := make(chan struct{}, maxParallelRuns)
	for i, s := range setups {
		running <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = Run(s)
			<-running
		}()
	}
	group.Wait()
	return results
}

// TestRunIsDeterministic checks that two runs of the same setup give the same
// result.
func TestRunIsDeterministic(t *testing.T) {
	s := Setup{
		Deployment: Authority(), Routing: Score, Admission: Worth, Retries: Budgeted,
		Fault: WorkerLost, Load: 1, Seconds: 4, Seed: testSeed(),
	}
	a, b := Run(s), Run(s)
	assert.Assert(t, a.offered > 0)
	assert.Equal(t, a.String(), b.String())
}

// loads are the loads of the tables, as shares of the capacity.
var loads = []float64{0.7, 1.0, 1.5}

// maxUnscaledWorkers is at least the number of workers of every deployment that is not
// scaled up, and less than that of any scaled-up one.
const maxUnscaledWorkers = 100

// measuredSeconds returns the measured time of a run in seconds. It is shorter for
// scaled-up deployments, which get more requests a second.
func measuredSeconds(d Deployment) float64 {
	const unscaled, scaled = 40, 15
	if d.Workers > maxUnscaledWorkers {
		return scaled
	}
	return unscaled
}

func deployments() []Deployment {
	list := []Deployment{Authority(), CoOp()}
	if os.Getenv(benchEnv) == "full" {
		list = append(list, Authority().Scaled(20, 24), CoOp().Scaled(10, 24))
	}
	return list
}

// TestTable prints tables that compare all policies of each decision. It checks
// nothing.
func TestTable(t *testing.T) {
	if os.Getenv(benchEnv) == "" {
		t.Skip("set " + benchEnv + "=1, or =full for the scaled-up deployments")
	}
	for _, d := range deployments() {
		printTable(d, "routing", routingSetups(d))
		if d.Workers <= maxUnscaledWorkers {
			printTable(d, "admission", admissionSetups(d))
			printTable(d, "retries", retrySetups(d))
			printTable(d, "caller budgets", budgetSetups(d))
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

// newSetups returns a setup for each fault, load and variant. A variant is a function
// that changes the setup.
func newSetups(d Deployment, faults []Fault, variants ...func(*Setup)) []Setup {
	var setups []Setup
	for _, f := range faults {
		for _, l := range loads {
			for _, variant := range variants {
				s := Setup{
					Deployment: d, Routing: Score, Admission: Worth, Retries: Budgeted,
					Fault: f, Load: l, Seconds: measuredSeconds(d), Seed: testSeed(),
				}
				variant(&s)
				setups = append(setups, s)
			}
		}
	}
	return setups
}

func routingSetups(d Deployment) []Setup {
	var variants []func(*Setup)
	for _, routing := range RoutingPolicies {
		variants = append(variants, func(s *Setup) { s.Routing = routing })
	}
	return newSetups(d, Faults, variants...)
}

func admissionSetups(d Deployment) []Setup {
	return newSetups(d, []Fault{NoFault, WorkerLost, LateReports},
		func(s *Setup) { s.Admission = FirstCome },
		func(s *Setup) { s.Admission = Worth })
}

// retrySetups returns the setups that compare retry policies. They admit every
// request, so that workers reject some and cause retries.
func retrySetups(d Deployment) []Setup {
	return newSetups(d, []Fault{NoFault, WorkerLost},
		func(s *Setup) { s.Admission, s.Retries, s.Seconds = FirstCome, Unlimited, 15 },
		func(s *Setup) { s.Admission, s.Retries, s.Seconds = FirstCome, Budgeted, 15 })
}

// budgetSetups returns the setups whose callers leave early, without and with a
// budget header.
func budgetSetups(d Deployment) []Setup {
	return newSetups(d, []Fault{NoFault, LateReports},
		func(s *Setup) { s.Patience = LeaveUnannounced },
		func(s *Setup) { s.Patience = LeaveAnnounced })
}

// TestSeedSpread prints the spread over seeds of the two best routing policies, so
// that real differences can be told from noise. It checks nothing.
func TestSeedSpread(t *testing.T) {
	if os.Getenv(benchEnv) == "" {
		t.Skip("set " + benchEnv + "=1")
	}
	const seeds = 8
	fmt.Printf("%-10s %-10s %4s %-13s %18s %8s\n", "deployment", "fault", "load", "routing", "worth (range)", "p95 ms")
	for _, d := range []Deployment{Authority(), CoOp()} {
		for _, f := range []Fault{NoFault, LateReports} {
			for _, s := range newSetups(d, []Fault{f}, func(s *Setup) { s.Routing = BoundedHash }, func(s *Setup) {}) {
				printSeedSpread(s, seeds)
			}
		}
	}
}

func printSeedSpread(s Setup, seeds int) {
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
