package metastore

import (
	"context"
	"errors"
	"time"

	"redwingknot/event"
	"redwingknot/internal/timer"
	"redwingknot/metastore/metastorepb"
	"redwingknot/metric"
)

// pending is an append that waits for its commit.
type pending struct {
	entry []byte
	at    uint64 // index that the entry must get; 0 is any
	taken bool   // part of a commit; guarded by SharedLog.mu
	done  chan result
}

type result struct {
	index uint64
	err   error
}

// Append implements Log.
func (l *SharedLog) Append(ctx context.Context, entry []byte) (uint64, error) {
	return l.add(ctx, &pending{entry: entry, done: make(chan result, 1)})
}

// AppendAt implements Log.
func (l *SharedLog) AppendAt(ctx context.Context, index uint64, entry []byte) error {
	if index == 0 {
		return l.refused(CauseInvalid)
	}
	_, err := l.add(ctx, &pending{entry: entry, at: index, done: make(chan result, 1)})
	return err
}

func (l *SharedLog) add(ctx context.Context, p *pending) (uint64, error) {
	if len(p.entry) > l.o.MaxBatchBytes {
		return 0, l.refused(CauseTooLarge)
	}
	if err := l.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case r := <-p.done:
		return r.index, r.err
	case <-ctx.Done():
		return l.leave(ctx, p)
	}
}

func (l *SharedLog) refused(c Cause) error {
	return &RefusedError{Op: "append", Key: l.o.Name, Cause: c}
}

func (l *SharedLog) enqueue(p *pending) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.o.MaxQueue {
		return &NotSentError{Op: "append", Key: l.o.Name, Err: &QueueFullError{l.o.Name, len(l.queue)}}
	}
	l.queue = append(l.queue, p)
	if !l.committing {
		l.committing = true
		go l.commitQueue()
	}
	return nil
}

// leave gives an append up: one that is still queued is taken back.
func (l *SharedLog) leave(ctx context.Context, p *pending) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.taken {
		select {
		case r := <-p.done:
			return r.index, r.err
		default:
			return 0, &UnknownOutcomeError{Op: "append", Key: l.o.Name, Err: ctx.Err()}
		}
	}
	for i, q := range l.queue {
		if q == p {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	return 0, &NotSentError{Op: "append", Key: l.o.Name, Err: ctx.Err()}
}

// commitQueue commits batches until the queue is empty.
func (l *SharedLog) commitQueue() {
	for {
		started := time.Now()
		<-l.turn
		batch := l.nextBatch()
		if batch == nil {
			l.release()
			return
		}
		l.commitBatch(batch)
		l.release()
		if rest := l.o.MinInterval - time.Since(started); rest > 0 {
			time.Sleep(rest)
		}
	}
}

// nextBatch takes the next entries off the queue; an entry that needs a fixed
// index travels alone. Nil means that the queue is empty and commitQueue ends.
func (l *SharedLog) nextBatch() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && n < l.o.MaxBatch {
		p := l.queue[n]
		size += len(p.entry)
		if n > 0 && (size > l.o.MaxBatchBytes || p.at != 0) {
			break
		}
		p.taken = true
		n++
		if p.at != 0 {
			break
		}
	}
	if n == 0 {
		l.queue = nil
		l.committing = false
		return nil
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	return batch
}

// commitBatch writes the batch, answers its appends and then takes a snapshot
// if the slot is due for one.
func (l *SharedLog) commitBatch(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), l.o.ResolveTimeout)
	defer cancel()
	first, err := l.commit(ctx, batch)
	for i, p := range batch {
		p.done <- result{index: first + uint64(i), err: err}
	}
	if err != nil {
		return
	}
	metric.Counter("log_commits_total", "log", l.o.Name).Inc(1)
	metric.Counter("log_entries_total", "log", l.o.Name).Inc(int64(len(batch)))
	if l.tail.slot%l.o.SnapshotEvery == 0 && l.tail.owner.writer == l.o.Writer {
		l.snapshot()
	}
}

// commit puts the batch into a slot of its own and returns the index of its
// first entry. An UnknownOutcomeError leaves open whether it is in the log; any
// other error means that it is not and never will be.
//
// A create whose outcome is unknown is repeated at the same slot with the same
// bytes, so that it takes effect at most once; only when the slot is known to
// hold another commit, or to be void, does the batch move on to the next.
func (l *SharedLog) commit(ctx context.Context, batch []*pending) (uint64, error) {
	l.sequence++
	a := attempt{log: l, batch: batch, sequence: l.sequence}
	wait := minBackoff
	for {
		first, again, err := a.step(ctx)
		if !again {
			return first, err
		}
		if err == nil {
			continue
		}
		if !timer.Sleep(ctx, l.jitter(wait)) {
			return 0, a.giveUp(ctx.Err())
		}
		wait = min(2*wait, maxBackoff)
	}
}

// attempt is the state of one commit until its outcome is known.
type attempt struct {
	log      *SharedLog
	batch    []*pending
	sequence uint64
	slot     uint64 // slot of the last create
	open     bool   // the create at slot may have taken effect or still do so
}

// step makes one create and finds out its outcome. It asks to be called again
// at once (nil error) or after a back-off.
func (a *attempt) step(ctx context.Context) (first uint64, again bool, err error) {
	l := a.log
	if a.open && l.tail.slot >= a.slot {
		return a.resolve(ctx) // a read that failed half way has moved the tail
	}
	if !a.open {
		if err := a.misplaced(ctx); err != nil {
			return 0, false, err
		}
	}
	s := a.content()
	a.slot = l.tail.slot + 1
	err = a.create(ctx, s)
	if err != nil && !IsUnknownOutcome(err) && !IsCause(err, CauseExists) {
		if !a.open {
			return 0, false, err
		}
		return 0, true, err
	}
	a.open = a.open || err == nil || IsUnknownOutcome(err)
	return a.resolve(ctx)
}

// misplaced refuses a batch whose fixed index is no longer the next.
func (a *attempt) misplaced(ctx context.Context) error {
	l := a.log
	at := a.batch[0].at
	if at > l.AppliedIndex()+1 {
		if err := l.catchUp(ctx); err != nil {
			return notAppended(err)
		}
	}
	switch {
	case at == 0 || at == l.AppliedIndex()+1:
		return nil
	case at <= l.AppliedIndex():
		return l.refused(CauseExists)
	}
	return l.refused(CauseConflict)
}

func (a *attempt) content() *metastorepb.Slot {
	s := &metastorepb.Slot{
		Writer:           a.log.o.Writer,
		Sequence:         a.sequence,
		First:            a.log.AppliedIndex() + 1,
		PreviousWriter:   a.log.tail.owner.writer,
		PreviousSequence: a.log.tail.owner.sequence,
	}
	for _, p := range a.batch {
		s.Entries = append(s.Entries, p.entry)
	}
	return s
}

func (a *attempt) create(ctx context.Context, s *metastorepb.Slot) error {
	l := a.log
	ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
	defer cancel()
	_, err := l.kv.Create(ctx, l.o.Purpose, l.keys.slot(a.slot), marshal(s), 0)
	return err
}

// resolve reads the log and decides by what was folded. It does so after every
// create: only a read that shows the slot before, the slot itself and the trim
// mark tells an accepted entry from one behind a trim or on an older copy.
func (a *attempt) resolve(ctx context.Context) (first uint64, again bool, err error) {
	l := a.log
	if err := l.catchUp(ctx); err != nil {
		var reverted *RevertedError
		if !a.open {
			return 0, false, notAppended(err)
		}
		return 0, !errors.As(err, &reverted), a.giveUp(err)
	}
	if r, ok := l.tail.writers[l.o.Writer]; ok && r.sequence == a.sequence {
		return r.first, false, nil
	}
	if l.tail.slot < a.slot {
		return 0, true, a.giveUp(nil) // the slot is empty: the same create is repeated
	}
	if a.open && a.slot <= l.tail.forgotten {
		return 0, false, a.giveUp(nil)
	}
	a.open = false // the slot holds another commit, or the create is void
	return 0, true, nil
}

// giveUp returns the error for a commit whose outcome could not be found out.
func (a *attempt) giveUp(cause error) error {
	key := a.log.keys.slot(a.slot)
	if !a.open {
		return &NotSentError{Op: "append", Key: key, Err: cause}
	}
	return &UnknownOutcomeError{Op: "append", Key: key, Err: cause}
}

// notAppended turns the failure of a read before any write into the certainty
// that nothing was appended.
func notAppended(err error) error {
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &NotSentError{Op: "append", Key: unknown.Key, Err: unknown.Err}
	}
	return err
}

// snapshot is called with the turn held.
func (l *SharedLog) snapshot() {
	ctx, cancel := context.WithTimeout(context.Background(), l.o.ResolveTimeout)
	defer cancel()
	if err := l.writeSnapshot(ctx); err != nil {
		_ = l.alarm(event.SnapshotFailed, err)
	}
}
