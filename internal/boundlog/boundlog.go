// Package boundlog writes log lines at a bounded rate without ever blocking the
// code that logs. Failures and changes, logged at slog.LevelWarn and above, have a
// larger rate limit than successes. Dropped lines are counted by event: the message
// of a record over its rate limit, or queue-full.
package boundlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options holds the limits of a Log. Zero fields except Level take defaults.
type Options struct {
	Level      slog.Level // lowest level that is logged
	InfoPerSec float64    // lines a second below slog.LevelWarn
	WarnPerSec float64    // lines a second at slog.LevelWarn and above
	QueueLines int        // lines that may wait to be written
}

// Defaults of Options, and the interval of the reports of dropped lines. At 400 bytes
// a line, 200 lines a second are 80 KB/s and take less than 1 % of a small instance's
// processor.
const (
	defaultInfoPerSec  = 60
	defaultWarnPerSec  = 140
	defaultQueue       = 512
	dropReportInterval = 5 * time.Second
)

// Log is a slog.Handler that queues JSON lines, which Run writes. It is safe for
// concurrent use.
type Log struct {
	slog.Handler
	queue *lineQueue
}

// lineQueue holds the rate limiters, the waiting lines and the drop counts that a
// Log shares with the handlers derived from it.
type lineQueue struct {
	infoLimiter *rate.Limiter // for lines below slog.LevelWarn
	warnLimiter *rate.Limiter // for lines at slog.LevelWarn and above
	lines       chan []byte

	mu      sync.Mutex
	dropped map[string]int // by event
}

// New returns a handler that queues JSON lines for Run.
func New(o Options) *Log {
	if o.InfoPerSec == 0 {
		o.InfoPerSec = defaultInfoPerSec
	}
	if o.WarnPerSec == 0 {
		o.WarnPerSec = defaultWarnPerSec
	}
	if o.QueueLines == 0 {
		o.QueueLines = defaultQueue
	}
	q := &lineQueue{
		infoLimiter: rate.NewLimiter(rate.Limit(o.InfoPerSec), int(o.InfoPerSec)),
		warnLimiter: rate.NewLimiter(rate.Limit(o.WarnPerSec), int(o.WarnPerSec)),
		lines:       make(chan []byte, o.QueueLines), dropped: map[string]int{},
	}
	return &Log{Handler: slog.NewJSONHandler(q, &slog.HandlerOptions{Level: o.Level}), queue: q}
}

// Handle implements slog.Handler. It drops and counts a record that exceeds the
// rate limit of its level.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	limiter := l.queue.infoLimiter
	if r.Level >= slog.LevelWarn {
		limiter = l.queue.warnLimiter
	}
	if !limiter.Allow() {
		l.queue.countDrop(r.Message)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Log{Handler: l.Handler.WithAttrs(attrs), queue: l.queue}
}

// WithGroup implements slog.Handler.
func (l *Log) WithGroup(name string) slog.Handler {
	return &Log{Handler: l.Handler.WithGroup(name), queue: l.queue}
}

// Write implements io.Writer. It queues a copy of line, or drops and counts it if
// the queue is full.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.countDrop("queue-full")
	}
	return len(line), nil
}

func (q *lineQueue) countDrop(event string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped[event]++
}

// Run writes queued lines to w until ctx is done, and then those still queued.
// It calls report every 5 s with the drop counts by event, if there are any.
func (l *Log) Run(ctx context.Context, w io.Writer, report func(dropped map[string]int)) {
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.flush(w)
			return
		case line := <-l.queue.lines:
			// A write error is ignored: there is nowhere to report it.
			_, _ = w.Write(line)
		case <-t.C:
			if d := l.queue.takeDropped(); len(d) > 0 {
				report(d)
			}
		}
	}
}

// flush writes the lines that are queued now.
func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.queue.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// takeDropped returns the drop counts by event and resets them.
func (q *lineQueue) takeDropped() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.dropped
	q.dropped = map[string]int{}
	return d
}
