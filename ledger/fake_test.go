package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/ledger/ledgerpb"
	"redwingknot/metastore"
)

// errInjected is the cause in the errors of injected faults.
var errInjected = errors.New("injected")

// fault is an injected fault of a write.
type fault int

const (
	faultNone             fault = iota
	faultNotSent                // the write is not sent
	faultAnswerLost             // the write takes effect, its answer is lost
	faultWrittenLater           // the answer is lost and the write takes effect later
	faultRequestLost            // the write is sent but never takes effect
	faultWrittenAtTimeout       // the write takes effect when the writer's context has ended
	faultCount
)

// lateAppendDelay is the delay with which a write to the fake service takes effect
// under faultWrittenLater.
const lateAppendDelay = 700 * time.Millisecond

// fakeService is an in-memory key-value service with the logs of all shards, shared
// by several instances.
type fakeService struct {
	mu            sync.Mutex
	logs          map[int][][]byte
	snapshots     map[int]savedSnapshot
	fault         fault
	writeInterval time.Duration // minimum time between two writes, to simulate a rate limit
	nextWrite     time.Time
	// latency is the duration of a write.
	latency    time.Duration
	writeCount int
	byteCount  int
}

// savedSnapshot is a snapshot of a shard's log up to index, from which newly started
// instances restore their state.
type savedSnapshot struct {
	index int
	parts [][]byte
}

func newFakeService() *fakeService {
	return &fakeService{logs: map[int][][]byte{}, snapshots: map[int]savedSnapshot{}}
}

func (f *fakeService) setFault(injected fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = injected
}

func (f *fakeService) currentFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// fakeLog is the log of a shard as used by one instance. It implements metastore.Log.
type fakeLog struct {
	service      *fakeService
	shard        int
	stateMachine metastore.StateMachine
	unreachable  func() bool // whether the instance is killed or cut off from the service
	applyMu      sync.Mutex
	head         int
}

// open returns the log of a shard for one instance. If there is a saved snapshot, open
// restores the instance's state machine from it.
func (f *fakeService) open(shard int, stateMachine metastore.StateMachine, unreachable func() bool) metastore.Log {
	l := &fakeLog{service: f, shard: shard, stateMachine: stateMachine, unreachable: unreachable}
	f.mu.Lock()
	s := f.snapshots[shard]
	f.mu.Unlock()
	if s.index > 0 {
		stateMachine.Restore(uint64(s.index), s.parts)
		l.head = s.index
	}
	return l
}

// saveSnapshot saves a snapshot of the instance's state unless the service has one
// that is as recent.
func (l *fakeLog) saveSnapshot() {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	if l.head > l.service.snapshots[l.shard].index {
		l.service.snapshots[l.shard] = savedSnapshot{l.head, l.stateMachine.Snapshot()}
	}
}

func (l *fakeLog) Append(ctx context.Context, entry []byte) (uint64, error) {
	l.service.waitForTurn(ctx)
	injected := l.service.currentFault()
	switch {
	case l.unreachable() || injected == faultNotSent:
		return 0, &metastore.NotSentError{Op: "append", Err: errInjected}
	case injected == faultWrittenLater:
		time.AfterFunc(lateAppendDelay, func() { l.service.appendEntry(l.shard, entry) })
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errInjected}
	case injected == faultRequestLost:
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errInjected}
	case injected == faultWrittenAtTimeout:
		<-ctx.Done()
		l.service.appendEntry(l.shard, entry)
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: ctx.Err()}
	}
	n := l.service.appendEntry(l.shard, entry)
	if injected == faultAnswerLost {
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errInjected}
	}
	return uint64(n), l.Sync(ctx)
}

// waitForTurn waits until the rate limit of the service admits a write, and then for
// the latency of the write.
func (f *fakeService) waitForTurn(ctx context.Context) {
	f.mu.Lock()
	at := f.nextWrite
	if now := time.Now(); at.Before(now) {
		at = now
	}
	f.nextWrite = at.Add(f.writeInterval)
	f.mu.Unlock()
	select {
	case <-time.After(time.Until(at) + f.latency):
	case <-ctx.Done():
	}
}

// appendEntry appends entry to the log of a shard and returns its index.
func (f *fakeService) appendEntry(shard int, entry []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logs[shard] = append(f.logs[shard], entry)
	f.writeCount++
	f.byteCount += len(entry)
	return len(f.logs[shard])
}

func (l *fakeLog) AppendAt(context.Context, uint64, []byte) error {
	return &metastore.NotSentError{Op: "append at", Err: errInjected}
}

func (l *fakeLog) Sync(context.Context) error {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	l.service.mu.Lock()
	entries := l.service.logs[l.shard]
	l.service.mu.Unlock()
	for ; l.head < len(entries); l.head++ {
		l.stateMachine.Apply(uint64(l.head+1), entries[l.head])
	}
	return nil
}

func (l *fakeLog) AppliedIndex() uint64 {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	return uint64(l.head)
}

// fakeRemote is a Remote that calls the owner's ledger in memory. linkFault returns
// the fault of the link: faultNotSent, faultAnswerLost or faultNone.
type fakeRemote struct {
	ledger    func(name string) *Ledger // returns nil for a killed instance
	linkFault func() fault
}

func (r fakeRemote) Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	l := r.ledger(owner)
	if l == nil || r.linkFault() == faultNotSent {
		return nil, &NotWrittenError{Shard: shard, Err: errInjected}
	}
	resp, err := l.Submit(ctx, shard, op)
	if r.linkFault() == faultAnswerLost {
		return nil, &UnresolvedError{Shard: shard, Err: errInjected}
	}
	return resp, err
}
