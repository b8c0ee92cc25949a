package serve

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	timer *time.Timer
	late  atomic.Bool
}

func newWatchdog(cancel context.CancelFunc, limit time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(limit, func() {
		w.late.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) extend(limit time.Duration) { w.timer.Reset(limit) }
func (w *watchdog) stop()                      { w.timer.Stop() }
func (w *watchdog) fired() bool                { return w.late.Load() }
