package keepbench

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingknot/block"
	"redwingknot/engine"
	"redwingknot/link"
	"redwingknot/store"
)

const (
	exportTries = 10
	exportPause = 3 * time.Second
	statusEvery = 10 * time.Second
	overhead    = 20 * time.Millisecond // of a request without any piece to compute
)

// epoch is the beginning of a bench.
var epoch = time.Unix(1_000_000_000, 0)

// Simulation is one run of a policy.
type Simulation struct {
	d       Deployment
	policy  Policy
	fault   Fault
	load    float64
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	order   int
	dir     *block.Directory
	planner *block.Planner
	returns *block.ReturnEstimator
	stores  []*storeModel
	price   block.ExportPrice
	workers []worker
	gen     uint64
	result  recorder
}

type storeModel struct {
	url      string
	epoch    string
	seq      map[block.Partition]uint64
	used     int64
	total    int64
	downTill time.Time
	price    float64

	wire     *wire
	budget   *link.Budget
	estimate *link.Estimate
}

// session is a prompt that returns.
type session struct {
	id     int
	kind   *PromptKind
	pieces int
	kept   int // leading pieces thought to be in a store
	visits int
	rng    *rand.Rand
}

// Run returns the figures of a policy.
func Run(d Deployment, p Policy, f Fault, load float64, seed uint64) Figures {
	b := &Simulation{d: d, policy: p, fault: f, load: load, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	b.returns = block.NewReturnEstimator(nil)
	b.dir = block.NewDirectory(epoch, block.DirectoryOptions{MaxBlocks: math.MaxInt32, Returns: b.returns})
	b.planner = block.NewPlanner(block.PlannerOptions{})
	b.workers = make([]worker, d.Workers)
	for i := range d.Stores {
		b.stores = append(b.stores, newStoreModel(d, f, i))
	}
	b.schedule(epoch, func() { b.arrive(0) })
	b.schedule(epoch, b.status)
	b.schedule(epoch.Add(d.WarmUp), b.breakDown)
	end := epoch.Add(d.WarmUp + d.MeasuredTime)
	for b.events.Len() > 0 {
		e := heap.Pop(&b.events).(happening)
		if e.at.After(end) {
			break
		}
		b.now = e.at
		e.run()
	}
	return b.figures()
}

func newStoreModel(d Deployment, f Fault, i int) *storeModel {
	s := &storeModel{
		url: fmt.Sprint("store", i), epoch: "1", seq: map[block.Partition]uint64{},
		total: int64(d.StorePieces) * d.PieceBytes, wire: &wire{rate: float64(d.LinkRate) * (1 - d.LiveShare), at: epoch},
	}
	if f == StoreFull && i == 0 {
		s.total /= 10
	}
	s.budget = link.NewBudget(epoch, link.BudgetOptions{Rate: d.LinkRate, LiveShare: d.LiveShare, LocalShare: -1})
	s.estimate = link.NewEstimate(epoch, int64(s.wire.rate), time.Millisecond)
	return s
}

// happening is something at a time; those of one time are in order.
type happening struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []happening

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(happening)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (b *Simulation) schedule(at time.Time, run func()) {
	b.order++
	heap.Push(&b.events, happening{at: at, order: b.order, run: run})
}

// arrive begins a session and plans the arrival of the next.
func (b *Simulation) arrive(id int) {
	s := &session{id: id, rng: rand.New(rand.NewPCG(uint64(id), b.rng.Uint64()))}
	share := s.rng.Float64()
	for i := range b.d.Kinds {
		s.kind = &b.d.Kinds[i]
		if share -= s.kind.Share; share < 0 {
			break
		}
	}
	s.pieces = s.kind.MinPieces + s.rng.IntN(s.kind.MaxPieces-s.kind.MinPieces+1)
	gap := b.rng.ExpFloat64() / b.d.sessionRate(b.load)
	b.schedule(b.now.Add(seconds(gap)), func() { b.arrive(id + 1) })
	b.request(s)
}

// keys names the pieces of a session; a bench needs no content to hash.
func (s *session) keys() []block.Key {
	keys := make([]block.Key, s.pieces)
	tag := uint64(s.id+1) * 0x9e3779b97f4a7c15
	for i := range keys {
		binary.BigEndian.PutUint64(keys[i][:], tag)
		binary.BigEndian.PutUint64(keys[i][8:], tag^uint64(i+1)*0xbf58476d1ce4e5b9)
	}
	return keys
}

// request runs a session's prompt: blocks are brought back, the rest computed.
func (b *Simulation) request(s *session) {
	began := b.now
	w := b.leastLoaded()
	queue := w.queue(b.now)
	var found []block.BlockLocation
	if b.policy.UseStores && s.visits > 0 {
		found = b.dir.Lookup(b.now, block.Query{Keys: s.keys(), Class: s.kind.Class.Name, GrantDuration: time.Minute}, nil)
	}
	s.kept = len(found)
	// The worker goes on with others while blocks are on their way.
	all := b.work(s, 0)
	w.awaited += all
	b.bring(s, found, queue, func(brought int) {
		b.result.pieces(b, s, began, brought)
		w.awaited -= all
		w.free = b.now.Add(max(w.free.Sub(b.now), 0) + b.work(s, brought))
		b.schedule(w.free, func() { b.answer(s, began) })
	})
}

// work returns the time that a worker computes for a prompt.
func (b *Simulation) work(s *session, brought int) time.Duration {
	return time.Duration(s.pieces-brought)*b.d.PieceComputeTime + overhead
}

// worker computes one prompt after the other.
type worker struct {
	free    time.Time
	awaited time.Duration // at most, of prompts whose blocks are on their way
}

func (w *worker) queue(now time.Time) time.Duration { return max(w.free.Sub(now), 0) }

func (b *Simulation) leastLoaded() *worker {
	best := &b.workers[0]
	for i := range b.workers {
		w := &b.workers[i]
		if w.queue(b.now)+w.awaited < best.queue(b.now)+best.awaited {
			best = w
		}
	}
	return best
}

// bring brings blocks back, step by step, and then calls ready with the number of
// leading pieces that are there.
func (b *Simulation) bring(s *session, found []block.BlockLocation, queue time.Duration, ready func(brought int)) {
	want := len(found)
	if b.policy.PlanTransfers {
		q := block.PlanRequest{Pieces: s.pieces, Found: found, PieceTime: b.d.PieceComputeTime, QueueTime: queue}
		want = b.planner.Plan(q, b.forecast).BringBackCount
	}
	b.bringFrom(found[:want], 0, ready)
}

func (b *Simulation) bringFrom(found []block.BlockLocation, done int, ready func(brought int)) {
	run := 0
	for done+run < len(found) && found[done+run].Store == found[done].Store {
		run++
	}
	moved := func(n int) {
		if n < run {
			ready(done + n)
			return
		}
		b.bringFrom(found, done+run, ready)
	}
	if run == 0 || !b.transfer(b.storeOf(found[done].Store), run, link.BringBack, moved) {
		ready(done)
	}
}

// transfer moves pieces over a store's link and calls done with the number that
// arrived. The plan needs a lease before it, and ends a bring-back that takes
// longer than computing.
func (b *Simulation) transfer(m *storeModel, pieces int, class link.Class, done func(pieces int)) bool {
	bytes := int64(pieces) * b.d.PieceBytes
	if b.now.Before(m.downTill) {
		b.dir.MarkDown(m.url, m.downTill)
		return false
	}
	var l link.Lease
	if b.policy.PlanTransfers {
		l = m.budget.Grant(b.now, class, bytes, time.Duration(pieces)*b.d.PieceComputeTime)
		if l.Bytes < bytes {
			m.budget.ReturnUnused(b.now, l, l.Bytes)
			return false
		}
	}
	b.schedule(b.now.Add(l.StartIn), func() {
		began := b.now
		f := &flow{left: float64(bytes), limit: float64(l.Rate)}
		f.done = func() {
			moved := bytes - int64(max(f.left, 0))
			b.observe(m, moved, b.now.Sub(began), l.Rate)
			if began.After(epoch.Add(b.d.WarmUp)) {
				b.result.moved += float64(moved)
			}
			done(int((moved + b.d.PieceBytes/2) / b.d.PieceBytes))
		}
		b.start(m.wire, f)
		if b.policy.PlanTransfers && class == link.BringBack {
			b.schedule(b.now.Add(time.Duration(pieces)*b.d.PieceComputeTime), func() { b.abort(m.wire, f) })
		}
	})
	return true
}

func (b *Simulation) observe(m *storeModel, bytes int64, took time.Duration, granted int64) {
	m.estimate.Observe(b.now, bytes, took, granted)
	if b.policy.PlanTransfers {
		m.budget.SetRate(b.now, int64(m.estimate.Rate(b.now)/(1-b.d.LiveShare)))
	}
}

func (b *Simulation) forecast(url string) (link.Forecast, bool) {
	m := b.storeOf(url)
	rate := min(m.estimate.Rate(b.now), float64(m.budget.Rate()))
	return link.Forecast{Rate: rate, Delay: m.estimate.Delay(), Wait: m.budget.Wait(b.now)}, true
}

func (b *Simulation) storeOf(url string) *storeModel {
	for _, m := range b.stores {
		if m.url == url {
			return m
		}
	}
	return nil
}

// answer ends the wait for the first token, and later the request.
func (b *Simulation) answer(s *session, began time.Time) {
	b.result.first(b, s, began)
	s.visits++
	b.schedule(b.now.Add(b.d.AnswerTime), func() {
		if b.policy.UseStores {
			b.export(s, s.kept, s.pieces, exportTries)
		}
		if s.rng.Float64() >= s.kind.ReturnChance {
			return
		}
		gap := math.Exp(s.rng.NormFloat64()*s.kind.GapLogStdDev) * s.kind.MedianGap.Seconds()
		grown := 0
		if s.rng.Float64() < s.kind.GrowChance {
			grown = 1
		}
		b.schedule(b.now.Add(seconds(gap)), func() {
			s.pieces += grown
			b.request(s)
		})
	})
}

// export writes the pieces from first to end to a store.
func (b *Simulation) export(s *session, first, end, tries int) {
	if first >= end {
		return
	}
	score := b.planner.Score(b.planner.ReturnProbability(b.returns, s.kind.Class.Name, s.visits-1, 0), b.value(s.kind))
	stores := b.rank(score)
	for _, m := range stores {
		bytes := int64(end-first) * b.d.PieceBytes
		if m.used+bytes > m.total {
			continue
		}
		was := m.epoch
		if b.transfer(m, end-first, link.Export, func(int) { b.publish(s, m, was, first, end) }) {
			m.used += bytes
			b.price.Exported()
			return
		}
	}
	switch {
	case len(stores) == 0:
	case b.policy.PlanTransfers && tries > 0:
		b.schedule(b.now.Add(exportPause), func() { b.export(s, first, end, tries-1) })
	default:
		b.price.Refused(score)
	}
}

// rank returns the stores for blocks of the score, the best first: the
// planner's choice, or the emptiest first.
func (b *Simulation) rank(score float64) []*storeModel {
	var ranked []*storeModel
	if !b.policy.ScoreBySaving {
		for _, m := range b.stores {
			if !b.now.Before(m.downTill) {
				ranked = append(ranked, m)
			}
		}
		slices.SortStableFunc(ranked, func(x, y *storeModel) int { return cmp.Compare(y.total-y.used, x.total-x.used) })
		return ranked
	}
	if !b.price.Accepts(score) {
		return nil
	}
	var views []block.StoreView
	for _, m := range b.stores {
		views = append(views, block.StoreView{URL: m.url, Down: b.now.Before(m.downTill), Used: m.used, Total: m.total, Price: m.price})
	}
	for _, url := range b.planner.Rank(score, views, b.forecast) {
		ranked = append(ranked, b.storeOf(url))
	}
	return ranked
}

func (b *Simulation) value(k *PromptKind) block.BlockValue {
	return block.BlockValue{Class: k.Class, SavedTime: b.d.PieceComputeTime, Bytes: b.d.PieceBytes}
}

func (b *Simulation) publish(s *session, m *storeModel, was string, first, end int) {
	if m.epoch != was {
		return
	}
	keys := s.keys()
	for i := first; i < end; i++ {
		p := keys[i].Partition()
		m.seq[p]++
		b.gen++
		ref := engine.BlockRef{Key: keys[i].String(), Generation: b.gen, Length: b.d.PieceBytes}
		sealed := store.SealedBlock{Ref: ref, Epoch: m.epoch, Seq: m.seq[p]}
		// What is refused is queued for its free.
		_ = b.dir.Publish(b.now, block.Publication{Store: m.url, Class: s.kind.Class.Name, Position: i, Sealed: sealed})
	}
}

// status frees what is due and evicts from stores that fill up.
func (b *Simulation) status() {
	b.schedule(b.now.Add(statusEvery), b.status)
	for _, m := range b.stores {
		fill := float64(m.used) / float64(m.total)
		if fill > 0.95 {
			m.price = b.dir.Evict(b.now, m.url, int64((fill-0.90)*float64(m.total)), b.score)
		} else if fill < 0.90 {
			m.price = 0
		}
	}
	for _, l := range b.dir.DueFrees(b.now) {
		b.storeOf(l.Store).used -= l.Length
	}
}

func (b *Simulation) score(h block.BlockStats) float64 {
	if !b.policy.ScoreBySaving {
		return -h.Idle.Seconds()
	}
	for i := range b.d.Kinds {
		if k := &b.d.Kinds[i]; k.Class.Name == h.Class {
			return b.planner.Score(b.planner.ReturnProbability(b.returns, h.Class, h.Returns, h.Idle), b.value(k))
		}
	}
	return 0
}

func (b *Simulation) breakDown() {
	m := b.stores[0]
	switch b.fault {
	case StoreLost:
		m.epoch, m.used = "2", 0
		m.downTill = b.now.Add(b.d.MeasuredTime / 8)
		b.dir.MarkDown(m.url, m.downTill)
		b.schedule(m.downTill, func() { b.dir.ApplyEpoch(m.url, m.epoch) })
	case SlowLink:
		m.wire.advance(b.now)
		m.wire.rate /= 10
		b.reschedule(m.wire)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
