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

// LogOptions configure a SharedLog. Fields from SnapshotEvery on that are zero
// take their defaults; MinInterval has none.
type LogOptions struct {
	Name         string       // name of the log, without "/"
	StateMachine StateMachine // state machine to which the entries are applied
	Writer       string       // name that no other process ever uses, without "/"
	Purpose      Purpose      // purpose of all calls to the service

	SnapshotEvery  uint64        // number of slots between snapshots
	TrimMargin     uint64        // number of the last slots covered by a snapshot that are not trimmed
	WriterWindow   uint64        // a snapshot records every writer with a commit in this number of last slots
	MaxBatch       int           // most entries in a slot
	MaxBatchBytes  int           // most bytes of entries in a slot
	MaxQueue       int           // most appends that may wait for a commit
	MinInterval    time.Duration // least time between the starts of two commits
	ResolveTimeout time.Duration // time limit of a commit, until its outcome is known, and of a snapshot
	CallTimeout    time.Duration // time limit of one call to the service
	PollInterval   time.Duration // mean time between the reads of Follow while its watch sends nothing
	Logger         *slog.Logger
	Rand           *rand.Rand // source of the jitter of back-off and polling
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

// SharedLog is a Log that stores each slot under a key of its own, which is
// created only if it is absent: the writer that creates slot n+1 owns it, and the
// order of the slots is the order of the log. A commit writes a batch of waiting
// entries into one slot.
//
// Whether a commit was accepted is decided by reading the log back and applying
// it, never by the response to the create alone: the response may be lost, and a
// writer that was paused while others trimmed the log may create a slot that was
// already applied and deleted.
//
// Invariants: readers ignore all slots up to the trim mark; a snapshot that
// covers the trim mark exists before the mark is raised; the snapshot and the
// trim mark only move forward.
//
// A SharedLog is safe for concurrent use.
type SharedLog struct {
	kv   KV
	opts LogOptions
	keys logKeys

	sem          chan struct{} // semaphore: holds one token while no goroutine reads or writes the log
	readsStarted atomic.Uint64 // number of reads by catchUp that have started
	appliedIndex atomic.Uint64 // index of the last entry applied
	applied      appliedState  // owned by the holder of sem
	// sequence counts the commits of this writer. It is owned by the holder of
	// sem.
	sequence uint64

	mu         sync.Mutex // guards the fields below
	queue      []*pendingAppend
	committing bool   // whether commitQueue is running
	lastAlarm  string // text of the last alarm, so that a repeated one is logged once
}

// OpenLog returns the log without reading it; the first Sync, Append or Follow
// reads it. It panics if the name or the writer in o is invalid.
func OpenLog(kv KV, o LogOptions) *SharedLog {
	if !validName(o.Name) || !validName(o.Writer) {
		panic("metastore: log name and writer must not be empty or contain a slash or NUL")
	}
	o.setDefaults()
	l := &SharedLog{kv: kv, opts: o, keys: logKeys{o.Name}, sem: make(chan struct{}, 1)}
	l.applied.writers = map[string]writerRecord{}
	l.sem <- struct{}{}
	return l
}

// AppliedIndex implements Log.
func (l *SharedLog) AppliedIndex() uint64 { return l.appliedIndex.Load() }

// Sync implements Log. Concurrent callers share a read that starts after all of
// them have called.
func (l *SharedLog) Sync(ctx context.Context) error {
	startedBefore := l.readsStarted.Load()
	if err := l.acquire(ctx); err != nil {
		return &NotSentError{Op: "sync", Key: l.opts.Name, Err: err}
	}
	defer l.release()
	if l.applied.completedRead > startedBefore {
		return nil
	}
	return l.catchUp(ctx)
}

func (l *SharedLog) acquire(ctx context.Context) error {
	select {
	case <-l.sem:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *SharedLog) release() { l.sem <- struct{}{} }

// Follow applies new entries as they arrive until ctx ends. It watches the slots
// and also reads them about every PollInterval, so that a lost watch delays
// entries but doesn't lose them.
func (l *SharedLog) Follow(ctx context.Context) error {
	backoff := minBackoff
	for {
		if err := l.Sync(ctx); err != nil {
			if !timer.Sleep(ctx, l.jitter(backoff)) {
				return ctx.Err()
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		l.followWatch(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// followWatch reads the log whenever the watch reports a new slot or PollInterval
// has passed. It returns when the watch breaks, a read fails or ctx ends.
func (l *SharedLog) followWatch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, err := l.kv.Watch(ctx, l.opts.Purpose, l.keys.slot(0), l.keys.slotsEnd(), l.readRevision(ctx))
	if err != nil {
		timer.Sleep(ctx, l.jitter(l.opts.PollInterval))
		return
	}
	for {
		poll := time.NewTimer(l.jitter(l.opts.PollInterval))
		select {
		case c, ok := <-changes:
			poll.Stop()
			if !ok {
				timer.Sleep(ctx, l.jitter(minBackoff))
				return
			}
			if c.Deleted || c.Entry.ModRevision <= l.readRevision(ctx) {
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

// readRevision returns the revision of the service at the last read, or 0 if
// ctx ends first.
func (l *SharedLog) readRevision(ctx context.Context) int64 {
	if l.acquire(ctx) != nil {
		return 0
	}
	defer l.release()
	return l.applied.revision
}

// jitter returns a random duration between d/2 and 3d/2.
func (l *SharedLog) jitter(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d/2 + time.Duration(l.opts.Rand.Int64N(int64(d)+1))
}

// raiseAlarm counts an error that needs an operator's attention, logs it as e
// unless it equals the last one, and returns it.
func (l *SharedLog) raiseAlarm(e event.Event, err error) error {
	metric.Counter("log_alarms_total", "log", l.opts.Name, "event", e.Name).Inc(1)
	l.mu.Lock()
	repeated := l.lastAlarm == err.Error()
	l.lastAlarm = err.Error()
	l.mu.Unlock()
	if repeated {
		return err
	}
	e.Log(l.opts.Logger, slog.String("log", l.opts.Name), slog.Any("error", err))
	return err
}
