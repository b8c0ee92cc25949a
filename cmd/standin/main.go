// Command standin runs one of the small stand-ins of outside systems that tests
// and the demo use.
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

// crashCode is the exit code of an engine that a prompt has crashed.
const crashCode = 3

func main() {
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in of an outside system", SilenceUsage: true}
	listen := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to serve")
	root.AddCommand(keyValue(listen), engineCommand(listen), storeCommand(listen), appCommand(listen), fleetStoreCommand(listen), fleetWorkerCommand(listen),
		getCommand(), postCommand(), sendCommand(), metricCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// serving returns a command that serves the handler that build makes.
func serving(use, short string, listen *string, build func() http.Handler) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return standin.Serve(cmd.Context(), *listen, build())
	}}
}

func keyValue(listen *string) *cobra.Command {
	var o kvs.Options
	c := serving("kvs", "The platform's key-value service", listen, func() http.Handler { return kvs.New(o) })
	c.Flags().Float64Var(&o.WritesPerSecond, "writes", 0, "writes a second, 0 for no limit")
	c.Flags().Float64Var(&o.ReadsPerSecond, "reads", 0, "reads a second, 0 for no limit")
	c.Flags().DurationVar(&o.Delay, "delay", 0, "time that a call takes")
	return c
}

func engineCommand(listen *string) *cobra.Command {
	o := enginestandin.Options{Mover: mover{}, Crash: func() { os.Exit(crashCode) }}
	c := serving("engine", "A model engine", listen, func() http.Handler { return enginestandin.New(o) })
	f := c.Flags()
	f.StringVar(&o.Model, "model", "", "model loaded")
	f.StringVar(&o.Version, "version", "", "weight version loaded")
	f.IntVar(&o.Slots, "slots", 8, "requests run at once")
	f.IntVar(&o.PrefillRate, "prefill-rate", 20000, "prompt tokens a second")
	f.DurationVar(&o.TokenInterval, "token-every", 20*time.Millisecond, "time between tokens")
	f.IntVar(&o.AnswerTokens, "answer-tokens", 32, "tokens of an answer")
	f.IntVar(&o.PieceTokens, "piece-tokens", 2000, "prompt tokens of a cache piece")
	f.IntVar(&o.CachePieces, "cache-pieces", 64, "pieces that the cache holds")
	f.IntVar(&o.BlockBytes, "block-bytes", 64<<10, "size of a block")
	f.DurationVar(&o.LoadTime, "load-time", 300*time.Millisecond, "time to load weights")
	f.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	f.DurationVar(&o.ReportLag, "report-lag", 0, "age of reports")
	return c
}

func storeCommand(listen *string) *cobra.Command {
	var o storestandin.Options
	c := serving("store", "A store of KV cache blocks", listen, func() http.Handler { return storestandin.New(o) })
	c.Flags().Int64Var(&o.MemoryBytes, "memory", 64<<20, "bytes of memory")
	c.Flags().Int64Var(&o.DiskBytes, "disk", 256<<20, "bytes of disk")
	return c
}

func appCommand(listen *string) *cobra.Command {
	var delay time.Duration
	c := serving("app", "A plain application", listen, func() http.Handler { return appstandin.New(delay) })
	c.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time that a call takes")
	return c
}

// mover copies blocks for an engine as its own code would.
type mover struct{}

func (mover) Put(ctx context.Context, url string, ref engine.BlockRef, content []byte, rate int64) error {
	_, err := store.NewClient(url, http.DefaultClient).Put(ctx, ref, content, rate)
	return err
}

func (mover) Get(ctx context.Context, url string, ref engine.BlockRef, rate int64) ([]byte, error) {
	return store.NewClient(url, http.DefaultClient).Get(ctx, ref, rate)
}
