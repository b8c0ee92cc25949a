package decisionbench

import (
	"container/list"

	"redwingknot/engine"
)

// Parameters of the simulated workers.
const (
	pieceTokens         = 2000
	prefillRate         = 20_000.0 // prompt tokens a second
	stepBaseTime        = 0.004    // seconds of a batch step without streams
	stepTimePerStream   = 0.0006   // seconds that each stream adds to a step
	slots               = 32
	cacheCapacityPieces = 240
	maxWaiting          = 64
	rejectionCost       = 0.002 // seconds of work that rejecting a request costs
	// decodeTimePerToken is each stream's share of the seconds of a step with a full batch.
	decodeTimePerToken = stepTimePerStream + stepBaseTime/slots
)

// worker simulates a model engine with continuous batching. In each step all
// decoding streams of the batch gain a token, and one piece of the first prompt that
// is not yet complete is prefilled.
type worker struct {
	id            int
	clock         *clock
	waiting       []*attempt
	prefilling    []*attempt // in the batch, prompt not yet fully prefilled
	decoding      []*attempt
	stepping      bool // a step is scheduled
	failed        bool
	rejectionTime float64 // seconds of work for rejected requests, added to the next step

	cache        map[int]*list.Element // by document
	lru          *list.List            // of *cacheEntry, most recently used first
	cachedPieces int
	events       []engine.Event
	seq          uint64
}

type cacheEntry struct {
	doc    *document
	pieces int
}

func newWorker(id int, c *clock) *worker {
	return &worker{id: id, clock: c, cache: map[int]*list.Element{}, lru: list.New()}
}

// enqueue adds a to the queue. It returns false if the worker has failed or its
// queue is full.
func (w *worker) enqueue(a *attempt) bool {
	if w.failed {
		return false
	}
	if len(w.waiting) >= maxWaiting {
		w.rejectionTime += rejectionCost
		return false
	}
	w.waiting = append(w.waiting, a)
	if !w.stepping {
		w.step()
	}
	return true
}

// step starts one step of the batch and schedules its end.
func (w *worker) step() {
	w.fillSlots()
	if len(w.prefilling)+len(w.decoding) == 0 {
		w.stepping = false
		return
	}
	w.stepping = true
	seconds := stepBaseTime + stepTimePerStream*float64(len(w.decoding)) + w.rejectionTime
	w.rejectionTime = 0
	var prefilled *attempt
	if len(w.prefilling) > 0 {
		prefilled = w.prefilling[0]
		n := min(prefilled.promptTokensLeft, pieceTokens)
		prefilled.promptTokensLeft -= n
		seconds += float64(n) / prefillRate
	}
	w.clock.after(seconds, func() { w.endStep(prefilled) })
}

// fillSlots moves attempts from the queue to the free slots of the batch. Attempts
// whose caller has given up are abandoned.
func (w *worker) fillSlots() {
	for len(w.waiting) > 0 && len(w.prefilling)+len(w.decoding) < slots {
		a := w.waiting[0]
		w.waiting = w.waiting[1:]
		if w.clock.now > a.req.deadline {
			a.abandon()
			continue
		}
		cachedPieces := min(w.lookUp(a.req.doc), len(a.req.doc.pieces))
		a.promptTokensLeft = a.req.promptTokens() - cachedPieces*pieceTokens
		a.recomputedPieces = len(a.req.doc.pieces) - cachedPieces
		w.prefilling = append(w.prefilling, a)
	}
}

// endStep ends a step that prefilled a piece of the prompt of attempt prefilled, which
// is nil if the step prefilled none.
func (w *worker) endStep(prefilled *attempt) {
	if w.failed {
		return
	}
	kept := w.decoding[:0]
	for _, a := range w.decoding {
		if a.answerTokensLeft--; a.answerTokensLeft > 0 {
			kept = append(kept, a)
			continue
		}
		a.finish()
	}
	w.decoding = kept
	if prefilled != nil && prefilled.promptTokensLeft <= 0 {
		w.prefilling = w.prefilling[1:]
		w.cacheDocument(prefilled.req.doc, len(prefilled.req.doc.pieces))
		prefilled.recordFirstToken()
		w.decoding = append(w.decoding, prefilled)
	}
	w.step()
}

// fail stops the worker for good and fails its attempts.
func (w *worker) fail() {
	w.failed = true
	for _, attempts := range [][]*attempt{w.prefilling, w.decoding, w.waiting} {
		for _, a := range attempts {
			a.fail()
		}
	}
	w.prefilling, w.decoding, w.waiting = nil, nil, nil
}

// lookUp returns the number of cached pieces of d and marks them as just used.
func (w *worker) lookUp(d *document) int {
	e, ok := w.cache[d.id]
	if !ok {
		return 0
	}
	w.lru.MoveToFront(e)
	return e.Value.(*cacheEntry).pieces
}

// peek returns the number of cached pieces of d without marking them as used.
func (w *worker) peek(d *document) int {
	if e, ok := w.cache[d.id]; ok {
		return e.Value.(*cacheEntry).pieces
	}
	return 0
}

// cacheDocument caches the first pieces of d and evicts the least recently used
// documents if the cache exceeds its capacity.
func (w *worker) cacheDocument(d *document, pieces int) {
	if w.lookUp(d) >= pieces {
		return
	}
	w.evict(d)
	e := w.lru.PushFront(&cacheEntry{doc: d, pieces: pieces})
	w.cache[d.id] = e
	w.cachedPieces += pieces
	w.recordCacheEvents(d, pieces, false)
	for w.cachedPieces > cacheCapacityPieces {
		w.evict(w.lru.Back().Value.(*cacheEntry).doc)
	}
}

func (w *worker) evict(d *document) {
	e, ok := w.cache[d.id]
	if !ok {
		return
	}
	c := e.Value.(*cacheEntry)
	w.lru.Remove(e)
	delete(w.cache, d.id)
	w.cachedPieces -= c.pieces
	w.recordCacheEvents(d, c.pieces, true)
}

func (w *worker) recordCacheEvents(d *document, pieces int, removed bool) {
	for _, p := range d.pieces[:pieces] {
		w.seq++
		w.events = append(w.events, engine.Event{Seq: w.seq, Block: p, Removed: removed})
	}
}

// takeReport returns the current load and the cache events since the last call.
func (w *worker) takeReport() (engine.Report, engine.Events) {
	queued := 0
	for _, a := range w.prefilling {
		queued += a.promptTokensLeft
	}
	for _, a := range w.waiting {
		queued += a.req.promptTokens() - w.peek(a.req.doc)*pieceTokens
	}
	r := engine.Report{
		Epoch: "1", Model: modelName, Version: modelVersion,
		Running: len(w.prefilling) + len(w.decoding), Waiting: len(w.waiting),
		QueuedTokens: queued, At: w.clock.time(),
	}
	ev := engine.Events{Epoch: "1", Last: w.seq, List: w.events}
	w.events = nil
	return r, ev
}
