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
	sim := &simulation{deployment: d, policy: p, fault: f, load: load, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	sim.returns = block.NewReturnEstimator(nil)
	sim.directory = block.NewDirectory(epoch, block.DirectoryOptions{MaxBlocks: math.MaxInt32, Returns: sim.returns})
	sim.planner = block.NewPlanner(block.PlannerOptions{})
	sim.workers = make([]worker, d.Workers)
	for i := range d.Stores {
		sim.stores = append(sim.stores, newStoreModel(d, f, i))
	}
	sim.schedule(epoch, func() { sim.startSession(0) })
	sim.schedule(epoch, sim.checkStores)
	sim.schedule(epoch.Add(d.WarmUp), sim.injectFault)
	end := epoch.Add(d.WarmUp + d.MeasuredTime)
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.run()
	}
	return sim.figures()
}

func newStoreModel(d Deployment, f Fault, i int) *storeModel {
	s := &storeModel{
		url: fmt.Sprint("store", i), epoch: "1", lastSeq: map[block.Partition]uint64{},
		totalBytes: int64(d.StorePieces) * d.PieceBytes, link: &sharedLink{rate: float64(d.LinkRate) * (1 - d.LiveShare), advancedAt: epoch},
	}
	if f == StoreFull && i == 0 {
		s.totalBytes /= 10
	}
	// No rate is reserved for instances that can't reach the link's home (LocalShare).
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
func (sim *simulation) schedule(at time.Time, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: at, seq: sim.lastSeq, run: run})
}

// startSession starts a session and schedules the start of the next one.
func (sim *simulation) startSession(id int) {
	s := &session{id: id, rng: rand.New(rand.NewPCG(uint64(id), sim.rng.Uint64()))}
	share := s.rng.Float64()
	for i := range sim.deployment.Kinds {
		s.kind = &sim.deployment.Kinds[i]
		if share -= s.kind.Share; share < 0 {
			break
		}
	}
	s.pieces = s.kind.MinPieces + s.rng.IntN(s.kind.MaxPieces-s.kind.MinPieces+1)
	gap := sim.rng.ExpFloat64() / sim.deployment.sessionRate(sim.load)
	sim.schedule(sim.now.Add(durationFromSeconds(gap)), func() { sim.startSession(id + 1) })
	sim.runPrompt(s)
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
func (sim *simulation) runPrompt(s *session) {
	began := sim.now
	w := sim.leastLoaded()
	queueTime := w.queueTime(sim.now)
	var found []block.BlockLocation
	if sim.policy.UseStores && s.answers > 0 {
		found = sim.directory.Lookup(sim.now, block.Query{Keys: s.blockKeys(), Class: s.kind.Class.Name, GrantDuration: time.Minute}, nil)
	}
	s.storedPieces = len(found)
	// The worker computes other prompts while blocks are being transferred.
	computeAll := sim.computeTime(s, 0)
	w.pendingWork += computeAll
	sim.bringBack(s, found, queueTime, func(brought int) {
		sim.recorder.recordPieces(sim, s, began, brought)
		w.pendingWork -= computeAll
		w.freeAt = sim.now.Add(max(w.freeAt.Sub(sim.now), 0) + sim.computeTime(s, brought))
		sim.schedule(w.freeAt, func() { sim.sendAnswer(s, began) })
	})
}

// computeTime returns the time that a worker needs for a prompt of which the given
// number of pieces was brought back.
func (sim *simulation) computeTime(s *session, brought int) time.Duration {
	return time.Duration(s.pieces-brought)*sim.deployment.PieceComputeTime + requestOverhead
}

// worker is a simulated worker, which computes one prompt at a time.
type worker struct {
	freeAt      time.Time
	pendingWork time.Duration // time to compute the prompts whose blocks are being transferred, if no block arrives
}

// queueTime returns the time until the worker is free.
func (w *worker) queueTime(now time.Time) time.Duration { return max(w.freeAt.Sub(now), 0) }

func (sim *simulation) leastLoaded() *worker {
	best := &sim.workers[0]
	for i := range sim.workers {
		w := &sim.workers[i]
		if w.queueTime(sim.now)+w.pendingWork < best.queueTime(sim.now)+best.pendingWork {
			best = w
		}
	}
	return best
}

// bringBack brings found blocks back, with one transfer for each run of blocks in the
// same store, and then calls ready with the number of leading pieces that arrived.
func (sim *simulation) bringBack(s *session, found []block.BlockLocation, queueTime time.Duration, ready func(brought int)) {
	count := len(found)
	if sim.policy.PlanTransfers {
		request := block.PlanRequest{Pieces: s.pieces, Found: found, PieceTime: sim.deployment.PieceComputeTime, QueueTime: queueTime}
		count = sim.planner.Plan(request, sim.forecast).BringBackCount
	}
	sim.bringBackFrom(found[:count], 0, ready)
}

// bringBackFrom brings back the blocks of found from index done on.
func (sim *simulation) bringBackFrom(found []block.BlockLocation, done int, ready func(brought int)) {
	runLength := 0
	for done+runLength < len(found) && found[done+runLength].Store == found[done].Store {
		runLength++
	}
	moved := func(n int) {
		if n < runLength {
			ready(done + n)
			return
		}
		sim.bringBackFrom(found, done+runLength, ready)
	}
	if runLength == 0 || !sim.transfer(sim.storeByURL(found[done].Store), runLength, link.BringBack, moved) {
		ready(done)
	}
}

// transfer moves pieces over a store's link and calls done with the number that
// arrived. It returns false if the store is down. With Policy.PlanTransfers it also returns
// false if the link budget grants no lease for all bytes, and it aborts a bring-back
// that takes longer than computing the pieces.
func (sim *simulation) transfer(m *storeModel, pieces int, class link.Class, done func(pieces int)) bool {
	bytes := int64(pieces) * sim.deployment.PieceBytes
	if sim.now.Before(m.downUntil) {
		sim.directory.MarkDown(m.url, m.downUntil)
		return false
	}
	var lease link.Lease
	if sim.policy.PlanTransfers {
		lease = m.budget.Grant(sim.now, class, bytes, time.Duration(pieces)*sim.deployment.PieceComputeTime)
		if lease.Bytes < bytes {
			m.budget.ReturnUnused(sim.now, lease, lease.Bytes)
			return false
		}
	}
	sim.schedule(sim.now.Add(lease.StartIn), func() {
		began := sim.now
		f := &flow{bytesLeft: float64(bytes), rateLimit: float64(lease.Rate)}
		f.done = func() {
			moved := bytes - int64(max(f.bytesLeft, 0))
			sim.observeTransfer(m, moved, sim.now.Sub(began), lease.Rate)
			if began.After(epoch.Add(sim.deployment.WarmUp)) {
				sim.recorder.movedBytes += float64(moved)
			}
			done(int((moved + sim.deployment.PieceBytes/2) / sim.deployment.PieceBytes))
		}
		sim.startFlow(m.link, f)
		if sim.policy.PlanTransfers && class == link.BringBack {
			sim.schedule(sim.now.Add(time.Duration(pieces)*sim.deployment.PieceComputeTime), func() { sim.abortFlow(m.link, f) })
		}
	})
	return true
}

// observeTransfer updates the estimate of a link, and with Policy.PlanTransfers its budget,
// after a transfer.
func (sim *simulation) observeTransfer(m *storeModel, bytes int64, took time.Duration, granted int64) {
	m.estimate.Observe(sim.now, bytes, took, granted)
	if sim.policy.PlanTransfers {
		m.budget.SetRate(sim.now, int64(m.estimate.Rate(sim.now)/(1-sim.deployment.LiveShare)))
	}
}

// forecast returns the expected rate, delay and wait of transfers from a store.
func (sim *simulation) forecast(url string) (link.Forecast, bool) {
	m := sim.storeByURL(url)
	rate := min(m.estimate.Rate(sim.now), float64(m.budget.Rate()))
	return link.Forecast{Rate: rate, Delay: m.estimate.Delay(), Wait: m.budget.Wait(sim.now)}, true
}

func (sim *simulation) storeByURL(url string) *storeModel {
	for _, m := range sim.stores {
		if m.url == url {
			return m
		}
	}
	return nil
}

// sendAnswer records the first token and schedules the end of the answer, after
// which new blocks are exported and the session may return.
func (sim *simulation) sendAnswer(s *session, began time.Time) {
	sim.recorder.recordFirstToken(sim, s, began)
	s.answers++
	sim.schedule(sim.now.Add(sim.deployment.AnswerTime), func() {
		if sim.policy.UseStores {
			sim.export(s, s.storedPieces, s.pieces, maxExportRetries)
		}
		if s.rng.Float64() >= s.kind.ReturnChance {
			return
		}
		gap := math.Exp(s.rng.NormFloat64()*s.kind.GapLogStdDev) * s.kind.MedianGap.Seconds()
		addedPieces := 0
		if s.rng.Float64() < s.kind.GrowChance {
			addedPieces = 1
		}
		sim.schedule(sim.now.Add(durationFromSeconds(gap)), func() {
			s.pieces += addedPieces
			sim.runPrompt(s)
		})
	})
}

// export writes the pieces from index first up to end to a store. With Policy.PlanTransfers
// it retries later, at most retries times, if no store takes them.
func (sim *simulation) export(s *session, first, end, retries int) {
	if first >= end {
		return
	}
	score := sim.planner.Score(sim.planner.ReturnProbability(sim.returns, s.kind.Class.Name, s.answers-1, 0), sim.blockValue(s.kind))
	stores := sim.rankStores(score)
	for _, m := range stores {
		bytes := int64(end-first) * sim.deployment.PieceBytes
		if m.usedBytes+bytes > m.totalBytes {
			continue
		}
		epochBefore := m.epoch
		if sim.transfer(m, end-first, link.Export, func(int) { sim.publishBlocks(s, m, epochBefore, first, end) }) {
			m.usedBytes += bytes
			sim.exportPrice.Exported()
			return
		}
	}
	switch {
	case len(stores) == 0: // every store is down, or the score is below the export price
	case sim.policy.PlanTransfers && retries > 0:
		sim.schedule(sim.now.Add(exportRetryPause), func() { sim.export(s, first, end, retries-1) })
	default:
		sim.exportPrice.Refused(score)
	}
}

// rankStores returns the stores that may take blocks of the given score, the best
// first. With Policy.ScoreBySaving the planner ranks them; otherwise the store with the most
// free bytes comes first.
func (sim *simulation) rankStores(score float64) []*storeModel {
	var ranked []*storeModel
	if !sim.policy.ScoreBySaving {
		for _, m := range sim.stores {
			if !sim.now.Before(m.downUntil) {
				ranked = append(ranked, m)
			}
		}
		slices.SortStableFunc(ranked, func(x, y *storeModel) int { return cmp.Compare(y.totalBytes-y.usedBytes, x.totalBytes-x.usedBytes) })
		return ranked
	}
	if !sim.exportPrice.Accepts(score) {
		return nil
	}
	var views []block.StoreView
	for _, m := range sim.stores {
		views = append(views, block.StoreView{URL: m.url, Down: sim.now.Before(m.downUntil), Used: m.usedBytes, Total: m.totalBytes, Price: m.minScore})
	}
	for _, url := range sim.planner.Rank(score, views, sim.forecast) {
		ranked = append(ranked, sim.storeByURL(url))
	}
	return ranked
}

// blockValue returns the value of a block of the given kind of prompt.
func (sim *simulation) blockValue(k *PromptKind) block.BlockValue {
	return block.BlockValue{Class: k.Class, SavedTime: sim.deployment.PieceComputeTime, Bytes: sim.deployment.PieceBytes}
}

// publishBlocks adds exported blocks to the directory, unless the store has lost its
// blocks since epochBefore.
func (sim *simulation) publishBlocks(s *session, m *storeModel, epochBefore string, first, end int) {
	if m.epoch != epochBefore {
		return
	}
	keys := s.blockKeys()
	for i := first; i < end; i++ {
		p := keys[i].Partition()
		m.lastSeq[p]++
		sim.lastGeneration++
		ref := engine.BlockRef{Key: keys[i].String(), Generation: sim.lastGeneration, Length: sim.deployment.PieceBytes}
		sealed := store.SealedBlock{Ref: ref, Epoch: m.epoch, Seq: m.lastSeq[p]}
		// The directory queues a refused block to be freed, so the error is ignored.
		_ = sim.directory.Publish(sim.now, block.Publication{Store: m.url, Class: s.kind.Class.Name, Position: i, Sealed: sealed})
	}
}

// checkStores evicts blocks from stores that are more than 95 % full, down to 90 %,
// and subtracts blocks that are due to be freed from the used bytes.
func (sim *simulation) checkStores() {
	sim.schedule(sim.now.Add(storeCheckInterval), sim.checkStores)
	for _, m := range sim.stores {
		fill := float64(m.usedBytes) / float64(m.totalBytes)
		if fill > 0.95 {
			m.minScore = sim.directory.Evict(sim.now, m.url, int64((fill-0.90)*float64(m.totalBytes)), sim.evictionScore)
		} else if fill < 0.90 {
			m.minScore = 0
		}
	}
	for _, l := range sim.directory.DueFrees(sim.now) {
		sim.storeByURL(l.Store).usedBytes -= l.Length
	}
}

// evictionScore returns the score of a block; blocks with the lowest score are
// evicted first. Without Policy.ScoreBySaving, the least recently used block has the lowest score.
func (sim *simulation) evictionScore(stats block.BlockStats) float64 {
	if !sim.policy.ScoreBySaving {
		return -stats.Idle.Seconds()
	}
	for i := range sim.deployment.Kinds {
		if k := &sim.deployment.Kinds[i]; k.Class.Name == stats.Class {
			return sim.planner.Score(sim.planner.ReturnProbability(sim.returns, stats.Class, stats.Returns, stats.Idle), sim.blockValue(k))
		}
	}
	return 0
}

// injectFault starts the fault of the run.
func (sim *simulation) injectFault() {
	m := sim.stores[0]
	switch sim.fault {
	case StoreLost:
		m.epoch, m.usedBytes = "2", 0
		m.downUntil = sim.now.Add(sim.deployment.MeasuredTime / 8)
		sim.directory.MarkDown(m.url, m.downUntil)
		sim.schedule(m.downUntil, func() { sim.directory.ApplyEpoch(m.url, m.epoch) })
	case SlowLink:
		m.link.advance(sim.now)
		m.link.rate /= 10
		sim.scheduleCompletion(m.link)
	}
}

func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
