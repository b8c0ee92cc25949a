package gateway

import (
	"context"
	"sync"
	"time"

	"redwingknot/internal/timer"
)

const (
	// aliveInterval is the interval at which it is recorded that the process runs.
	aliveInterval = 100 * time.Millisecond
	// minSuspension is the time without a record from which on the process is taken to have been
	// suspended.
	minSuspension = 500 * time.Millisecond
	// pendingSignalTime is how long after a suspension a signal is taken to have been sent during
	// it. The kernel delivers such a signal at once.
	pendingSignalTime = 100 * time.Millisecond
)

// suspensionWatch knows when the process was last suspended. It is safe for concurrent use.
type suspensionWatch struct {
	mu          sync.Mutex
	aliveAt     time.Time // guarded by mu
	from, until time.Time // of the last suspension; guarded by mu
}

func newSuspensionWatch(now time.Time) *suspensionWatch { return &suspensionWatch{aliveAt: now} }

// run records that the process runs until ctx ends.
func (w *suspensionWatch) run(ctx context.Context) error {
	return timer.Every(ctx, aliveInterval, func() { w.record(time.Now()) })
}

// record records that the process runs at now.
func (w *suspensionWatch) record(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(now)
}

// recordLocked is record. The caller holds mu.
func (w *suspensionWatch) recordLocked(now time.Time) {
	if now.Sub(w.aliveAt) >= minSuspension {
		w.from, w.until = w.aliveAt, now
	}
	w.aliveAt = now
}

// signalSent returns the earliest time at which a signal may have been sent that is noticed at
// now.
//
// Load pattern: a process stands still for seconds and is told to stop meanwhile. The platform
// counts the grace period from the signal, and kills it while it answers what it has taken after
// it went on.
func (w *suspensionWatch) signalSent(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(now)
	if !w.until.IsZero() && now.Sub(w.until) <= pendingSignalTime {
		return w.from
	}
	return now
}
