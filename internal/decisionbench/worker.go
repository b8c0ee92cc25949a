package decisionbench

import (
	"container/list"

	"redwingknot/engine"
)

// The worker that the bench assumes.
const (
	pieceTokens   = 2000
	prefillRate   = 20_000.0 // prompt tokens a second
	stepBase      = 0.004    // seconds of a step of the batch
	stepPerStream = 0.0006   // seconds a stream adds to a step
	slots         = 32
	cachePieces   = 240
	maxWaiting    = 64
	rejectCost    = 0.002 // seconds of work that a rejected request costs
	perToken      = stepPerStream + stepBase/slots
)

// worker is a model engine: in each step all streams of the batch gain a token
// and one piece of the first unfinished prompt is processed.
type worker struct {
	id      int
	clock   *clock
	waiting []*attempt
	filling []*attempt // in the batch, prompt not yet processed
	streams []*attempt
	busy    bool
	dead    bool
	debt    float64 // seconds of rejected requests' work

	cache  map[int]*list.Element // by document
	lru    *list.List            // of cached, most recent first
	pieces int
	events []engine.Event
	seq    uint64
}

type cached struct {
	doc    *document
	pieces int
}

func newWorker(id int, c *clock) *worker {
	return &worker{id: id, clock: c, cache: map[int]*list.Element{}, lru: list.New()}
}

// enqueue takes an attempt; it fails if the worker is dead or full.
func (w *worker) enqueue(a *attempt) bool {
	if w.dead {
		return false
	}
	if len(w.waiting) >= maxWaiting {
		w.debt += rejectCost
		return false
	}
	w.waiting = append(w.waiting, a)
	if !w.busy {
		w.step()
	}
	return true
}

// step runs one step of the batch and schedules its end.
func (w *worker) step() {
	w.fillSlots()
	if len(w.filling)+len(w.streams) == 0 {
		w.busy = false
		return
	}
	w.busy = true
	took := stepBase + stepPerStream*float64(len(w.streams)) + w.debt
	w.debt = 0
	var first *attempt
	if len(w.filling) > 0 {
		first = w.filling[0]
		n := min(first.tokensLeft, pieceTokens)
		first.tokensLeft -= n
		took += float64(n) / prefillRate
	}
	w.clock.after(took, func() { w.endStep(first) })
}

func (w *worker) fillSlots() {
	for len(w.waiting) > 0 && len(w.filling)+len(w.streams) < slots {
		a := w.waiting[0]
		w.waiting = w.waiting[1:]
		if w.clock.now > a.req.gaveUp {
			a.abandon()
			continue
		}
		have := min(w.lookUp(a.req.doc), len(a.req.doc.pieces))
		a.tokensLeft = a.req.tokens() - have*pieceTokens
		a.recomputed = len(a.req.doc.pieces) - have
		w.filling = append(w.filling, a)
	}
}

func (w *worker) endStep(first *attempt) {
	if w.dead {
		return
	}
	keep := w.streams[:0]
	for _, a := range w.streams {
		if a.outLeft--; a.outLeft > 0 {
			keep = append(keep, a)
			continue
		}
		a.finish()
	}
	w.streams = keep
	if first != nil && first.tokensLeft <= 0 {
		w.filling = w.filling[1:]
		w.store(first.req.doc, len(first.req.doc.pieces))
		first.answer()
		w.streams = append(w.streams, first)
	}
	w.step()
}

// die ends the worker; its attempts fail.
func (w *worker) die() {
	w.dead = true
	for _, list := range [][]*attempt{w.filling, w.streams, w.waiting} {
		for _, a := range list {
			a.fail()
		}
	}
	w.filling, w.streams, w.waiting = nil, nil, nil
}

func (w *worker) lookUp(d *document) int {
	e, ok := w.cache[d.id]
	if !ok {
		return 0
	}
	w.lru.MoveToFront(e)
	return e.Value.(*cached).pieces
}

// peek is lookUp without a use.
func (w *worker) peek(d *document) int {
	if e, ok := w.cache[d.id]; ok {
		return e.Value.(*cached).pieces
	}
	return 0
}

// store keeps a document's pieces and evicts the least recently used.
func (w *worker) store(d *document, pieces int) {
	if w.lookUp(d) >= pieces {
		return
	}
	w.evict(d)
	e := w.lru.PushFront(&cached{doc: d, pieces: pieces})
	w.cache[d.id] = e
	w.pieces += pieces
	w.publish(d, pieces, false)
	for w.pieces > cachePieces {
		w.evict(w.lru.Back().Value.(*cached).doc)
	}
}

func (w *worker) evict(d *document) {
	e, ok := w.cache[d.id]
	if !ok {
		return
	}
	c := e.Value.(*cached)
	w.lru.Remove(e)
	delete(w.cache, d.id)
	w.pieces -= c.pieces
	w.publish(d, c.pieces, true)
}

func (w *worker) publish(d *document, pieces int, removed bool) {
	for _, p := range d.pieces[:pieces] {
		w.seq++
		w.events = append(w.events, engine.Event{Seq: w.seq, Block: p, Removed: removed})
	}
}

// report returns the load now and the cache events since the last report.
func (w *worker) report() (engine.Report, engine.Events) {
	queued := 0
	for _, a := range w.filling {
		queued += a.tokensLeft
	}
	for _, a := range w.waiting {
		queued += a.req.tokens() - w.peek(a.req.doc)*pieceTokens
	}
	r := engine.Report{
		Epoch: "1", Model: modelName, Version: modelVersion,
		Running: len(w.filling) + len(w.streams), Waiting: len(w.waiting),
		QueuedTokens: queued, At: w.clock.time(),
	}
	ev := engine.Events{Epoch: "1", Last: w.seq, List: w.events}
	w.events = nil
	return r, ev
}
