package entry

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/instance"
	"redwingknot/internal/timer"
	"redwingknot/metric"
)

// restartDelay is the time after which a component that ended is restarted.
const restartDelay = time.Second

// component is a part of the instance that runs in the background until the instance
// stops.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// supervise runs a component until ctx ends. A component that returns or panics is
// restarted after restartDelay, so that a fault in a control component does not end
// callers' streams. The only error that supervise returns is an
// *instance.SupersededError, after which the instance must stop.
func supervise(ctx context.Context, c component, log *slog.Logger) error {
	for {
		err := runOnce(ctx, c, log)
		var superseded *instance.SupersededError
		if errors.As(err, &superseded) {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			event.ComponentFailed.Log(log, slog.String("component", c.name), slog.Any("error", err))
		}
		metric.Counter("component_restarts_total", "component", c.name).Inc(1)
		if !timer.Sleep(ctx, restartDelay) {
			return nil
		}
	}
}

// runOnce runs a component and returns its error, or a *PanicError if it panics.
func runOnce(ctx context.Context, c component, log *slog.Logger) (err error) {
	defer func() {
		if r := recover(); r != nil {
			event.ComponentPanic.Log(log, slog.String("component", c.name), slog.Any("panic", r), slog.String("stack", string(debug.Stack())))
			err = &PanicError{Component: c.name}
		}
	}()
	return c.run(ctx)
}
