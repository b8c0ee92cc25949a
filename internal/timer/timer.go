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
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
