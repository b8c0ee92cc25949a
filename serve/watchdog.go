package serve

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that makes no progress within a time limit.
type watchdog struct {
	timer    *time.Timer
	hasFired atomic.Bool
}

// newWatchdog starts a watchdog that calls cancel after limit.
func newWatchdog(cancel context.CancelFunc, limit time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(limit, func() {
		w.hasFired.Store(true)
		cancel()
	})
	return w
}

// reset restarts the watchdog with a new limit.
func (w *watchdog) reset(limit time.Duration) { w.timer.Reset(limit) }

// stop stops the watchdog until the next reset.
func (w *watchdog) stop() { w.timer.Stop() }

// fired reports whether the watchdog has canceled the attempt.
func (w *watchdog) fired() bool { return w.hasFired.Load() }
