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

// pendingAppend is an append that waits for the outcome of its commit.
type pendingAppend struct {
	entry         []byte
	requiredIndex uint64 // index that the entry must get; 0 means any
	inCommit      bool   // whether it has left the queue for a commit; guarded by SharedLog.mu
	done          chan appendResult
}

type appendResult struct {
	index uint64
	err   error
}

// Append implements Log.
func (l *SharedLog) Append(ctx context.Context, entry []byte) (uint64, error) {
	return l.enqueueAndWait(ctx, &pendingAppend{entry: entry, done: make(chan appendResult, 1)})
}

// AppendAt implements Log.
func (l *SharedLog) AppendAt(ctx context.Context, index uint64, entry []byte) error {
	if index == 0 {
		return l.refusedError(CauseInvalid)
	}
	_, err := l.enqueueAndWait(ctx, &pendingAppend{entry: entry, requiredIndex: index, done: make(chan appendResult, 1)})
	return err
}

// enqueueAndWait queues p and returns the outcome of its commit, or gives up
// when ctx ends.
func (l *SharedLog) enqueueAndWait(ctx context.Context, p *pendingAppend) (uint64, error) {
	if len(p.entry) > l.opts.MaxBatchBytes {
		return 0, l.refusedError(CauseTooLarge)
	}
	if err := l.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case r := <-p.done:
		return r.index, r.err
	case <-ctx.Done():
		return l.cancelAppend(ctx, p)
	}
}

func (l *SharedLog) refusedError(c Cause) error {
	return &RefusedError{Op: "append", Key: l.opts.Name, Cause: c}
}

// enqueue adds p to the queue and starts commitQueue if it isn't running.
func (l *SharedLog) enqueue(p *pendingAppend) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.opts.MaxQueue {
		return &NotSentError{Op: "append", Key: l.opts.Name, Err: &QueueFullError{l.opts.Name, len(l.queue)}}
	}
	l.queue = append(l.queue, p)
	if !l.committing {
		l.committing = true
		go l.commitQueue()
	}
	return nil
}

// cancelAppend stops waiting for p after ctx has ended. It removes p from the
// queue if it is still there; otherwise it returns the outcome of the commit,
// which is unknown if the commit is still under way.
func (l *SharedLog) cancelAppend(ctx context.Context, p *pendingAppend) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.inCommit {
		select {
		case r := <-p.done:
			return r.index, r.err
		default:
			return 0, &UnknownOutcomeError{Op: "append", Key: l.opts.Name, Err: ctx.Err()}
		}
	}
	for i, q := range l.queue {
		if q == p {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	return 0, &NotSentError{Op: "append", Key: l.opts.Name, Err: ctx.Err()}
}

// commitQueue commits batches until the queue is empty.
func (l *SharedLog) commitQueue() {
	for {
		started := time.Now()
		<-l.sem
		batch := l.nextBatch()
		if batch == nil {
			l.release()
			return
		}
		l.commitBatch(batch)
		l.release()
		if remaining := l.opts.MinInterval - time.Since(started); remaining > 0 {
			time.Sleep(remaining)
		}
	}
}

// nextBatch removes the next batch from the queue. An append that requires an
// index is a batch of its own. A nil batch means that the queue is empty and
// that commitQueue has to return.
func (l *SharedLog) nextBatch() []*pendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && n < l.opts.MaxBatch {
		p := l.queue[n]
		size += len(p.entry)
		if n > 0 && (size > l.opts.MaxBatchBytes || p.requiredIndex != 0) {
			break
		}
		p.inCommit = true
		n++
		if p.requiredIndex != 0 {
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

// commitBatch commits the batch, reports the outcome to its appends and then
// takes a snapshot if one is due at the last slot applied and this process wrote
// that slot.
func (l *SharedLog) commitBatch(batch []*pendingAppend) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.ResolveTimeout)
	defer cancel()
	firstIndex, err := l.commit(ctx, batch)
	for i, p := range batch {
		p.done <- appendResult{index: firstIndex + uint64(i), err: err}
	}
	if err != nil {
		return
	}
	metric.Counter("log_commits_total", "log", l.opts.Name).Inc(1)
	metric.Counter("log_entries_total", "log", l.opts.Name).Inc(int64(len(batch)))
	if l.applied.slot%l.opts.SnapshotEvery == 0 && l.applied.lastCommit.writer == l.opts.Writer {
		l.takeSnapshot()
	}
}

// commit writes the batch into a slot of its own and returns the index of its
// first entry. An *UnknownOutcomeError means that the batch may be in the log
// or appear in it later; any other error means that it is not in the log and
// never will be.
//
// A create whose outcome is unknown is repeated at the same slot with the same
// bytes, so that it takes effect at most once. The batch moves on to the next
// slot only when the slot is known to hold another commit or to be ignored by
// readers.
func (l *SharedLog) commit(ctx context.Context, batch []*pendingAppend) (uint64, error) {
	l.sequence++
	a := commitAttempt{log: l, batch: batch, sequence: l.sequence}
	backoff := minBackoff
	for {
		firstIndex, retry, err := a.createAndResolve(ctx)
		if !retry {
			return firstIndex, err
		}
		if err == nil {
			continue
		}
		if !timer.Sleep(ctx, l.jitter(backoff)) {
			return 0, a.unresolvedError(ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// commitAttempt is the state of one commit until its outcome is known.
type commitAttempt struct {
	log       *SharedLog
	batch     []*pendingAppend
	sequence  uint64
	slot      uint64 // slot of the last create request
	uncertain bool   // whether the create at slot may have taken effect or may still do so
}

// createAndResolve sends one create request and finds out its outcome. If retry
// is true, the caller has to call it again: at once if err is nil, else after a
// back-off.
func (a *commitAttempt) createAndResolve(ctx context.Context) (firstIndex uint64, retry bool, err error) {
	l := a.log
	if a.uncertain && l.applied.slot >= a.slot {
		return a.resolveOutcome(ctx) // an earlier catchUp applied the slot, but failed later
	}
	if !a.uncertain {
		if err := a.checkRequiredIndex(ctx); err != nil {
			return 0, false, err
		}
	}
	value := a.slotValue()
	a.slot = l.applied.slot + 1
	err = a.createSlot(ctx, value)
	if err != nil && !IsUnknownOutcome(err) && !IsCause(err, CauseExists) {
		if !a.uncertain {
			return 0, false, err
		}
		return 0, true, err
	}
	a.uncertain = a.uncertain || err == nil || IsUnknownOutcome(err)
	return a.resolveOutcome(ctx)
}

// checkRequiredIndex returns an error if the batch requires an index other than
// the next one.
func (a *commitAttempt) checkRequiredIndex(ctx context.Context) error {
	l := a.log
	required := a.batch[0].requiredIndex
	if required > l.AppliedIndex()+1 {
		if err := l.catchUp(ctx); err != nil {
			return asNotSent(err)
		}
	}
	switch {
	case required == 0 || required == l.AppliedIndex()+1:
		return nil
	case required <= l.AppliedIndex():
		return l.refusedError(CauseExists)
	}
	return l.refusedError(CauseConflict)
}

// slotValue returns the message to store in the slot after the last one applied.
func (a *commitAttempt) slotValue() *metastorepb.Slot {
	s := &metastorepb.Slot{
		Writer:           a.log.opts.Writer,
		Sequence:         a.sequence,
		First:            a.log.AppliedIndex() + 1,
		PreviousWriter:   a.log.applied.lastCommit.writer,
		PreviousSequence: a.log.applied.lastCommit.sequence,
	}
	for _, p := range a.batch {
		s.Entries = append(s.Entries, p.entry)
	}
	return s
}

func (a *commitAttempt) createSlot(ctx context.Context, value *metastorepb.Slot) error {
	l := a.log
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	_, err := l.kv.Create(ctx, l.opts.Purpose, l.keys.slot(a.slot), marshal(value), 0)
	return err
}

// resolveOutcome reads the log and finds out from the applied slots whether the
// batch was accepted. This is needed after every create: only a read that
// returns the previous slot, the slot itself and the trim mark distinguishes an
// accepted entry from one in a slot that is already trimmed or on a service
// that was restored from an older copy.
func (a *commitAttempt) resolveOutcome(ctx context.Context) (firstIndex uint64, retry bool, err error) {
	l := a.log
	if err := l.catchUp(ctx); err != nil {
		var reverted *RevertedError
		if !a.uncertain {
			return 0, false, asNotSent(err)
		}
		return 0, !errors.As(err, &reverted), a.unresolvedError(err)
	}
	if r, ok := l.applied.writers[l.opts.Writer]; ok && r.sequence == a.sequence {
		return r.firstIndex, false, nil
	}
	if l.applied.slot < a.slot {
		return 0, true, a.unresolvedError(nil) // the slot is empty, so the same create is repeated
	}
	if a.uncertain && a.slot <= l.applied.prunedThrough {
		return 0, false, a.unresolvedError(nil) // the record of the commit may have been pruned
	}
	a.uncertain = false // the slot holds another commit, or readers ignore what was created
	return 0, true, nil
}

// unresolvedError returns the error for a commit whose outcome could not be found
// out: a *NotSentError if no create can have taken effect, else an
// *UnknownOutcomeError.
func (a *commitAttempt) unresolvedError(cause error) error {
	key := a.log.keys.slot(a.slot)
	if !a.uncertain {
		return &NotSentError{Op: "append", Key: key, Err: cause}
	}
	return &UnknownOutcomeError{Op: "append", Key: key, Err: cause}
}

// asNotSent converts an *UnknownOutcomeError of a read into a *NotSentError. It
// is used while no create can have taken effect, so that nothing was appended.
func asNotSent(err error) error {
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &NotSentError{Op: "append", Key: unknown.Key, Err: unknown.Err}
	}
	return err
}

// takeSnapshot writes a snapshot and trims the log; a failure raises an alarm.
// The caller holds sem.
func (l *SharedLog) takeSnapshot() {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.ResolveTimeout)
	defer cancel()
	if err := l.writeSnapshot(ctx); err != nil {
		_ = l.raiseAlarm(event.SnapshotFailed, err)
	}
}
