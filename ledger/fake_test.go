package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/ledger/ledgerpb"
	"redwingknot/metastore"
)

// errFault is the cause of injected failures.
var errFault = errors.New("injected")

// fault is what happens to a write.
type fault int

const (
	faultNone    fault = iota
	faultDown          // nothing is sent
	faultLost          // the write lands, its answer does not come
	faultLater         // the answer does not come and the write lands later
	faultDropped       // neither the write nor the answer comes through
	faultHang          // the write lands after the writer's patience
	faults
)

const landsAfter = 700 * time.Millisecond

// fakeService holds the logs of all shards for several instances.
type fakeService struct {
	mu    sync.Mutex
	logs  map[int][][]byte
	saved map[int]saved
	fault fault
	slot  time.Duration // least time between two writes, as of a rate limit
	next  time.Time
	// latency is how long a write takes.
	latency time.Duration
	writes  int
	bytes   int
}

// saved is a snapshot of a shard that new instances start from.
type saved struct {
	index int
	parts [][]byte
}

func newFakeService() *fakeService {
	return &fakeService{logs: map[int][][]byte{}, saved: map[int]saved{}}
}

func (f *fakeService) setFault(x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
}

func (f *fakeService) currentFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// fakeLog is one instance's view of a shard's log.
type fakeLog struct {
	service *fakeService
	shard   int
	folder  metastore.StateMachine
	dead    func() bool // whether the instance is cut off or gone
	order   sync.Mutex
	head    int
}

func (f *fakeService) open(shard int, folder metastore.StateMachine, dead func() bool) metastore.Log {
	l := &fakeLog{service: f, shard: shard, folder: folder, dead: dead}
	f.mu.Lock()
	s := f.saved[shard]
	f.mu.Unlock()
	if s.index > 0 {
		folder.Restore(uint64(s.index), s.parts)
		l.head = s.index
	}
	return l
}

// save takes a snapshot from an instance's view.
func (l *fakeLog) save() {
	l.order.Lock()
	defer l.order.Unlock()
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	if l.head > l.service.saved[l.shard].index {
		l.service.saved[l.shard] = saved{l.head, l.folder.Snapshot()}
	}
}

func (l *fakeLog) Append(ctx context.Context, entry []byte) (uint64, error) {
	l.service.wait(ctx)
	x := l.service.currentFault()
	switch {
	case l.dead() || x == faultDown:
		return 0, &metastore.NotSentError{Op: "append", Err: errFault}
	case x == faultLater:
		time.AfterFunc(landsAfter, func() { l.service.land(l.shard, entry) })
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errFault}
	case x == faultDropped:
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errFault}
	case x == faultHang:
		<-ctx.Done()
		l.service.land(l.shard, entry)
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: ctx.Err()}
	}
	n := l.service.land(l.shard, entry)
	if x == faultLost {
		return 0, &metastore.UnknownOutcomeError{Op: "append", Err: errFault}
	}
	return uint64(n), l.Sync(ctx)
}

// wait holds a writer to the service's rate.
func (f *fakeService) wait(ctx context.Context) {
	f.mu.Lock()
	at := f.next
	if now := time.Now(); at.Before(now) {
		at = now
	}
	f.next = at.Add(f.slot)
	f.mu.Unlock()
	select {
	case <-time.After(time.Until(at) + f.latency):
	case <-ctx.Done():
	}
}

func (f *fakeService) land(shard int, entry []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logs[shard] = append(f.logs[shard], entry)
	f.writes++
	f.bytes += len(entry)
	return len(f.logs[shard])
}

func (l *fakeLog) AppendAt(context.Context, uint64, []byte) error {
	return &metastore.NotSentError{Op: "append at", Err: errFault}
}

func (l *fakeLog) Sync(context.Context) error {
	l.order.Lock()
	defer l.order.Unlock()
	l.service.mu.Lock()
	entries := l.service.logs[l.shard]
	l.service.mu.Unlock()
	for ; l.head < len(entries); l.head++ {
		l.folder.Apply(uint64(l.head+1), entries[l.head])
	}
	return nil
}

func (l *fakeLog) AppliedIndex() uint64 {
	l.order.Lock()
	defer l.order.Unlock()
	return uint64(l.head)
}

// fakeRemote calls the owner in memory; a link may be cut or lose answers.
type fakeRemote struct {
	ledger func(name string) *Ledger // nil for a dead instance
	link   func() fault
}

func (r fakeRemote) Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error) {
	l := r.ledger(owner)
	if l == nil || r.link() == faultDown {
		return nil, &NotWrittenError{Shard: shard, Err: errFault}
	}
	resp, err := l.Submit(ctx, shard, op)
	if r.link() == faultLost {
		return nil, &UnresolvedError{Shard: shard, Err: errFault}
	}
	return resp, err
}
