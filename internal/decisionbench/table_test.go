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

func deployments() []Deployment {
	list := []Deployment{Authority(), CoOp()}
	if os.Getenv("REDWINGKNOT_BENCH") == "full" {
		list = append(list, Authority().Scaled(20, 24), CoOp().Scaled(10, 24))
	}
	return list
}

func TestTable(t *testing.T) {
	if os.Getenv(benchEnv) == "" {
		t.Skip("set " + benchEnv + "=1, or =full for the scaled-up deployments")
	}
	for _, d := range deployments() {
		t.Log(d.Name)
		var setups []Setup
		for _, f := range Faults {
			for _, l := range loads {
				for _, w := range Routings {
					setups = append(setups, Setup{
						Deployment: d, Routing: w, Admission: Worth, Retries: Budgeted,
						Fault: f, Load: l, Seconds: 40, Seed: testSeed(),
					})
				}
			}
		}
		results := runAll(setups)
		fmt.Printf("%-12s %4s %-13s %s\n", "fault", "load", "routing", Header)
		for i, s := range setups {
			fmt.Printf("%-12s %4.1f %-13s %s\n", s.Fault, s.Load, s.Routing, results[i].String())
		}
	}
}
