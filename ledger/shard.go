package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"redwingknot/event"
	"redwingknot/ledger/ledgerpb"
	"redwingknot/metastore"
	"redwingknot/metric"
)

// pendingOp is an operation that is queued or being written. The mutex of the shard
// guards it.
type pendingOp struct {
	op   *ledgerpb.Op
	size int
	// maybeWritten is set after a write of the operation with an unknown outcome.
	maybeWritten bool
	// abandoned is set when the submitter no longer waits for the result.
	abandoned bool
	done      chan struct{} // closed when resp or err is set
	resp      *ledgerpb.SubmitResponse
	err       error
}

// shard applies the entries of one log to a state and appends operations to the log
// in batches. At most one write is in progress, and writes start at least
// Config.WriteInterval apart.
type shard struct {
	number int
	cfg    *Config
	log    metastore.Log
	ctx    context.Context // ends when the ledger closes

	mu        sync.Mutex
	state     *state
	queue     []*pendingOp
	flushing  bool
	lastWrite time.Time
}

// newShard returns the shard with the given number and opens its log. The shard
// stops writing when ctx ends.
func newShard(ctx context.Context, number int, cfg *Config) *shard {
	s := &shard{number: number, cfg: cfg, ctx: ctx, state: newState(cfg.Window)}
	s.log = cfg.OpenLog(number, s)
	return s
}

// Apply implements metastore.StateMachine. It logs and skips an entry that cannot be
// decoded.
func (s *shard) Apply(index uint64, entry []byte) {
	var e ledgerpb.Entry
	if err := proto.Unmarshal(entry, &e); err != nil {
		event.LedgerEntryMalformed.Log(s.cfg.Logger, slog.Int("shard", s.number), slog.Uint64("index", index), slog.Any("error", err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.apply(&e)
	s.checkClock()
}

// checkClock logs an event if the clock of the shard is more than MaxSkew ahead of
// the clock of this instance.
func (s *shard) checkClock() {
	ahead := time.Duration(s.state.clockMs-s.cfg.Now().UnixMilli()) * time.Millisecond
	if ahead > s.cfg.MaxSkew {
		event.LedgerClockBehind.Log(s.cfg.Logger, slog.Int("shard", s.number), slog.Duration("ahead", ahead))
	}
}

// Snapshot implements metastore.StateMachine.
func (s *shard) Snapshot() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot()
}

// Restore implements metastore.StateMachine.
func (s *shard) Restore(_ uint64, parts [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.restore(parts)
}

// localResponse returns the response for a key from the log entries that this
// instance has applied. It may be out of date.
func (s *shard) localResponse(key keyID, createdMs int64) *ledgerpb.SubmitResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.response(key, createdMs)
}

// submit appends op and returns the response with the record of its key after op.
// The error is a *NotWrittenError if this call has not appended the operation and
// will not append it later, and an *UnresolvedError if it may have or still may.
func (s *shard) submit(ctx context.Context, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	p := &pendingOp{op: op, size: proto.Size(op), done: make(chan struct{})}
	if err := s.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		s.abandon(p, ctx.Err())
	}
	return p.resp, p.err
}

// enqueue adds p to the queue and starts flush if it is not running. It returns a
// *NotWrittenError if the queue is full or the ledger is closed.
func (s *shard) enqueue(p *pendingOp) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.cfg.MaxQueue {
		return &NotWrittenError{Shard: s.number, Err: &QueueFullError{Limit: s.cfg.MaxQueue}}
	}
	if s.ctx.Err() != nil {
		return &NotWrittenError{Shard: s.number, Err: &ClosedError{}}
	}
	s.queue = append(s.queue, p)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
	return nil
}

// abandon sets the error of p, whose submitter stops waiting because its context
// has ended with cause. It does nothing if p already has its result.
func (s *shard) abandon(p *pendingOp, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.finished() {
		return
	}
	p.abandoned = true
	wasQueued := s.removeQueued(p)
	if wasQueued && !p.maybeWritten {
		p.err = &NotWrittenError{Shard: s.number, Err: cause}
		return
	}
	p.err = &UnresolvedError{Shard: s.number, Err: cause}
}

// finished reports whether the result of the operation has been set.
func (p *pendingOp) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// removeQueued removes p from the queue and reports whether it was queued. If it was
// not, a write of it is in progress.
func (s *shard) removeQueued(p *pendingOp) bool {
	for i, q := range s.queue {
		if q == p {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// flush writes batches until the queue is empty.
func (s *shard) flush() {
	for {
		s.waitInterval()
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		s.completeBatch(batch, s.appendBatch(batch))
	}
}

// waitInterval waits until Config.WriteInterval has passed since the start of the last
// write or the ledger is closed.
func (s *shard) waitInterval() {
	s.mu.Lock()
	wait := s.lastWrite.Add(s.cfg.WriteInterval).Sub(s.cfg.Now())
	s.mu.Unlock()
	// A clock that was set back must not delay the write by more than one interval.
	wait = min(wait, s.cfg.WriteInterval)
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-s.ctx.Done():
	}
}

// nextBatch removes the operations that fit into one log entry from the queue. It
// returns nil if the queue is empty, and flush then ends.
func (s *shard) nextBatch() []*pendingOp {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		s.failQueued()
	}
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].size <= s.cfg.MaxEntryBytes) {
		size += s.queue[n].size
		n++
	}
	batch := append([]*pendingOp(nil), s.queue[:n]...)
	s.queue = append([]*pendingOp(nil), s.queue[n:]...)
	if n == 0 {
		s.flushing = false
		return nil
	}
	s.lastWrite = s.cfg.Now()
	return batch
}

// failQueued fails all queued operations because the ledger is closed.
func (s *shard) failQueued() {
	for _, p := range s.queue {
		s.fail(p, &ClosedError{})
	}
	s.queue = nil
}

// appendBatch appends the operations of batch to the log as one entry.
func (s *shard) appendBatch(batch []*pendingOp) error {
	e := &ledgerpb.Entry{TimeMs: s.cfg.Now().UnixMilli()}
	for _, p := range batch {
		e.Ops = append(e.Ops, p.op)
	}
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.WriteTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, b)
	metric.Counter("ledger_writes_total").Inc(1)
	metric.Counter("ledger_ops_total").Inc(int64(len(batch)))
	return err
}

// completeBatch sets the results of a batch after its write returned err. A batch with
// an unknown outcome is written again: the operations contain their claim IDs, so a
// second copy in the log has no effect.
func (s *shard) completeBatch(batch []*pendingOp, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unknown *metastore.UnknownOutcomeError
	switch {
	case err == nil:
		s.succeedBatch(batch)
	case errors.As(err, &unknown):
		s.requeue(batch)
	default:
		for _, p := range batch {
			s.fail(p, err)
		}
	}
}

// succeedBatch sets the responses of a batch that is in the log.
func (s *shard) succeedBatch(batch []*pendingOp) {
	for _, p := range batch {
		if p.abandoned {
			continue
		}
		p.resp = s.state.response(keyID(p.op.Key), p.op.MintedMs)
		close(p.done)
	}
}

// requeue puts a batch with an unknown outcome back at the front of the queue,
// except the operations whose submitters no longer wait.
func (s *shard) requeue(batch []*pendingOp) {
	again := make([]*pendingOp, 0, len(batch)+len(s.queue))
	for _, p := range batch {
		p.maybeWritten = true
		if !p.abandoned {
			again = append(again, p)
		}
	}
	s.queue = append(again, s.queue...)
}

// fail sets the error of an operation whose last write is not and will not be in the
// log. An earlier write of it with an unknown outcome may still be.
func (s *shard) fail(p *pendingOp, err error) {
	if p.abandoned {
		return
	}
	p.err = &NotWrittenError{Shard: s.number, Err: err}
	if p.maybeWritten {
		p.err = &UnresolvedError{Shard: s.number, Err: err}
	}
	close(p.done)
}
