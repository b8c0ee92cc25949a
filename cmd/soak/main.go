// Command soak runs gateways under seeded disruptions and checks invariants on
// what callers and endpoints see. It exits with status 1 if an invariant was
// violated or a run failed.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"redwingknot/internal/soak"
	"redwingknot/settings"
)

// options are the command's settings.
type options struct {
	runOptions  soak.Options
	firstSeed   int
	seedCount   int
	jobs        int
	logDir      string
	regressions bool // run the recorded seeds of earlier failures
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "soak", Short: "Run gateways under seeded disruptions", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
	}
	set := settings.New(cmd.Flags())
	set.Required(&o.runOptions.Gatewayd, "gatewayd", "target/gatewayd", "path of the gatewayd binary")
	set.Required(&o.logDir, "keep", "target/soak-logs", "directory for the logs of failed runs")
	set.Int(&o.firstSeed, "first", 0, 0, 1<<30, "seed", "first seed, 0 for a random one")
	set.Int(&o.seedCount, "seeds", 1, 1, 10000, "runs", "number of seeds to run")
	set.Int(&o.jobs, "jobs", 2, 1, 100, "runs", "number of concurrent runs")
	set.Duration(&o.runOptions.Duration, "duration", 12*time.Second, time.Second, time.Hour, "duration of the disruptions in a run")
	set.Int(&o.runOptions.Gateways, "gateways", 3, 1, 200, "processes", "number of gateways in a run")
	set.Int(&o.runOptions.Engines, "engines", 3, 1, 100, "stand-ins", "number of engines in a run")
	set.Int(&o.runOptions.Callers, "callers", 12, 1, 1000, "callers", "number of callers in a run")
	set.Int(&o.runOptions.LateCallers, "late-callers", 16, 1, 1000, "callers", "number of callers that send late on open connections in a run with stops")
	set.Bool(&o.runOptions.WeightSteps, "weights", false, "set new weights in quick succession in every run, not only in those of some seeds")
	set.Bool(&o.runOptions.CacheSteps, "cache", false, "add a cache store, longer prompts and preemptions in every run")
	set.Bool(&o.regressions, "regressions", false, "run the recorded seeds of earlier failures and ignore --first and --seeds")
	set.Bool(&o.runOptions.CheckTimeBounds, "timed", true, "also check invariants that have a time limit")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return o.runAll(ctx, cmd.OutOrStdout())
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ViolationsError reports that an invariant was violated in some of the runs. Broken
// is the number of those runs, Runs the number of all runs.
type ViolationsError struct{ Violating, Runs int }

// Error implements error.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("%d of %d runs violated an invariant", e.Violating, e.Runs)
}

// seedsToRun returns the recorded seeds of earlier failures if regressions is set,
// and otherwise seedCount consecutive seeds. It draws firstSeed if that is 0.
func (o *options) seedsToRun() []uint64 {
	var seeds []uint64
	if o.regressions {
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
		return seeds
	}
	if o.firstSeed == 0 {
		o.firstSeed = 1 + rand.IntN(1<<30)
	}
	for n := range o.seedCount {
		seeds = append(seeds, uint64(o.firstSeed+n))
	}
	return seeds
}

// runAll runs all seeds, at most jobs at the same time, and prints a report of
// each to out. It returns a *ViolationsError if an invariant was violated.
func (o *options) runAll(ctx context.Context, out io.Writer) error {
	var mu sync.Mutex // guards out and failed
	failed := 0
	seeds := o.seedsToRun()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			report, err := o.runSeed(ctx, seed)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			printReport(out, report)
			if len(report.Violations) > 0 {
				failed++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if failed > 0 {
		return &ViolationsError{failed, len(seeds)}
	}
	return nil
}

// runSeed runs one seed. It deletes the logs of the run unless the run failed or
// violated an invariant.
func (o *options) runSeed(ctx context.Context, seed uint64) (soak.Report, error) {
	runOptions := o.runOptions
	runOptions.Seed = seed
	runOptions.Dir = filepath.Join(o.logDir, fmt.Sprint(seed))
	if err := os.MkdirAll(runOptions.Dir, 0o755); err != nil {
		return soak.Report{}, errors.Wrap(err, "create directory of the run")
	}
	report, err := soak.Run(ctx, runOptions)
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(runOptions.Dir)
	}
	return report, err
}

// printReport prints a summary of r and, if an invariant was violated, the steps
// and the violations.
func printReport(out io.Writer, r soak.Report) {
	fmt.Fprintf(out, "seed %d: %d steps, %d calls, by status %v, %d violations\n", r.Seed, len(r.Steps), r.Calls, r.Statuses, len(r.Violations))
	if r.InStops != (soak.StopCounts{}) {
		fmt.Fprintf(out, "  %s\n", r.InStops)
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, s := range r.Steps {
		fmt.Fprintf(out, "  step %s\n", s)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %s\n", v)
	}
}
