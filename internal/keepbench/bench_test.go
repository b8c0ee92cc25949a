package keepbench

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tableEnv names the environment variable that has TestTable print its table.
const tableEnv = "REDWINGKNOT_BENCH"

const seed = 20261203

// TestTable prints a table that compares the figures of all policies. It checks
// nothing.
func TestTable(t *testing.T) {
	if os.Getenv(tableEnv) == "" {
		t.Skip("set " + tableEnv + " to print the table")
	}
	t.Logf("%-10s %-10s %4s  %-10s %7s %7s %7s  %6s  %6s  %6s  %6s", "deployment", "fault", "load", "policy", "p50 s", "p95 s", "p99 s", "recomp", "link", "worth", "n")
	for _, d := range []Deployment{Authority(), CoOp()} {
		for _, f := range []Fault{NoFault, StoreLost, StoreFull, SlowLink} {
			for _, load := range []float64{0.7, 1.0, 1.5} {
				for _, p := range Policies() {
					t.Logf("%-10s %-10s %4.1f  %-10s %s", d.Name, f, load, p.Name, Run(d, p, f, load, seed))
				}
			}
		}
	}
}

// shortDeployment returns a deployment whose runs are short.
func shortDeployment() Deployment {
	d := CoOp()
	d.WarmUp, d.MeasuredTime = 2*time.Minute, 2*time.Minute
	return d
}

// TestRunIsDeterministic checks that two runs with the same seed give the same
// figures.
func TestRunIsDeterministic(t *testing.T) {
	for _, p := range Policies() {
		first := Run(shortDeployment(), p, StoreLost, 1, seed)
		assert.DeepEqual(t, first, Run(shortDeployment(), p, StoreLost, 1, seed))
		assert.Assert(t, first.Prompts > 50)
	}
}
