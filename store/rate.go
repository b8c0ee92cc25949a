package store

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// rateChunkBytes is the maximum number of bytes that a limitedReader reads at once.
const rateChunkBytes = 64 << 10

// limitedReader reads from r at the rate of the limiter. A Read fails when ctx ends.
type limitedReader struct {
	ctx     context.Context
	r       io.Reader
	limiter *rate.Limiter
}

// limitReader returns a reader of r that is limited to bytesPerSecond, or r itself
// if that is 0 or less.
func limitReader(ctx context.Context, r io.Reader, bytesPerSecond int64) io.Reader {
	if bytesPerSecond <= 0 {
		return r
	}
	return &limitedReader{ctx: ctx, r: r, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), rateChunkBytes)}
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p[:min(len(p), rateChunkBytes)])
	if n > 0 {
		if waitErr := l.limiter.WaitN(l.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}
