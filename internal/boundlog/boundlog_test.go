package boundlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFloodIsBoundedAndNeverBlocks logs many lines while Run does not write any:
// logging must not block, and dropped lines must be counted by event.
func TestFloodIsBoundedAndNeverBlocks(t *testing.T) {
	l := New(Options{InfoPerSec: 10, WarnPerSec: 20, QueueLines: 8})
	log := slog.New(l)
	for range 10000 {
		log.Info("served")
		log.Warn("refused")
	}
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, &out, func(map[string]int) {})
	dropped := l.queue.takeDropped()
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, written+dropped["served"]+dropped["refused"]+dropped["queue-full"], 20000)
	assert.Check(t, written <= 8, "%d", written)
}

// TestWarningsHaveSeparateRateLimit checks that a warning is logged although the
// info lines before it have used up their rate limit.
func TestWarningsHaveSeparateRateLimit(t *testing.T) {
	l := New(Options{InfoPerSec: 1, WarnPerSec: 50, QueueLines: 100})
	log := slog.New(l).With("instance", "i")
	for range 100 {
		log.Info("served")
	}
	log.Warn("refused")
	var out bytes.Buffer
	l.flush(&out)
	assert.Check(t, strings.Contains(out.String(), "refused"))
	assert.Check(t, strings.Contains(out.String(), `"instance":"i"`))
	assert.Check(t, l.Enabled(context.Background(), slog.LevelInfo))
	_, err := io.WriteString(l.queue, "x\n")
	assert.NilError(t, err)
}
