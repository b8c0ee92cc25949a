// Command gatewayd is the daemon of an instance on the users' machines.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/event"
	"redwingknot/gateway"
	"redwingknot/internal/boottime"
	"redwingknot/internal/boundlog"
	"redwingknot/platform"
	"redwingknot/relay"
	"redwingknot/settings"
)

const (
	exitFailure = 1
	// memoryShare is the part of the machine's memory that Go may fill; the rest
	// is for stacks of the runtime and unread bytes of sockets.
	memoryShare = 0.6
	// bodyShare is the part for request bodies.
	bodyShare = 0.15
	// maxHeader is above the limit that configurations set for headers.
	maxHeader = 64 << 10
	// reloadInterval is the time between looks whether the settings file has
	// changed without a signal.
	reloadInterval = 2 * time.Second
)

// options are the settings of this daemon's own.
type options struct {
	metricsPort int
	logLevel    string
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "gatewayd", Short: "Run an instance on the users' machines", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
	}
	set := settings.New(cmd.Flags())
	set.Int(&o.metricsPort, "metrics-port", 0, 0, 65535, "port", "port for metrics, 0 for none")
	set.OneOf(&o.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "least level of log events")
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		return run(o)
	}
	exit(cmd.Execute())
}

func run(o options) error {
	// Before anything else: until a handler is there, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv(platform.EnvSettings)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMiB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := startLog(o)
	defer flush()
	go watchSettings(ctx, path, hup, log)
	g := s.GatewayOptions(relay.Options{
		Log: log, Now: boottime.Now, MaxBodyBytes: int64(bodyShare * float64(s.MemoryMiB) * (1 << 20)),
	})
	g.MaxHeaderBytes = maxHeader
	if o.metricsPort != 0 {
		g.MetricsAddr = net.JoinHostPort(s.Host(), strconv.Itoa(o.metricsPort))
	}
	if err := gateway.New(g).Run(ctx); err != nil {
		event.ProcessFailed.Log(log, slog.Any("error", err))
		return err
	}
	event.ProcessStopped.Log(log)
	return nil
}

// startLog returns the process's log and a function that writes what waits.
func startLog(o options) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.logLevel)); err != nil {
		level = slog.LevelInfo // checked before
	}
	handler := boundlog.New(boundlog.Options{Level: level})
	log := slog.New(handler)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		handler.Run(ctx, os.Stdout, func(dropped map[string]int) {
			event.LogDropped.Log(log, slog.Any("dropped", dropped))
		})
	}()
	return log, func() {
		cancel()
		<-done
	}
}

// watchSettings checks the settings file again on SIGHUP and when it changes.
// Nothing in it can change within a process's life but what a restart takes up;
// a file at fault is reported before that.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, log *slog.Logger) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	changed := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		m := modTime(path)
		if !signalled && m.Equal(changed) {
			continue
		}
		changed = m
		if _, err := platform.LoadSettings(path); err != nil {
			event.SettingsAtFault.Log(log, slog.String("error", err.Error()))
			continue
		}
		event.SettingsReloaded.Log(log, slog.Bool("signalled", signalled))
	}
}

// modTime returns a file's time of change, zero if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func exit(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var own *settings.FaultsError
	var given *platform.SettingsError
	if errors.As(err, &own) || errors.As(err, &given) {
		os.Exit(settings.ExitCode)
	}
	os.Exit(exitFailure)
}
