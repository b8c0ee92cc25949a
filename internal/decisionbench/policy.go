package decisionbench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/note"
	"redwingknot/route"
)

// RoutingPolicy names a policy for choosing a worker.
type RoutingPolicy string

// The routing policies.
const (
	RoundRobin  RoutingPolicy = "round-robin"
	LeastLoaded RoutingPolicy = "least-loaded"
	PowerOfTwo  RoutingPolicy = "power-of-two" // the less loaded of two random workers
	BoundedHash RoutingPolicy = "bounded-hash" // rendezvous hashing with bounded loads
	Score       RoutingPolicy = "score"        // package route decides
)

// RoutingPolicies lists all routing policies.
var RoutingPolicies = []RoutingPolicy{RoundRobin, LeastLoaded, PowerOfTwo, BoundedHash, Score}

// decision is the choice of a worker for one attempt.
type decision struct {
	worker             int
	choice             route.Choice // set by scoreChooser only
	importPieces       int          // pieces to import from the store first
	expectedFirstToken float64      // seconds to first token
	queueTime          float64      // seconds of it spent waiting
}

// chooser makes the routing decisions of one router. Times are in seconds since
// epoch.
type chooser interface {
	choose(r *request, now float64, importTime importTimeFunc, rng *rand.Rand) (decision, bool)
	recordDispatch(a *attempt, d decision, now float64)
	recordFirstToken(a *attempt, now float64)
	recordEnd(a *attempt, outcome route.Outcome, now float64)
	observeReport(worker int, r engine.Report, ev engine.Events, now float64)
}

// importTimeFunc returns the seconds that it takes to import a number of pieces of
// the request's document, and whether they can be imported.
type importTimeFunc func(pieces int) (float64, bool)

// scoreChooser chooses with the production router, package route.
type scoreChooser struct {
	router      *route.Router
	workerIDs   map[string]int
	workerNames []string
}

func newScoreChooser(setup Setup) *scoreChooser {
	c := &scoreChooser{workerIDs: map[string]int{}}
	setup.Route.Service, setup.Route.PieceTokens, setup.Route.PrefillRate = "s", pieceTokens, prefillRate
	c.router = route.NewRouter(setup.Route)
	var list []note.Endpoint
	for i := range setup.Deployment.Workers {
		name := workerName(i)
		c.workerNames = append(c.workerNames, name)
		c.workerIDs[name] = i
		list = append(list, note.Endpoint{Name: name, Service: "s", Slots: slots})
	}
	c.router.SetEndpoints(list)
	return c
}

func workerName(i int) string { return "w" + strconv.Itoa(i) }

// routeQuery returns the query for r. A nil importTime means that nothing can be
// imported.
func routeQuery(r *request, importTime importTimeFunc) route.Query {
	q := route.Query{
		Service: "s", Model: modelName, Version: modelVersion,
		PromptTokens: r.promptTokens(), Pieces: r.doc.pieces, Class: r.load.class, Exclude: r.triedWorkers,
	}
	if importTime != nil {
		q.BringBackTime = func(_ string, missing int) (time.Duration, bool) {
			seconds, ok := importTime(missing)
			return durationFromSeconds(seconds), ok
		}
	}
	return q
}

func (c *scoreChooser) choose(r *request, now float64, importTime importTimeFunc, rng *rand.Rand) (decision, bool) {
	ch, err := c.router.Choose(routeQuery(r, importTime), timeAt(now), rng)
	if err != nil {
		return decision{}, false
	}
	d := decision{
		worker: c.workerIDs[ch.Endpoint], choice: ch,
		expectedFirstToken: ch.Expected.Seconds(), queueTime: ch.Queue.Seconds(),
	}
	if ch.BringBack {
		d.importPieces = len(r.doc.pieces) - ch.CachedPieces
	}
	return d, true
}

func (c *scoreChooser) recordDispatch(a *attempt, d decision, now float64) {
	c.router.RecordDispatch(a.id, routeQuery(a.req, nil), d.choice, timeAt(now))
}

func (c *scoreChooser) recordFirstToken(a *attempt, now float64) {
	c.router.RecordFirstToken(c.workerNames[a.worker.id], a.id, timeAt(now))
}

func (c *scoreChooser) recordEnd(a *attempt, o route.Outcome, now float64) {
	c.router.RecordEnd(c.workerNames[a.worker.id], a.id, o, timeAt(now))
}

func (c *scoreChooser) observeReport(worker int, r engine.Report, ev engine.Events, now float64) {
	c.router.ObserveReport(c.workerNames[worker], r, timeAt(now))
	c.router.ApplyCacheEvents(c.workerNames[worker], ev)
}

// baselineView is what a baselineChooser knows of a worker. Like scoreChooser, it
// knows late reports and the attempts that its own router has sent since; unlike
// scoreChooser, it sees the exact content of the worker's cache.
type baselineView struct {
	worker     *worker
	report     engine.Report
	sentSince  []dispatchRecord // own attempts dispatched after the report
	avoidUntil float64          // seconds since epoch
}

// dispatchRecord is an attempt that was dispatched to a worker.
type dispatchRecord struct {
	at             float64 // seconds since epoch
	uncachedTokens float64 // prompt tokens that the worker has to prefill
}

// baselineChooser implements all routing policies but Score. It avoids a worker for
// 1 s after a failed attempt.
type baselineChooser struct {
	routing    RoutingPolicy
	views      []*baselineView // by worker
	lastWorker int             // last choice of RoundRobin
}

// newBaselineChooser returns a chooser whose round robin starts after worker offset.
func newBaselineChooser(routing RoutingPolicy, workers []*worker, offset int) *baselineChooser {
	c := &baselineChooser{routing: routing, lastWorker: offset}
	for _, w := range workers {
		c.views = append(c.views, &baselineView{worker: w})
	}
	return c
}

// attempts returns the estimated number of attempts at the worker.
func (v *baselineView) attempts() float64 {
	return float64(v.report.Running + v.report.Waiting + len(v.sentSince))
}

// queueTime returns the estimated seconds until the worker has prefilled the prompts
// queued at it.
func (v *baselineView) queueTime() float64 {
	tokens := float64(v.report.QueuedTokens)
	for _, s := range v.sentSince {
		tokens += s.uncachedTokens
	}
	return tokens / prefillRate
}

// usable reports whether worker i may be chosen for r.
func (c *baselineChooser) usable(i int, r *request, now float64) bool {
	if now < c.views[i].avoidUntil {
		return false
	}
	for _, t := range r.triedWorkers {
		if t == workerName(i) {
			return false
		}
	}
	return true
}

func (c *baselineChooser) choose(r *request, now float64, importTime importTimeFunc, rng *rand.Rand) (decision, bool) {
	i := c.pick(r, now, rng)
	if i < 0 {
		return decision{}, false
	}
	v := c.views[i]
	cachedPieces := v.worker.peek(r.doc)
	prefill := float64(r.promptTokens()-cachedPieces*pieceTokens) / prefillRate
	d := decision{worker: i, queueTime: v.queueTime()}
	if missing := len(r.doc.pieces) - cachedPieces; missing > 0 && importTime != nil {
		if seconds, ok := importTime(missing); ok && seconds < float64(missing*pieceTokens)/prefillRate {
			d.importPieces = missing
			prefill += seconds - float64(missing*pieceTokens)/prefillRate
		}
	}
	d.expectedFirstToken = d.queueTime + prefill
	return d, true
}

// pick returns the worker for r, or -1 if none is usable.
func (c *baselineChooser) pick(r *request, now float64, rng *rand.Rand) int {
	switch c.routing {
	case RoundRobin:
		return c.pickRoundRobin(r, now)
	case LeastLoaded:
		return c.pickLeastLoaded(r, now, rng.IntN(len(c.views)))
	case PowerOfTwo:
		return c.pickPowerOfTwo(r, now, rng)
	}
	return c.pickBoundedHash(r, now)
}

func (c *baselineChooser) pickRoundRobin(r *request, now float64) int {
	for range c.views {
		c.lastWorker = (c.lastWorker + 1) % len(c.views)
		if c.usable(c.lastWorker, r, now) {
			return c.lastWorker
		}
	}
	return -1
}

// pickLeastLoaded returns the usable worker with the fewest attempts. Ties go to the
// first such worker at or after start, in cyclic order.
func (c *baselineChooser) pickLeastLoaded(r *request, now float64, start int) int {
	best, least := -1, math.Inf(1)
	for k := range c.views {
		i := (start + k) % len(c.views)
		if l := c.views[i].attempts(); c.usable(i, r, now) && l < least {
			best, least = i, l
		}
	}
	return best
}

// pickPowerOfTwo draws two usable workers and returns the one with fewer attempts.
func (c *baselineChooser) pickPowerOfTwo(r *request, now float64, rng *rand.Rand) int {
	const tries = 20
	best := -1
	for n, k := 0, 0; k < tries && n < 2; k++ {
		i := rng.IntN(len(c.views))
		if i == best || !c.usable(i, r, now) {
			continue
		}
		n++
		if best < 0 || c.views[i].attempts() < c.views[best].attempts() {
			best = i
		}
	}
	return best
}

// pickBoundedHash returns the first usable worker in the document's rendezvous
// order whose number of attempts is at most bound times the mean plus one. If there
// is none, it returns the least loaded worker.
func (c *baselineChooser) pickBoundedHash(r *request, now float64) int {
	const bound = 1.25
	sum := 0.0
	for _, v := range c.views {
		sum += v.attempts()
	}
	limit := bound * (sum/float64(len(c.views)) + 1)
	best, highest := -1, uint64(0)
	key := strconv.Itoa(r.doc.id) + "/"
	for i, v := range c.views {
		if v.attempts() > limit || !c.usable(i, r, now) {
			continue
		}
		if h := xxhash.Sum64String(key + strconv.Itoa(i)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return c.pickLeastLoaded(r, now, 0)
	}
	return best
}

func (c *baselineChooser) recordDispatch(a *attempt, d decision, now float64) {
	v := c.views[d.worker]
	cachedPieces := v.worker.peek(a.req.doc) + d.importPieces
	v.sentSince = append(v.sentSince, dispatchRecord{at: now, uncachedTokens: float64(a.req.promptTokens() - cachedPieces*pieceTokens)})
}

func (c *baselineChooser) recordFirstToken(*attempt, float64) {}

func (c *baselineChooser) recordEnd(a *attempt, o route.Outcome, now float64) {
	const avoidFor = 1.0
	if o == route.Failed {
		c.views[a.worker.id].avoidUntil = now + avoidFor
	}
}

func (c *baselineChooser) observeReport(worker int, r engine.Report, _ engine.Events, _ float64) {
	v := c.views[worker]
	v.report = r
	at := r.At.Sub(epoch).Seconds()
	kept := v.sentSince[:0]
	for _, s := range v.sentSince {
		if s.at > at {
			kept = append(kept, s)
		}
	}
	v.sentSince = kept
}
