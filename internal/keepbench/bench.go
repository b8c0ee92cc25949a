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

// Times and retries of the simulated export, store checks and requests.
const (
	maxExportRetries   = 10
	exportRetryPause   = 3 * time.Second
	storeCheckInterval = 10 * time.Second
	requestOverhead    = 20 * time.Millisecond // time of a request that computes no piece
)

// epoch is the simulated time at which every run starts.
var epoch = time.Unix(1_000_000_000, 0)

// simulation is the state of one simulated run of a policy.
type simulation struct {
	deployment     Deployment
	policy         Policy
	fault          Fault
	load           float64
	rng            *rand.Rand
	now            time.Time
	events         eventQueue
	lastSeq        int // of the scheduled events
	directory      *block.Directory
	planner        *block.Planner
	returns        *block.ReturnEstimator
	stores         []*storeModel
	exportPrice    block.ExportPrice
	workers        []worker
	lastGeneration uint64
	recorder       recorder
}

// storeModel is a simulated store with its link.
type storeModel struct {
	url        string
	epoch      string                     // changes when the store loses its blocks
	lastSeq    map[block.Partition]uint64 // of the published blocks
	usedBytes  int64
	totalBytes int64
	downUntil  time.Time
	minScore   float64 // score of the block evicted last, 0 once the store is less than 90 % full

	link     *sharedLink
	budget   *link.Budget
	estimate *link.Estimate // of link
}

// session is a prompt that may be sent again several times, possibly longer.
type session struct {
	id           int
	kind         *PromptKind
	pieces       int
	storedPieces int // leading pieces that the directory found in stores at the last request
	answers      int // so far; the prompt is returning if it is above 0
	rng          *rand.Rand
}

// Run simulates policy p on deployment d with fault f and returns its figures. load
// is the returning pieces as a share of what the links can carry. The same
// arguments give the same figures.
func Run(d Deployment, p Policy, f Fault, load float64, seed uint64) Figures {
	b := &simulation{deployment: d, policy: p, fault: f, load: load, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	b.returns = block.NewReturnEstimator(nil)
	b.directory = block.NewDirectory(epoch, block.DirectoryOptions{MaxBlocks: math.MaxInt32, Returns: b.returns})
	b.planner = block.NewPlanner(block.PlannerOptions{})
	b.workers = make([]worker, d.Workers)
	for i := range d.Stores {
		b.stores = append(b.stores, newStoreModel(d, f, i))
	}
	b.schedule(epoch, func() { b.startSession(0) })
	b.schedule(epoch, b.checkStores)
	b.schedule(epoch.Add(d.WarmUp), b.injectFault)
	end := epoch.Add(d.WarmUp + d.MeasuredTime)
	for b.events.Len() > 0 {
		e := heap.Pop(&b.events).(event)
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
		url: fmt.Sprint("store", i), epoch: "1", lastSeq: map[block.Partition]uint64{},
		totalBytes: int64(d.StorePieces) * d.PieceBytes, link: &sharedLink{rate: float64(d.LinkRate) * (1 - d.LiveShare), advancedAt: epoch},
	}
	if f == StoreFull && i == 0 {
		s.totalBytes /= 10
	}
	s.budget = link.NewBudget(epoch, link.BudgetOptions{Rate: d.LinkRate, LiveShare: d.LiveShare, LocalShare: -1})
	s.estimate = link.NewEstimate(epoch, int64(s.link.rate), time.Millisecond)
	return s
}

// event is a function to be run at a simulated time. Events of the same time run in
// the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule has run called at the given time.
func (b *simulation) schedule(at time.Time, run func()) {
	b.lastSeq++
	heap.Push(&b.events, event{at: at, seq: b.lastSeq, run: run})
}

// startSession starts a session and schedules the start of the next one.
func (b *simulation) startSession(id int) {
	s := &session{id: id, rng: rand.New(rand.NewPCG(uint64(id), b.rng.Uint64()))}
	share := s.rng.Float64()
	for i := range b.deployment.Kinds {
		s.kind = &b.deployment.Kinds[i]
		if share -= s.kind.Share; share < 0 {
			break
		}
	}
	s.pieces = s.kind.MinPieces + s.rng.IntN(s.kind.MaxPieces-s.kind.MinPieces+1)
	gap := b.rng.ExpFloat64() / b.deployment.sessionRate(b.load)
	b.schedule(b.now.Add(durationFromSeconds(gap)), func() { b.startSession(id + 1) })
	b.runPrompt(s)
}

// blockKeys returns a unique key for each piece of the session. The keys are derived
// from the session ID, because simulated prompts have no content to hash.
func (s *session) blockKeys() []block.Key {
	keys := make([]block.Key, s.pieces)
	tag := uint64(s.id+1) * 0x9e3779b97f4a7c15
	for i := range keys {
		binary.BigEndian.PutUint64(keys[i][:], tag)
		binary.BigEndian.PutUint64(keys[i][8:], tag^uint64(i+1)*0xbf58476d1ce4e5b9)
	}
	return keys
}

// runPrompt runs the session's prompt: it brings blocks back from the stores and has
// a worker compute the remaining pieces.
func (b *simulation) runPrompt(s *session) {
	began := b.now
	w := b.leastLoaded()
	queueTime := w.queueTime(b.now)
	var found []block.BlockLocation
	if b.policy.UseStores && s.answers > 0 {
		found = b.directory.Lookup(b.now, block.Query{Keys: s.blockKeys(), Class: s.kind.Class.Name, GrantDuration: time.Minute}, nil)
	}
	s.storedPieces = len(found)
	// The worker computes other prompts while blocks are being transferred.
	computeAll := b.computeTime(s, 0)
	w.awaitedWork += computeAll
	b.bringBack(s, found, queueTime, func(brought int) {
		b.recorder.recordPieces(b, s, began, brought)
		w.awaitedWork -= computeAll
		w.freeAt = b.now.Add(max(w.freeAt.Sub(b.now), 0) + b.computeTime(s, brought))
		b.schedule(w.freeAt, func() { b.sendAnswer(s, began) })
	})
}

// computeTime returns the time that a worker needs for a prompt of which the given
// number of pieces was brought back.
func (b *simulation) computeTime(s *session, brought int) time.Duration {
	return time.Duration(s.pieces-brought)*b.deployment.PieceComputeTime + requestOverhead
}

// worker is a simulated worker, which computes one prompt at a time.
type worker struct {
	freeAt      time.Time
	awaitedWork time.Duration // upper bound for prompts whose blocks are being transferred
}

// queueTime returns the time until the worker is free.
func (w *worker) queueTime(now time.Time) time.Duration { return max(w.freeAt.Sub(now), 0) }

func (b *simulation) leastLoaded() *worker {
	best := &b.workers[0]
	for i := range b.workers {
		w := &b.workers[i]
		if w.queueTime(b.now)+w.awaitedWork < best.queueTime(b.now)+best.awaitedWork {
			best = w
		}
	}
	return best
}

// bringBack brings found blocks back, with one transfer for each run of blocks in the
// same store, and then calls ready with the number of leading pieces that arrived.
func (b *simulation) bringBack(s *session, found []block.BlockLocation, queueTime time.Duration, ready func(brought int)) {
	count := len(found)
	if b.policy.PlanTransfers {
		question := block.PlanRequest{Pieces: s.pieces, Found: found, PieceTime: b.deployment.PieceComputeTime, QueueTime: queueTime}
		count = b.planner.Plan(question, b.forecast).BringBackCount
	}
	b.bringBackFrom(found[:count], 0, ready)
}

// bringBackFrom brings back the blocks of found from index done on.
func (b *simulation) bringBackFrom(found []block.BlockLocation, done int, ready func(brought int)) {
	runLength := 0
	for done+runLength < len(found) && found[done+runLength].Store == found[done].Store {
		runLength++
	}
	moved := func(n int) {
		if n < runLength {
			ready(done + n)
			return
		}
		b.bringBackFrom(found, done+runLength, ready)
	}
	if runLength == 0 || !b.transfer(b.storeByURL(found[done].Store), runLength, link.BringBack, moved) {
		ready(done)
	}
}

// transfer moves pieces over a store's link and calls done with the number that
// arrived. It returns false if the store is down. With Policy.PlanTransfers it also returns
// false if the link budget grants no lease for all bytes, and it aborts a bring-back
// that takes longer than computing the pieces.
func (b *simulation) transfer(m *storeModel, pieces int, class link.Class, done func(pieces int)) bool {
	bytes := int64(pieces) * b.deployment.PieceBytes
	if b.now.Before(m.downUntil) {
		b.directory.MarkDown(m.url, m.downUntil)
		return false
	}
	var lease link.Lease
	if b.policy.PlanTransfers {
		lease = m.budget.Grant(b.now, class, bytes, time.Duration(pieces)*b.deployment.PieceComputeTime)
		if lease.Bytes < bytes {
			m.budget.ReturnUnused(b.now, lease, lease.Bytes)
			return false
		}
	}
	b.schedule(b.now.Add(lease.StartIn), func() {
		began := b.now
		f := &flow{bytesLeft: float64(bytes), rateLimit: float64(lease.Rate)}
		f.done = func() {
			moved := bytes - int64(max(f.bytesLeft, 0))
			b.observeTransfer(m, moved, b.now.Sub(began), lease.Rate)
			if began.After(epoch.Add(b.deployment.WarmUp)) {
				b.recorder.movedBytes += float64(moved)
			}
			done(int((moved + b.deployment.PieceBytes/2) / b.deployment.PieceBytes))
		}
		b.startFlow(m.link, f)
		if b.policy.PlanTransfers && class == link.BringBack {
			b.schedule(b.now.Add(time.Duration(pieces)*b.deployment.PieceComputeTime), func() { b.abortFlow(m.link, f) })
		}
	})
	return true
}

// observeTransfer updates the estimate of a link, and with Policy.PlanTransfers its budget,
// after a transfer.
func (b *simulation) observeTransfer(m *storeModel, bytes int64, took time.Duration, granted int64) {
	m.estimate.Observe(b.now, bytes, took, granted)
	if b.policy.PlanTransfers {
		m.budget.SetRate(b.now, int64(m.estimate.Rate(b.now)/(1-b.deployment.LiveShare)))
	}
}

// forecast returns the expected rate, delay and wait of transfers from a store.
func (b *simulation) forecast(url string) (link.Forecast, bool) {
	m := b.storeByURL(url)
	rate := min(m.estimate.Rate(b.now), float64(m.budget.Rate()))
	return link.Forecast{Rate: rate, Delay: m.estimate.Delay(), Wait: m.budget.Wait(b.now)}, true
}

func (b *simulation) storeByURL(url string) *storeModel {
	for _, m := range b.stores {
		if m.url == url {
			return m
		}
	}
	return nil
}

// sendAnswer records the first token and schedules the end of the answer, after
// which new blocks are exported and the session may return.
func (b *simulation) sendAnswer(s *session, began time.Time) {
	b.recorder.recordFirstToken(b, s, began)
	s.answers++
	b.schedule(b.now.Add(b.deployment.AnswerTime), func() {
		if b.policy.UseStores {
			b.export(s, s.storedPieces, s.pieces, maxExportRetries)
		}
		if s.rng.Float64() >= s.kind.ReturnChance {
			return
		}
		gap := math.Exp(s.rng.NormFloat64()*s.kind.GapLogStdDev) * s.kind.MedianGap.Seconds()
		addedPieces := 0
		if s.rng.Float64() < s.kind.GrowChance {
			addedPieces = 1
		}
		b.schedule(b.now.Add(durationFromSeconds(gap)), func() {
			s.pieces += addedPieces
			b.runPrompt(s)
		})
	})
}

// export writes the pieces from index first up to end to a store. With Policy.PlanTransfers
// it retries later, at most retries times, if no store takes them.
func (b *simulation) export(s *session, first, end, retries int) {
	if first >= end {
		return
	}
	score := b.planner.Score(b.planner.ReturnProbability(b.returns, s.kind.Class.Name, s.answers-1, 0), b.blockValue(s.kind))
	stores := b.rankStores(score)
	for _, m := range stores {
		bytes := int64(end-first) * b.deployment.PieceBytes
		if m.usedBytes+bytes > m.totalBytes {
			continue
		}
		epochBefore := m.epoch
		if b.transfer(m, end-first, link.Export, func(int) { b.publishBlocks(s, m, epochBefore, first, end) }) {
			m.usedBytes += bytes
			b.exportPrice.Exported()
			return
		}
	}
	switch {
	case len(stores) == 0:
	case b.policy.PlanTransfers && retries > 0:
		b.schedule(b.now.Add(exportRetryPause), func() { b.export(s, first, end, retries-1) })
	default:
		b.exportPrice.Refused(score)
	}
}

// rankStores returns the stores that may take blocks of the given score, the best
// first. With Policy.ScoreBySaving the planner ranks them; otherwise the store with the most
// free bytes comes first.
func (b *simulation) rankStores(score float64) []*storeModel {
	var ranked []*storeModel
	if !b.policy.ScoreBySaving {
		for _, m := range b.stores {
			if !b.now.Before(m.downUntil) {
				ranked = append(ranked, m)
			}
		}
		slices.SortStableFunc(ranked, func(x, y *storeModel) int { return cmp.Compare(y.totalBytes-y.usedBytes, x.totalBytes-x.usedBytes) })
		return ranked
	}
	if !b.exportPrice.Accepts(score) {
		return nil
	}
	var views []block.StoreView
	for _, m := range b.stores {
		views = append(views, block.StoreView{URL: m.url, Down: b.now.Before(m.downUntil), Used: m.usedBytes, Total: m.totalBytes, Price: m.minScore})
	}
	for _, url := range b.planner.Rank(score, views, b.forecast) {
		ranked = append(ranked, b.storeByURL(url))
	}
	return ranked
}

// blockValue returns the value of a block of the given kind of prompt.
func (b *simulation) blockValue(k *PromptKind) block.BlockValue {
	return block.BlockValue{Class: k.Class, SavedTime: b.deployment.PieceComputeTime, Bytes: b.deployment.PieceBytes}
}

// publishBlocks adds exported blocks to the directory, unless the store has lost its
// blocks since epochBefore.
func (b *simulation) publishBlocks(s *session, m *storeModel, epochBefore string, first, end int) {
	if m.epoch != epochBefore {
		return
	}
	keys := s.blockKeys()
	for i := first; i < end; i++ {
		p := keys[i].Partition()
		m.lastSeq[p]++
		b.lastGeneration++
		ref := engine.BlockRef{Key: keys[i].String(), Generation: b.lastGeneration, Length: b.deployment.PieceBytes}
		sealed := store.SealedBlock{Ref: ref, Epoch: m.epoch, Seq: m.lastSeq[p]}
		// The directory queues a refused block to be freed, so the error is ignored.
		_ = b.directory.Publish(b.now, block.Publication{Store: m.url, Class: s.kind.Class.Name, Position: i, Sealed: sealed})
	}
}

// checkStores evicts blocks from stores that are more than 95 % full, down to 90 %,
// and subtracts blocks that are due to be freed from the used bytes.
func (b *simulation) checkStores() {
	b.schedule(b.now.Add(storeCheckInterval), b.checkStores)
	for _, m := range b.stores {
		fill := float64(m.usedBytes) / float64(m.totalBytes)
		if fill > 0.95 {
			m.minScore = b.directory.Evict(b.now, m.url, int64((fill-0.90)*float64(m.totalBytes)), b.evictionScore)
		} else if fill < 0.90 {
			m.minScore = 0
		}
	}
	for _, l := range b.directory.DueFrees(b.now) {
		b.storeByURL(l.Store).usedBytes -= l.Length
	}
}

// evictionScore returns the score of a block; blocks with the lowest score are
// evicted first. Without Policy.ScoreBySaving, the least recently used block has the lowest score.
func (b *simulation) evictionScore(h block.BlockStats) float64 {
	if !b.policy.ScoreBySaving {
		return -h.Idle.Seconds()
	}
	for i := range b.deployment.Kinds {
		if k := &b.deployment.Kinds[i]; k.Class.Name == h.Class {
			return b.planner.Score(b.planner.ReturnProbability(b.returns, h.Class, h.Returns, h.Idle), b.blockValue(k))
		}
	}
	return 0
}

// injectFault starts the fault of the run.
func (b *simulation) injectFault() {
	m := b.stores[0]
	switch b.fault {
	case StoreLost:
		m.epoch, m.usedBytes = "2", 0
		m.downUntil = b.now.Add(b.deployment.MeasuredTime / 8)
		b.directory.MarkDown(m.url, m.downUntil)
		b.schedule(m.downUntil, func() { b.directory.ApplyEpoch(m.url, m.epoch) })
	case SlowLink:
		m.link.advance(b.now)
		m.link.rate /= 10
		b.scheduleCompletion(m.link)
	}
}

func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
