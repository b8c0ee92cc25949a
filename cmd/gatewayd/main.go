// Command gatewayd runs a gateway instance on the users' platform as a daemon.
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
	"redwingknot/internal/drainlistener"
	"redwingknot/internal/hangup"
	"redwingknot/membudget"
	"redwingknot/platform"
	"redwingknot/relay"
	"redwingknot/settings"
)

const (
	exitFailure = 1
	// memoryShare is the fraction of the memory limit in the settings file that
	// becomes the Go memory limit. The rest is left for stacks of the runtime and
	// unread data in socket buffers.
	memoryShare = 0.6
	// bodyShare is the fraction of the memory limit in the settings file that
	// request bodies may use.
	bodyShare = 0.15
	// responseShare is the same for the parts of endpoints' responses that are not passed on yet.
	responseShare = 0.1
	// headShare is the same for the heads of callers' requests.
	headShare = 0.1
	// maxHeaderBytes is the HTTP server's limit for the headers of a request. It is
	// above the limit that configurations set for headers.
	maxHeaderBytes = 64 << 10
	// settingsPollInterval is the interval of the checks whether the settings file
	// has changed; they find changes for which no SIGHUP was sent.
	settingsPollInterval = 2 * time.Second
)

// options are the settings from flags and environment variables. All other
// settings come from the platform's settings file.
type options struct {
	metricsPort int
	logLevel    string
	moveStreams bool
	rampUp      bool
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "gatewayd", Short: "Run a gateway instance on the users' platform", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
	}
	set := settings.New(cmd.Flags())
	set.Int(&o.metricsPort, "metrics-port", 0, 0, 65535, "port", "port for metrics, 0 for none")
	set.OneOf(&o.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "minimum level of log events")
	set.Bool(&o.moveStreams, "move-streams", false, "move running streams away from engines that prefill long prompts, where the configuration says that engines can do that")
	set.Bool(&o.rampUp, "ramp-up", false, "ramp up endpoints of all services that have started or recovered, not only of services with cold_start_s")
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		return run(o)
	}
	exit(cmd.Execute())
}

// run runs the gateway until SIGTERM, SIGINT or an error.
func run(o options) error {
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
	go watchSettings(ctx, path, hangup.Signals(), log)
	g := s.GatewayOptions(relay.Options{
		Log: log, Now: boottime.Now, MoveStreams: o.moveStreams, SeparatePrefill: o.moveStreams, RampUp: o.rampUp,
		MaxBodyBytes:   int64(bodyShare * float64(s.MemoryMiB) * (1 << 20)),
		ResponseMemory: membudget.New(int64(responseShare * float64(s.MemoryMiB) * (1 << 20))),
	})
	g.MaxHeaderBytes = maxHeaderBytes
	g.Callers = drainlistener.Limits{
		MaxConns: drainlistener.MaxConns(descriptors(s)), Heads: membudget.New(int64(headShare * float64(s.MemoryMiB) * (1 << 20))),
	}
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

// descriptors returns the number of descriptors that the process may have open.
func descriptors(s platform.Settings) int {
	if n := drainlistener.Descriptors(); s.Descriptors == 0 || n < s.Descriptors {
		return n
	}
	return s.Descriptors
}

// startLog returns a logger that writes to standard output from a goroutine, and
// a function that writes the events still queued and stops that goroutine.
func startLog(o options) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.logLevel)); err != nil {
		level = slog.LevelInfo // not reached: settings.Set.Check has validated it
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

// watchSettings validates the settings file again on SIGHUP and when the file
// changes, until ctx ends. It applies nothing: a changed setting takes effect only
// at a restart. It reports an invalid file, so that the fault is known before
// the restart.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, log *slog.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastModified := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		modified := modTime(path)
		if !signalled && modified.Equal(lastModified) {
			continue
		}
		lastModified = modified
		if _, err := platform.LoadSettings(path); err != nil {
			event.SettingsAtFault.Log(log, slog.String("error", err.Error()))
			continue
		}
		event.SettingsReloaded.Log(log, slog.Bool("signalled", signalled))
	}
}

// modTime returns the modification time of the file at path, or the zero time if
// the file can't be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// exit prints err to standard error and ends the process with the matching exit
// code. It returns if err is nil.
func exit(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var flagFaults *settings.FaultsError
	var settingsFault *platform.SettingsError
	if errors.As(err, &flagFaults) || errors.As(err, &settingsFault) {
		os.Exit(settings.ExitCode)
	}
	os.Exit(exitFailure)
}
