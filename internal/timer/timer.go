// Package timer provides waits and periodic calls that end with a context.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done, and reports whether ctx is not done.
// It does not wait if d is 0 or less.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return Wait(ctx, nil, d)
}

// Wait returns true when wake is closed or receives a value, or after d, and
// false as soon as ctx is done. A nil wake is ignored.
func Wait(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// Every calls f at each interval until ctx is done. The first call comes after one
// interval. The result is always nil; it lets a task that returns an error end with
// a call of Every.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f()
		}
	}
}
