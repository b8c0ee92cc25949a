package store

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// rateChunkBytes is the most that a limited reader passes at once.
const rateChunkBytes = 64 << 10

// limitedReader passes at most the limiter's bytes a second.
type limitedReader struct {
	ctx     context.Context
	r       io.Reader
	limiter *rate.Limiter
}

// limitReader returns r itself if bytesPerSecond is 0.
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
		if wait := l.limiter.WaitN(l.ctx, n); wait != nil {
			return n, wait
		}
	}
	return n, err
}
