// Command standin runs a stand-in, which is a fake of one of the external systems
// that redwingknot works with. The demo scripts and tests use it.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"redwingknot/engine"
	"redwingknot/internal/standin"
	appstandin "redwingknot/internal/standin/app"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/internal/standin/kvs"
	storestandin "redwingknot/internal/standin/store"
	"redwingknot/store"
)

// crashExitCode is the exit code of an engine stand-in that a prompt made crash.
const crashExitCode = 3

func main() {
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external system", SilenceUsage: true}
	listen := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to listen on")
	root.AddCommand(keyValueCommand(listen), engineCommand(listen), storeCommand(listen), appCommand(listen), fleetStoreCommand(listen), fleetWorkerCommand(listen),
		getCommand(), postCommand(), sendCommand(), metricCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// newServeCommand returns a command that serves the handler that newHandler
// returns. newHandler is called after the flags are parsed.
func newServeCommand(use, short string, listen *string, newHandler func() http.Handler) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return standin.Serve(cmd.Context(), *listen, newHandler())
	}}
}

// keyValueCommand returns the command that runs a stand-in for the platform's
// key-value service, which entry instances use. Gateways use the metadata store
// that fleetStoreCommand stands in for.
func keyValueCommand(listen *string) *cobra.Command {
	var o kvs.Options
	c := newServeCommand("kvs", "Run a stand-in for the platform's key-value service", listen, func() http.Handler { return kvs.New(o) })
	c.Flags().Float64Var(&o.WritesPerSecond, "writes", 0, "maximum writes per second, 0 for no limit")
	c.Flags().Float64Var(&o.ReadsPerSecond, "reads", 0, "maximum reads per second, 0 for no limit")
	c.Flags().DurationVar(&o.Delay, "delay", 0, "time added to every call")
	return c
}

// engineCommand returns the command that runs a stand-in for a model engine.
func engineCommand(listen *string) *cobra.Command {
	o := enginestandin.Options{Mover: blockMover{}, Crash: func() { os.Exit(crashExitCode) }}
	c := newServeCommand("engine", "Run a stand-in for a model engine", listen, func() http.Handler { return enginestandin.New(o) })
	f := c.Flags()
	f.StringVar(&o.Model, "model", "", "model that is loaded")
	f.StringVar(&o.Version, "version", "", "weight version that is loaded")
	f.IntVar(&o.Slots, "slots", 8, "requests processed at the same time")
	f.IntVar(&o.PrefillRate, "prefill-rate", 20000, "prompt tokens prefilled per second")
	f.DurationVar(&o.TokenInterval, "token-every", 20*time.Millisecond, "time between tokens")
	f.IntVar(&o.AnswerTokens, "answer-tokens", 32, "tokens in an answer")
	f.IntVar(&o.PieceTokens, "piece-tokens", 2000, "prompt tokens per cache piece")
	f.IntVar(&o.CachePieces, "cache-pieces", 64, "capacity of the cache in pieces")
	f.IntVar(&o.BlockBytes, "block-bytes", 64<<10, "size of a block in bytes")
	f.DurationVar(&o.LoadTime, "load-time", 300*time.Millisecond, "time to load weights")
	f.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an outdated fencing token")
	f.DurationVar(&o.ReportLag, "report-lag", 0, "minimum age of the load reports served")
	return c
}

// storeCommand returns the command that runs a stand-in for a block store.
func storeCommand(listen *string) *cobra.Command {
	var o storestandin.Options
	c := newServeCommand("store", "Run a stand-in for a store of KV cache blocks", listen, func() http.Handler { return storestandin.New(o) })
	c.Flags().Int64Var(&o.MemoryBytes, "memory", 64<<20, "memory capacity in bytes")
	c.Flags().Int64Var(&o.DiskBytes, "disk", 256<<20, "disk capacity in bytes")
	return c
}

// appCommand returns the command that runs a stand-in for the application behind
// a plain service.
func appCommand(listen *string) *cobra.Command {
	var delay time.Duration
	c := newServeCommand("app", "Run a stand-in for the application behind a plain service", listen, func() http.Handler { return appstandin.New(delay) })
	c.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time before a call is answered")
	return c
}

// blockMover copies blocks between the engine stand-in and a store, as the code
// of a real engine would.
type blockMover struct{}

func (blockMover) Put(ctx context.Context, url string, ref engine.BlockRef, content []byte, rate int64) error {
	_, err := store.NewClient(url, http.DefaultClient).Put(ctx, ref, content, rate)
	return err
}

func (blockMover) Get(ctx context.Context, url string, ref engine.BlockRef, rate int64) ([]byte, error) {
	return store.NewClient(url, http.DefaultClient).Get(ctx, ref, rate)
}
