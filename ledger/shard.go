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

// pending is an operation on its way into the log. The shard's lock guards it.
type pending struct {
	op   *ledgerpb.Op
	size int
	// sent says that a write with the operation had an unknown outcome.
	sent bool
	// left says that the submitter no longer waits.
	left bool
	done chan struct{} // closed when resp or err is set
	resp *ledgerpb.SubmitResponse
	err  error
}

// shard folds one log and appends to it in batches: at most one write is under
// way, and writes start at least interval apart.
type shard struct {
	number int
	cfg    *Config
	log    metastore.Log
	life   context.Context // ends when the ledger closes

	mu        sync.Mutex
	state     *state
	queue     []*pending
	flushing  bool
	lastWrite time.Time
}

func newShard(life context.Context, number int, cfg *Config) *shard {
	s := &shard{number: number, cfg: cfg, life: life, state: newState(cfg.Window)}
	s.log = cfg.OpenLog(number, s)
	return s
}

// Apply implements metastore.StateMachine.
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

// checkClock reports a shard's clock that runs ahead of this instance's.
func (s *shard) checkClock() {
	ahead := time.Duration(s.state.now-s.cfg.Now().UnixMilli()) * time.Millisecond
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

// look returns what this instance has folded about a key, which may be old.
func (s *shard) look(key keyID, minted int64) *ledgerpb.SubmitResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.view(key, minted)
}

// submit appends op and returns the record of its key after it. The error is a
// *NotWrittenError if the operation never reaches the log by this call, and an
// *UnresolvedError if it may.
func (s *shard) submit(ctx context.Context, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	p := &pending{op: op, size: proto.Size(op), done: make(chan struct{})}
	if err := s.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		s.leave(p, ctx.Err())
	}
	return p.resp, p.err
}

func (s *shard) enqueue(p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.cfg.MaxQueue {
		return &NotWrittenError{Shard: s.number, Err: &QueueFullError{Limit: s.cfg.MaxQueue}}
	}
	if s.life.Err() != nil {
		return &NotWrittenError{Shard: s.number, Err: &ClosedError{}}
	}
	s.queue = append(s.queue, p)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
	return nil
}

// leave ends the wait of a submitter whose context has ended.
func (s *shard) leave(p *pending, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.finished() {
		return
	}
	p.left = true
	waiting := s.remove(p)
	if waiting && !p.sent {
		p.err = &NotWrittenError{Shard: s.number, Err: cause}
		return
	}
	p.err = &UnresolvedError{Shard: s.number, Err: cause}
}

// finished reports whether the operation has its result.
func (p *pending) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// remove takes p out of the queue and reports whether it was there; otherwise
// a write with it is under way.
func (s *shard) remove(p *pending) bool {
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
		s.pace()
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		s.settle(batch, s.write(batch))
	}
}

// pace waits until interval has passed since the last write began.
func (s *shard) pace() {
	s.mu.Lock()
	wait := s.lastWrite.Add(s.cfg.WriteInterval).Sub(s.cfg.Now())
	s.mu.Unlock()
	// A clock that was set back must not hold the shard up.
	wait = min(wait, s.cfg.WriteInterval)
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-s.life.Done():
	}
}

// nextBatch takes what fits into one entry from the queue; nil ends the flush.
func (s *shard) nextBatch() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.Err() != nil {
		s.failAll()
	}
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].size <= s.cfg.MaxEntryBytes) {
		size += s.queue[n].size
		n++
	}
	batch := append([]*pending(nil), s.queue[:n]...)
	s.queue = append([]*pending(nil), s.queue[n:]...)
	if n == 0 {
		s.flushing = false
		return nil
	}
	s.lastWrite = s.cfg.Now()
	return batch
}

// failAll ends the operations that wait when the ledger closes.
func (s *shard) failAll() {
	for _, p := range s.queue {
		s.fail(p, &ClosedError{})
	}
	s.queue = nil
}

func (s *shard) write(batch []*pending) error {
	e := &ledgerpb.Entry{TimeMs: s.cfg.Now().UnixMilli()}
	for _, p := range batch {
		e.Ops = append(e.Ops, p.op)
	}
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.life, s.cfg.WriteTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, b)
	metric.Counter("ledger_writes_total").Inc(1)
	metric.Counter("ledger_ops_total").Inc(int64(len(batch)))
	return err
}

// settle gives a batch its results. An unknown outcome is resolved by writing
// the same operations again: they carry the claim's identity, so that a second
// copy in the log changes nothing.
func (s *shard) settle(batch []*pending, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unknown *metastore.UnknownOutcomeError
	switch {
	case err == nil:
		s.succeed(batch)
	case errors.As(err, &unknown):
		s.requeue(batch)
	default:
		for _, p := range batch {
			s.fail(p, err)
		}
	}
}

func (s *shard) succeed(batch []*pending) {
	for _, p := range batch {
		if p.left {
			continue
		}
		p.resp = s.state.view(keyID(p.op.Key), p.op.MintedMs)
		close(p.done)
	}
}

// requeue puts a batch with an unknown outcome before the other operations.
func (s *shard) requeue(batch []*pending) {
	again := make([]*pending, 0, len(batch)+len(s.queue))
	for _, p := range batch {
		p.sent = true
		if !p.left {
			again = append(again, p)
		}
	}
	s.queue = append(again, s.queue...)
}

// fail ends an operation whose last write is surely not in the log.
func (s *shard) fail(p *pending, err error) {
	if p.left {
		return
	}
	p.err = &NotWrittenError{Shard: s.number, Err: err}
	if p.sent {
		p.err = &UnresolvedError{Shard: s.number, Err: err}
	}
	close(p.done)
}
