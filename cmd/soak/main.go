// Command soak runs gateways under seeded disruptions and checks what callers
// and endpoints see. It ends with status 1 if a promise was broken.
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

// options are the settings of the command.
type options struct {
	run   soak.Options
	first int
	seeds int
	jobs  int
	keep  string
	again bool // run the seeds that failed before
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "soak", Short: "Run gateways under seeded disruptions", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
	}
	set := settings.New(cmd.Flags())
	set.Required(&o.run.Gatewayd, "gatewayd", "target/gatewayd", "path of the program to run")
	set.Required(&o.keep, "keep", "target/soak-logs", "folder for the logs of failed runs")
	set.Int(&o.first, "first", 0, 0, 1<<30, "seed", "first seed, 0 to draw one")
	set.Int(&o.seeds, "seeds", 1, 1, 10000, "runs", "number of seeds to run")
	set.Int(&o.jobs, "jobs", 2, 1, 100, "runs", "runs at the same time")
	set.Duration(&o.run.Duration, "duration", 12*time.Second, time.Second, time.Hour, "time of disruptions in a run")
	set.Int(&o.run.Gateways, "gateways", 3, 1, 100, "processes", "gateways of a run")
	set.Int(&o.run.Engines, "engines", 3, 1, 100, "stand-ins", "engines of a run")
	set.Int(&o.run.Callers, "callers", 12, 1, 1000, "callers", "callers of a run")
	set.Bool(&o.again, "regressions", false, "run the seeds that failed before instead")
	set.Bool(&o.run.Timed, "timed", true, "check promises with a bound on time, too")
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

// ViolationsError reports how many runs broke a promise.
type ViolationsError struct{ Broken, Runs int }

// Error implements error.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("%d of %d runs broke a promise", e.Broken, e.Runs)
}

// list returns the seeds to run.
func (o *options) list() []uint64 {
	var seeds []uint64
	if o.again {
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
		return seeds
	}
	if o.first == 0 {
		o.first = 1 + rand.IntN(1<<30)
	}
	for n := range o.seeds {
		seeds = append(seeds, uint64(o.first+n))
	}
	return seeds
}

// runAll runs the seeds, some at a time.
func (o *options) runAll(ctx context.Context, out io.Writer) error {
	var mu sync.Mutex // of out and broken
	broken := 0
	seeds := o.list()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			report, err := o.one(ctx, seed)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			print(out, report)
			if len(report.Violations) > 0 {
				broken++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if broken > 0 {
		return &ViolationsError{broken, len(seeds)}
	}
	return nil
}

// one runs a seed. The logs of a run that broke a promise are kept.
func (o *options) one(ctx context.Context, seed uint64) (soak.Report, error) {
	run := o.run
	run.Seed = seed
	run.Dir = filepath.Join(o.keep, fmt.Sprint(seed))
	if err := os.MkdirAll(run.Dir, 0o755); err != nil {
		return soak.Report{}, errors.Wrap(err, "folder of the run")
	}
	report, err := soak.Run(ctx, run)
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(run.Dir)
	}
	return report, err
}

func print(out io.Writer, r soak.Report) {
	fmt.Fprintf(out, "seed %d: %d steps, %d calls, by status %v, %d promises broken\n", r.Seed, len(r.Steps), r.Calls, r.Statuses, len(r.Violations))
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
