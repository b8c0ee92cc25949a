// Command entryd runs an entry instance as a daemon.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/entry"
	"redwingknot/event"
	"redwingknot/settings"
)

// exitFailure is the exit code after an error other than invalid settings, which
// exit with settings.ExitCode.
const exitFailure = 1

func main() {
	var o entry.Options
	cmd := &cobra.Command{
		Use: "entryd", Short: "Run an entry instance", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
	}
	set := settings.New(cmd.Flags())
	o.Bind(set)
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		return run(o)
	}
	exit(cmd.Execute())
}

// run runs the instance until SIGTERM, SIGINT or an error.
func run(o entry.Options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetMemoryLimit(int64(o.MemoryMiB) << 20)
	log := newLogger(o.LogLevel)
	e, err := entry.New(o, log)
	if err != nil {
		return err
	}
	if err := e.Run(ctx); err != nil {
		event.ProcessFailed.Log(log, slog.Any("error", err))
		return err
	}
	event.ProcessStopped.Log(log)
	return nil
}

// newLogger returns a logger that writes JSON to standard error. An unknown level
// means info.
func newLogger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

// exit prints err to standard error and ends the process with the matching exit
// code. It returns if err is nil.
func exit(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		os.Exit(settings.ExitCode)
	}
	os.Exit(exitFailure)
}
