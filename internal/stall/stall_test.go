package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// dripReader returns a byte after each pause, without end, until ctx is done.
type dripReader struct {
	ctx   context.Context
	pause time.Duration
	left  int // bytes
}

// Read implements io.Reader.
func (r *dripReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.pause):
	}
	r.left--
	return copy(p, "x"), nil
}

func TestCallEndsAtTheLimitThatItExceeds(t *testing.T) {
	limits := Limits{Response: time.Second, Gap: 2 * time.Second, Total: 10 * time.Second}
	for _, c := range []struct {
		name      string
		header    time.Duration // until the header has arrived
		pause     time.Duration // before each byte of the body
		bytes     int
		wantLimit string // empty if the call succeeds
		wantAfter time.Duration
	}{
		{name: "progress", header: 900 * time.Millisecond, pause: 1900 * time.Millisecond, bytes: 4, wantAfter: 8500 * time.Millisecond},
		{name: "no header", header: time.Minute, wantLimit: "response", wantAfter: time.Second},
		{name: "stall", pause: 3 * time.Second, bytes: 4, wantLimit: "gap", wantAfter: 2 * time.Second},
		{name: "drip", pause: time.Second, bytes: 100, wantLimit: "total", wantAfter: 10 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			ctx, call := Start(t.Context(), limits)
			defer call.End()
			var err error
			select {
			case <-ctx.Done():
				err = context.Cause(ctx)
			case <-time.After(c.header):
				_, err = call.ReadAll(&dripReader{ctx: ctx, pause: c.pause, left: c.bytes}, 1<<20)
			}
			assert.Equal(t, time.Since(started), c.wantAfter, c.name)
			var limit *Error
			if c.wantLimit == "" {
				assert.NilError(t, err)
				return
			}
			assert.Check(t, errors.As(err, &limit), "%s: %v", c.name, err)
			assert.Equal(t, limit.Limit, c.wantLimit, c.name)
		})
	}
}
