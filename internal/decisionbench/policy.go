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

// RoutingPolicy names a way to choose a worker.
type RoutingPolicy string

// The ways to choose a worker.
const (
	RoundRobin  RoutingPolicy = "round-robin"
	LeastLoaded RoutingPolicy = "least-loaded"
	PowerOfTwo  RoutingPolicy = "power-of-two"
	BoundedHash RoutingPolicy = "bounded-hash"
	Score       RoutingPolicy = "score"
)

// RoutingPolicies are all of them.
var RoutingPolicies = []RoutingPolicy{RoundRobin, LeastLoaded, PowerOfTwo, BoundedHash, Score}

// decision is where an attempt goes.
type decision struct {
	worker   int
	choice   route.Choice
	bring    int     // pieces to import first
	expected float64 // seconds to first token
	queue    float64 // part of it spent waiting
}

// chooser is the routing decision of one router.
type chooser interface {
	choose(r *request, now float64, cost bringCost, rng *rand.Rand) (decision, bool)
	dispatched(a *attempt, d decision, now float64)
	answered(a *attempt, now float64)
	ended(a *attempt, outcome route.Outcome, now float64)
	observe(worker int, r engine.Report, ev engine.Events, now float64)
}

// bringCost returns the seconds that importing pieces of the request's document
// takes.
type bringCost func(pieces int) (float64, bool)

// scoreChooser is the project's router.
type scoreChooser struct {
	router *route.Router
	ids    map[string]int
	names  []string
}

func newScoreChooser(s Setup) *scoreChooser {
	c := &scoreChooser{ids: map[string]int{}}
	s.Route.Service, s.Route.PieceTokens, s.Route.PrefillRate = "s", pieceTokens, prefillRate
	c.router = route.NewRouter(s.Route)
	var list []note.Endpoint
	for i := range s.Deployment.Workers {
		name := workerName(i)
		c.names = append(c.names, name)
		c.ids[name] = i
		list = append(list, note.Endpoint{Name: name, Service: "s", Slots: slots})
	}
	c.router.SetEndpoints(list)
	return c
}

func workerName(i int) string { return "w" + strconv.Itoa(i) }

func query(r *request, cost bringCost) route.Query {
	q := route.Query{
		Service: "s", Model: modelName, Version: modelVersion,
		PromptTokens: r.tokens(), Pieces: r.doc.pieces, Class: r.load.class, Exclude: r.tried,
	}
	if cost != nil {
		q.BringBackTime = func(_ string, missing int) (time.Duration, bool) {
			s, ok := cost(missing)
			return toDuration(s), ok
		}
	}
	return q
}

func (c *scoreChooser) choose(r *request, now float64, cost bringCost, rng *rand.Rand) (decision, bool) {
	ch, err := c.router.Choose(query(r, cost), timeAt(now), rng)
	if err != nil {
		return decision{}, false
	}
	d := decision{
		worker: c.ids[ch.Endpoint], choice: ch,
		expected: ch.Expected.Seconds(), queue: ch.Queue.Seconds(),
	}
	if ch.BringBack {
		d.bring = len(r.doc.pieces) - ch.CachedPieces
	}
	return d, true
}

func (c *scoreChooser) dispatched(a *attempt, d decision, now float64) {
	c.router.RecordDispatch(a.id, query(a.req, nil), d.choice, timeAt(now))
}

func (c *scoreChooser) answered(a *attempt, now float64) {
	c.router.RecordFirstToken(c.names[a.worker.id], a.id, timeAt(now))
}

func (c *scoreChooser) ended(a *attempt, o route.Outcome, now float64) {
	c.router.RecordEnd(c.names[a.worker.id], a.id, o, timeAt(now))
}

func (c *scoreChooser) observe(w int, r engine.Report, ev engine.Events, now float64) {
	c.router.ObserveReport(c.names[w], r, timeAt(now))
	c.router.ApplyCacheEvents(c.names[w], ev)
}

// rivalView is what a rival knows of a worker: late reports and its own
// attempts since, like the score, and, unlike it, the exact cache.
type rivalView struct {
	worker *worker
	report engine.Report
	since  []sent // own attempts after the report
	skipTo float64
}

type sent struct {
	at     float64
	tokens float64
}

// rival is the other ways to choose. It avoids a worker for a second after a
// failed attempt.
type rival struct {
	way   RoutingPolicy
	views []*rivalView
	next  int
}

func newRival(way RoutingPolicy, workers []*worker, offset int) *rival {
	c := &rival{way: way, next: offset}
	for _, w := range workers {
		c.views = append(c.views, &rivalView{worker: w})
	}
	return c
}

func (v *rivalView) load() float64 {
	return float64(v.report.Running + v.report.Waiting + len(v.since))
}

func (v *rivalView) queue() float64 {
	tokens := float64(v.report.QueuedTokens)
	for _, s := range v.since {
		tokens += s.tokens
	}
	return tokens / prefillRate
}

func (c *rival) usable(i int, r *request, now float64) bool {
	if now < c.views[i].skipTo {
		return false
	}
	for _, t := range r.tried {
		if t == workerName(i) {
			return false
		}
	}
	return true
}

func (c *rival) choose(r *request, now float64, cost bringCost, rng *rand.Rand) (decision, bool) {
	i := c.pick(r, now, rng)
	if i < 0 {
		return decision{}, false
	}
	v := c.views[i]
	have := v.worker.peek(r.doc)
	fill := float64(r.tokens()-have*pieceTokens) / prefillRate
	d := decision{worker: i, queue: v.queue()}
	if missing := len(r.doc.pieces) - have; missing > 0 && cost != nil {
		if s, ok := cost(missing); ok && s < float64(missing*pieceTokens)/prefillRate {
			d.bring = missing
			fill += s - float64(missing*pieceTokens)/prefillRate
		}
	}
	d.expected = d.queue + fill
	return d, true
}

func (c *rival) pick(r *request, now float64, rng *rand.Rand) int {
	switch c.way {
	case RoundRobin:
		return c.pickRoundRobin(r, now)
	case LeastLoaded:
		return c.pickLeast(r, now, rng.IntN(len(c.views)))
	case PowerOfTwo:
		return c.pickOfTwo(r, now, rng)
	}
	return c.pickHash(r, now)
}

func (c *rival) pickRoundRobin(r *request, now float64) int {
	for range c.views {
		c.next = (c.next + 1) % len(c.views)
		if c.usable(c.next, r, now) {
			return c.next
		}
	}
	return -1
}

func (c *rival) pickLeast(r *request, now float64, from int) int {
	best, least := -1, math.Inf(1)
	for k := range c.views {
		i := (from + k) % len(c.views)
		if l := c.views[i].load(); c.usable(i, r, now) && l < least {
			best, least = i, l
		}
	}
	return best
}

func (c *rival) pickOfTwo(r *request, now float64, rng *rand.Rand) int {
	const tries = 20
	best := -1
	for n, k := 0, 0; k < tries && n < 2; k++ {
		i := rng.IntN(len(c.views))
		if i == best || !c.usable(i, r, now) {
			continue
		}
		n++
		if best < 0 || c.views[i].load() < c.views[best].load() {
			best = i
		}
	}
	return best
}

// pickHash goes down the document's rendezvous order to the first worker whose
// load is not far above the mean.
func (c *rival) pickHash(r *request, now float64) int {
	const bound = 1.25
	sum := 0.0
	for _, v := range c.views {
		sum += v.load()
	}
	limit := bound * (sum/float64(len(c.views)) + 1)
	best, highest := -1, uint64(0)
	key := strconv.Itoa(r.doc.id) + "/"
	for i, v := range c.views {
		if v.load() > limit || !c.usable(i, r, now) {
			continue
		}
		if h := xxhash.Sum64String(key + strconv.Itoa(i)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return c.pickLeast(r, now, 0)
	}
	return best
}

func (c *rival) dispatched(a *attempt, d decision, now float64) {
	v := c.views[d.worker]
	have := v.worker.peek(a.req.doc) + d.bring
	v.since = append(v.since, sent{at: now, tokens: float64(a.req.tokens() - have*pieceTokens)})
}

func (c *rival) answered(*attempt, float64) {}

func (c *rival) ended(a *attempt, o route.Outcome, now float64) {
	const avoidFor = 1.0
	if o == route.Failed {
		c.views[a.worker.id].skipTo = now + avoidFor
	}
}

func (c *rival) observe(w int, r engine.Report, _ engine.Events, _ float64) {
	v := c.views[w]
	v.report = r
	at := r.At.Sub(start).Seconds()
	keep := v.since[:0]
	for _, s := range v.since {
		if s.at > at {
			keep = append(keep, s)
		}
	}
	v.since = keep
}
