// Package boundlog writes log lines without ever blocking their writer, in a
// bounded volume: failures and changes have a larger budget than successes, and
// what is left out is counted by event.
package boundlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options bound the volume. Zero fields take defaults.
type Options struct {
	Level      slog.Level
	InfoPerSec float64 // lines below slog.LevelWarn
	WarnPerSec float64 // lines from slog.LevelWarn on
	QueueLines int     // lines that may wait for the output
}

// Defaults of Options: at 400 bytes a line, 200 lines a second are 80 KB/s and
// under one part in a hundred of a small instance's processor.
const (
	defaultUsual   = 60
	defaultFailure = 140
	defaultQueue   = 512
	reportInterval = 5 * time.Second
)

// Log is a slog.Handler whose lines go out through Run.
type Log struct {
	slog.Handler
	budget *budget
}

// budget is shared by a handler and what is derived from it.
type budget struct {
	usual   *rate.Limiter
	failure *rate.Limiter
	lines   chan []byte

	mu      sync.Mutex
	dropped map[string]int
}

// New returns a handler that writes JSON lines.
func New(o Options) *Log {
	if o.InfoPerSec == 0 {
		o.InfoPerSec = defaultUsual
	}
	if o.WarnPerSec == 0 {
		o.WarnPerSec = defaultFailure
	}
	if o.QueueLines == 0 {
		o.QueueLines = defaultQueue
	}
	b := &budget{
		usual:   rate.NewLimiter(rate.Limit(o.InfoPerSec), int(o.InfoPerSec)),
		failure: rate.NewLimiter(rate.Limit(o.WarnPerSec), int(o.WarnPerSec)),
		lines:   make(chan []byte, o.QueueLines), dropped: map[string]int{},
	}
	return &Log{Handler: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: o.Level}), budget: b}
}

// Handle implements slog.Handler.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	limiter := l.budget.usual
	if r.Level >= slog.LevelWarn {
		limiter = l.budget.failure
	}
	if !limiter.Allow() {
		l.budget.drop(r.Message)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Log{Handler: l.Handler.WithAttrs(attrs), budget: l.budget}
}

// WithGroup implements slog.Handler.
func (l *Log) WithGroup(name string) slog.Handler {
	return &Log{Handler: l.Handler.WithGroup(name), budget: l.budget}
}

// Write queues a line; a full queue drops it.
func (b *budget) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop("queue-full")
	}
	return len(line), nil
}

func (b *budget) drop(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped[event]++
}

// Run writes lines to w until ctx ends, and then those that wait. report is
// called now and then with the counts of what was left out.
func (l *Log) Run(ctx context.Context, w io.Writer, report func(dropped map[string]int)) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.flush(w)
			return
		case line := <-l.budget.lines:
			// An output that fails can't be reported anywhere.
			_, _ = w.Write(line)
		case <-t.C:
			if d := l.budget.takeDropped(); len(d) > 0 {
				report(d)
			}
		}
	}
}

func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.budget.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

func (b *budget) takeDropped() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.dropped
	b.dropped = map[string]int{}
	return d
}
