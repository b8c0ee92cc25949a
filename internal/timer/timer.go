// Package timer waits under a context.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx is still live. A d of 0 or less
// does not wait.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return Wait(ctx, nil, d)
}

// Wait returns when wake is closed or after d, and reports whether ctx is still
// live; it returns at once when ctx ends.
func Wait(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

// Every calls do at each interval until ctx ends; it returns nil.
func Every(ctx context.Context, interval time.Duration, do func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			do()
		}
	}
}
