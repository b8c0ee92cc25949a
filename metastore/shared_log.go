package metastore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/event"
	"redwingknot/internal/options"
	"redwingknot/internal/timer"
	"redwingknot/metric"
)

// LogOptions configure a SharedLog. Zero values take the defaults.
type LogOptions struct {
	Name         string // of the log, without "/"
	StateMachine StateMachine
	Writer       string // unique over all processes for ever, without "/"
	Purpose      Purpose

	SnapshotEvery  uint64        // slots between snapshots
	TrimMargin     uint64        // slots kept below a snapshot
	WriterWindow   uint64        // slots for which a snapshot knows every writer
	MaxBatch       int           // entries in a slot
	MaxBatchBytes  int           // bytes of entries in a slot
	MaxQueue       int           // appends that may wait
	MinInterval    time.Duration // least time between the starts of two commits
	ResolveTimeout time.Duration // for finding out the outcome of a commit
	CallTimeout    time.Duration // of one call to the service
	PollInterval   time.Duration // between the reads of Follow when no watch wakes it
	Logger         *slog.Logger
	Rand           *rand.Rand // of back-off and jitter
}

const (
	defaultSnapshotEvery  = 256
	defaultTrimMargin     = 64
	defaultWriterWindow   = 4096
	defaultMaxBatch       = 1024
	defaultMaxBatchBytes  = 512 << 10
	defaultMaxQueue       = 8192
	defaultResolveTimeout = 10 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultPollInterval   = 5 * time.Second

	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

func (o *LogOptions) setDefaults() {
	options.Default(&o.SnapshotEvery, defaultSnapshotEvery)
	options.Default(&o.TrimMargin, defaultTrimMargin)
	options.Default(&o.WriterWindow, defaultWriterWindow)
	options.Default(&o.MaxBatch, defaultMaxBatch)
	options.Default(&o.MaxBatchBytes, defaultMaxBatchBytes)
	options.Default(&o.MaxQueue, defaultMaxQueue)
	options.Default(&o.ResolveTimeout, defaultResolveTimeout)
	options.Default(&o.CallTimeout, defaultCallTimeout)
	options.Default(&o.PollInterval, defaultPollInterval)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(xxhash.Sum64String(o.Writer), 0))
	}
}

// SharedLog is a Log whose slots are keys, each created only if absent: the
// writer that creates slot n+1 owns it, and the order of the slots is the order
// of the log. A commit puts all waiting entries into one slot.
//
// What the fold has seen decides whether a commit was accepted, never the
// answer to the create alone: an answer may be lost, and a writer that slept
// across a trim may create a slot that was folded and deleted long ago.
//
// Invariants: slots up to the trim mark are void for every reader; a snapshot
// that covers the mark exists before the mark is raised; snapshot and mark only
// move forward.
//
// All methods may be called from any goroutine.
type SharedLog struct {
	kv   KV
	o    LogOptions
	keys logKeys

	turn  chan struct{} // holds a token while nobody reads or writes the log
	begun atomic.Uint64 // reads of the tail that have started
	head  atomic.Uint64 // index of the last entry folded
	tail  tail          // owned by the holder of the turn
	// sequence counts the commits of this writer; owned by the holder of the turn.
	sequence uint64

	mu         sync.Mutex // guards the fields below
	queue      []*pending
	committing bool
	alarmed    string // the last alarm, so that a lasting one is logged once
}

// OpenLog returns the log without reading it; Sync, Append or Follow does.
func OpenLog(kv KV, o LogOptions) *SharedLog {
	if !validName(o.Name) || !validName(o.Writer) {
		panic("metastore: a log needs a name and a writer without slashes")
	}
	o.setDefaults()
	l := &SharedLog{kv: kv, o: o, keys: logKeys{o.Name}, turn: make(chan struct{}, 1)}
	l.tail.writers = map[string]writerRecord{}
	l.turn <- struct{}{}
	return l
}

// AppliedIndex implements Log.
func (l *SharedLog) AppliedIndex() uint64 { return l.head.Load() }

// Sync implements Log. Callers that wait for the same read share it.
func (l *SharedLog) Sync(ctx context.Context) error {
	asked := l.begun.Load()
	if err := l.acquire(ctx); err != nil {
		return &NotSentError{Op: "sync", Key: l.o.Name, Err: err}
	}
	defer l.release()
	if l.tail.fresh > asked {
		return nil
	}
	return l.catchUp(ctx)
}

func (l *SharedLog) acquire(ctx context.Context) error {
	select {
	case <-l.turn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *SharedLog) release() { l.turn <- struct{}{} }

// Follow folds new entries as they arrive until ctx ends. It watches the slots
// and reads them at least every PollInterval, so that a lost watch costs time
// and not entries.
func (l *SharedLog) Follow(ctx context.Context) error {
	wait := minBackoff
	for {
		if err := l.Sync(ctx); err != nil {
			if !timer.Sleep(ctx, l.jitter(wait)) {
				return ctx.Err()
			}
			wait = min(2*wait, maxBackoff)
			continue
		}
		wait = minBackoff
		l.followWatch(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// followWatch returns when the watch has broken or a read has failed.
func (l *SharedLog) followWatch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, err := l.kv.Watch(ctx, l.o.Purpose, l.keys.slot(0), l.keys.end(), l.revision(ctx))
	if err != nil {
		timer.Sleep(ctx, l.jitter(l.o.PollInterval))
		return
	}
	for {
		poll := time.NewTimer(l.jitter(l.o.PollInterval))
		select {
		case c, ok := <-changes:
			poll.Stop()
			if !ok {
				timer.Sleep(ctx, l.jitter(minBackoff))
				return
			}
			if c.Deleted || c.Entry.ModRevision <= l.revision(ctx) {
				continue
			}
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return
		}
		if l.Sync(ctx) != nil {
			return
		}
	}
}

func (l *SharedLog) revision(ctx context.Context) int64 {
	if l.acquire(ctx) != nil {
		return 0
	}
	defer l.release()
	return l.tail.revision
}

// jitter spreads d by half of it in either direction.
func (l *SharedLog) jitter(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d/2 + time.Duration(l.o.Rand.Int64N(int64(d)+1))
}

// alarm counts an error that an operator must see and logs its event, once as
// long as it stays the same.
func (l *SharedLog) alarm(e event.Event, err error) error {
	metric.Counter("log_alarms_total", "log", l.o.Name, "event", e.Name).Inc(1)
	l.mu.Lock()
	known := l.alarmed == err.Error()
	l.alarmed = err.Error()
	l.mu.Unlock()
	if known {
		return err
	}
	e.Log(l.o.Logger, slog.String("log", l.o.Name), slog.Any("error", err))
	return err
}
