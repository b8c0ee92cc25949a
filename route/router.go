package route

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/note"
)

// minBlocksPerEndpoint keeps a useful cache view of each endpoint however many
// there are.
const minBlocksPerEndpoint = 64

// Router places the requests of one service. It is safe for concurrent use;
// its decisions depend on nothing but what it was told.
type Router struct {
	config Config

	mu        sync.Mutex
	byName    map[string]*endpoint
	endpoints []*endpoint // by slot, nil if the slot is free
	leaving   map[string]bool
	view      *cacheView
	blocksPer int

	calibration float64 // observed over modelled time of processing a prompt
	hold        float64 // seconds a request holds a slot
	ejected     int

	pending float64 // own seconds of processing without a first token
	recent  recentWait
	jitter  *rand.Rand // of ejections

	homes []uint64 // by slot: the endpoint's hash, 0 if it can't be a home

	cached []uint16 // scratch of a decision, by slot
	sought []bool   // the same: whether the slot is in scores
	scores []score
	blocks []uint64
}

// NewRouter returns a router without endpoints.
func NewRouter(c Config) *Router {
	c = c.withDefaults()
	return &Router{
		config:      c,
		byName:      map[string]*endpoint{},
		leaving:     map[string]bool{},
		view:        newCacheView(),
		blocksPer:   c.MaxBlocks,
		calibration: 1,
		hold:        c.Hold.Seconds(),
		jitter:      rand.New(rand.NewPCG(xxhash.Sum64String(c.Service), 0)),
	}
}

// SetEndpoints replaces the endpoints by those of list that belong to the
// service. What is known of those that stay is kept.
func (r *Router) SetEndpoints(list []note.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	for _, spec := range list {
		if spec.Service != r.config.Service {
			continue
		}
		wanted[spec.Name] = true
		r.setEndpoint(spec)
	}
	for name, e := range r.byName {
		if !wanted[name] {
			r.withdraw(e)
		}
	}
	r.blocksPer = max(r.config.MaxBlocks/max(len(r.byName), 1), minBlocksPerEndpoint)
	r.cached = make([]uint16, len(r.endpoints))
	r.sought = make([]bool, len(r.endpoints))
	r.homes = make([]uint64, len(r.endpoints))
	for _, e := range r.byName {
		r.setHome(e)
	}
}

func (r *Router) setEndpoint(spec note.Endpoint) {
	if e, ok := r.byName[spec.Name]; ok && e.spec.URL == spec.URL {
		e.spec = spec
		return
	} else if ok {
		r.withdraw(e)
	}
	e := newEndpoint(spec, r.freeSlot())
	e.leaving = r.leaving[spec.Name]
	r.byName[spec.Name] = e
	r.endpoints[e.slot] = e
}

func (r *Router) freeSlot() uint16 {
	for i, e := range r.endpoints {
		if e == nil {
			return uint16(i)
		}
	}
	r.endpoints = append(r.endpoints, nil)
	return uint16(len(r.endpoints) - 1)
}

// setHome says whether prefixes may have their home at e.
func (r *Router) setHome(e *endpoint) {
	r.homes[e.slot] = e.hash
	if e.leaving || e.report.Leaving {
		r.homes[e.slot] = 0
	}
}

func (r *Router) withdraw(e *endpoint) {
	e.withdrawn = true
	r.view.reset(e.slot)
	if e.health.ejected() {
		r.ejected--
	}
	r.pending -= e.pendingTokens / r.config.PrefillRate
	r.endpoints[e.slot] = nil
	delete(r.byName, e.spec.Name)
}

// SetLeaving records whether the endpoint is about to stop, by any source. It
// may be called before the endpoint is known.
func (r *Router) SetLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[name] = true
	} else {
		delete(r.leaving, name)
	}
	if e, ok := r.byName[name]; ok {
		e.leaving = leaving
		r.setHome(e)
	}
}

// Quarantine keeps all other requests off an endpoint that runs a suspect.
func (r *Router) Quarantine(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if on {
		e.quarantined++
	} else if e.quarantined > 0 {
		e.quarantined--
	}
}

// Observe takes an endpoint's report, which may be late or out of order.
func (r *Router) Observe(name string, report engine.Report, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.reported && e.report.Epoch != report.Epoch && !report.At.Before(e.report.At) {
		r.view.reset(e.slot)
	}
	e.observe(report)
	r.setHome(e)
}

// CacheEvents takes a batch of an endpoint's cache events. A gap or another
// start of the engine clears what was known of its cache.
func (r *Router) CacheEvents(name string, batch engine.Events) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if batch.Epoch != e.epoch || batch.Gap {
		r.view.reset(e.slot)
		e.epoch = batch.Epoch
		e.eventSeq = 0
	}
	for _, ev := range batch.List {
		r.cacheEvent(e, ev)
	}
	e.eventSeq = max(e.eventSeq, batch.Last)
}

// CacheEvent takes one cache event. A hole in the sequence clears what was
// known of the endpoint's cache, since a removal may be missing.
func (r *Router) CacheEvent(name string, ev engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[name]
	if !ok {
		return
	}
	if e.eventSeq != 0 && ev.Seq > e.eventSeq+1 {
		r.view.reset(e.slot)
	}
	r.cacheEvent(e, ev)
}

func (r *Router) cacheEvent(e *endpoint, ev engine.Event) {
	if ev.Seq != 0 && ev.Seq <= e.eventSeq {
		return
	}
	e.eventSeq = ev.Seq
	block := xxhash.Sum64String(ev.Block)
	if ev.Removed {
		r.view.remove(e.slot, block)
		return
	}
	r.view.add(e.slot, block, r.blocksPer)
}

// Dispatched records that attempt was sent as c says. Its prefix counts as
// cached at the endpoint from now on.
func (r *Router) Dispatched(attempt string, q Query, c Choice, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byName[c.Endpoint]
	if !ok {
		return
	}
	d := &dispatch{
		attempt:  attempt,
		at:       now,
		tokens:   c.prefill * r.config.PrefillRate,
		queue:    c.Queue.Seconds(),
		expected: c.Expected.Seconds(),
		slow:     orOne(c.slow),
	}
	e.dispatched(d)
	r.pending += c.prefill
	e.health.dispatched(attempt)
	for _, p := range q.Pieces {
		r.view.add(e.slot, xxhash.Sum64String(p), r.blocksPer)
	}
}

// FirstToken records that the attempt's answer has begun.
func (r *Router) FirstToken(name, attempt string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.find(name, attempt)
	if d == nil || d.answered {
		return
	}
	e.firstToken(d)
	r.pending -= d.tokens / r.config.PrefillRate
	waited := now.Sub(d.at).Seconds() - (d.expected - d.queue)
	r.recent.add(waited, now)
	e.recent.add(waited, now)
	r.learn(e, d, now)
}

// learn corrects the service's calibration slowly and the endpoint's slowness
// fast, so that a slow endpoint differs from a slow service. Attempts that were
// to wait for most of the time say little about the speed of processing.
func (r *Router) learn(e *endpoint, d *dispatch, now time.Time) {
	const floor = 0.01 // seconds below which a ratio is mostly noise
	const weight, low, high = 0.01, 0.1, 10
	ratio := (now.Sub(d.at).Seconds() + floor) / (d.expected/d.slow + floor)
	if d.queue < d.expected/2 {
		// Towards the median: a few attempts that met a queue don't count for more.
		r.calibration *= 1 + weight*math.Copysign(1, ratio-1)
		r.calibration = min(max(r.calibration, low), high)
	}
	e.learn(ratio, now)
}

// Ended records the end of an attempt.
func (r *Router) Ended(name, attempt string, outcome Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, d := r.find(name, attempt)
	if d == nil {
		return
	}
	if !d.answered {
		r.pending -= d.tokens / r.config.PrefillRate
	}
	e.end(d)
	switch outcome {
	case Succeeded:
		r.succeeded(e, d, now)
	case Canceled:
		e.health.abandoned(attempt)
	case AnsweredOldVersion:
		e.health.abandoned(attempt)
		e.versionAt = now
	case Failed, Crashed:
		r.failed(e, attempt, now)
	}
}

func (r *Router) succeeded(e *endpoint, d *dispatch, now time.Time) {
	const weight = 0.02
	if e.health.ejected() {
		r.ejected--
		event.EndpointRestored.Log(r.config.Log, r.endpointAttr(e))
	}
	e.health.succeeded()
	r.hold = (1-weight)*r.hold + weight*now.Sub(d.at).Seconds()
}

func (r *Router) failed(e *endpoint, attempt string, now time.Time) {
	was := e.health.ejected()
	mayEject := float64(r.ejected+1) <= r.config.MaxEjected*float64(len(r.byName))
	if e.health.failed(attempt, &r.config, mayEject, now, r.jitter) && !was {
		r.ejected++
		event.EndpointEjected.Log(r.config.Log, r.endpointAttr(e))
	}
}

func (r *Router) endpointAttr(e *endpoint) slog.Attr {
	return slog.Group("endpoint", slog.String("service", r.config.Service), slog.String("name", e.spec.Name))
}

func (r *Router) find(name, attempt string) (*endpoint, *dispatch) {
	e, ok := r.byName[name]
	if !ok {
		return nil, nil
	}
	return e, e.inFlight[attempt]
}

// score is an endpoint's expected time to first token in seconds.
type score struct {
	slot      int
	total     float64
	rank      float64 // total and the price of another copy of the prefix
	queue     float64
	prefill   float64
	slow      float64 // learned, of the endpoint
	verdict   Verdict
	bringBack bool
}

// Choose decides where q runs. The error is a *NoEndpointError.
func (r *Router) Choose(q Query, now time.Time, rng *rand.Rand) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lookUp(q.Pieces)
	home := r.home()
	r.seek(&q, home, rng)
	best := r.scoreAll(&q, home, now)
	if math.IsInf(best, 1) {
		r.seekAll()
		best = r.scoreAll(&q, home, now)
	}
	if math.IsInf(best, 1) {
		return Choice{}, r.noEndpoint()
	}
	if q.BringBack != nil && len(q.Pieces) > 0 {
		best = r.weighBringBack(&q, home, best, rng)
	}
	return r.choice(&q, r.pick(&q, best, rng)), nil
}

// sampled is the number of endpoints that a decision draws at random, and the
// most that it takes for having the prefix cached. A service of up to twice as
// many is scored whole.
const sampled = 32

// seek fills scores with the endpoints to be scored: the prefix's home, some
// that have it cached and some at random, or all if they are few.
func (r *Router) seek(q *Query, home int, rng *rand.Rand) {
	n := len(r.endpoints)
	if q.Explain || q.Alone || n <= 2*sampled {
		r.seekAll()
		return
	}
	clear(r.sought)
	r.scores = r.scores[:0]
	if home >= 0 {
		r.add(home)
	}
	start := rng.IntN(n)
	r.addCached(start, n)
	r.addCached(0, start)
	for range sampled {
		r.add(rng.IntN(n))
	}
}

func (r *Router) addCached(from, to int) {
	for slot := from; slot < to && len(r.scores) < sampled; slot++ {
		if r.cached[slot] > 0 {
			r.add(slot)
		}
	}
}

func (r *Router) add(slot int) {
	if r.sought[slot] || r.endpoints[slot] == nil {
		return
	}
	r.sought[slot] = true
	r.scores = append(r.scores, score{slot: slot})
}

func (r *Router) seekAll() {
	r.scores = r.scores[:0]
	for slot, e := range r.endpoints {
		if e != nil {
			r.scores = append(r.scores, score{slot: slot})
		}
	}
}

// lookUp fills the scratch with each endpoint's cached prefix.
func (r *Router) lookUp(pieces []string) {
	clear(r.cached)
	r.blocks = r.blocks[:0]
	for _, p := range pieces {
		r.blocks = append(r.blocks, xxhash.Sum64String(p))
	}
	r.view.prefix(r.blocks, r.cached)
}

// scoreAll scores without bringing back and returns the best rank.
func (r *Router) scoreAll(q *Query, home int, now time.Time) float64 {
	best := math.Inf(1)
	for i := range r.scores {
		s := &r.scores[i]
		e := r.endpoints[s.slot]
		s.verdict = e.verdict(q, &r.config, now)
		if s.verdict != NearBest {
			continue
		}
		r.score(s, q, e, now)
		s.rank = s.total + r.copyPrice(q, s.slot, home)
		best = min(best, s.rank)
	}
	return best
}

func (r *Router) score(s *score, q *Query, e *endpoint, now time.Time) {
	if r.config.Kind == note.KindPlain {
		r.scorePlain(s, q, e, now)
		return
	}
	tokens := float64(q.PromptTokens - int(r.cached[s.slot])*r.config.PieceTokens)
	s.prefill = max(tokens, 1) / r.config.PrefillRate
	s.slow = e.slowness(now)
	s.queue = r.wait(e, now) * s.slow
	s.total = s.queue + s.prefill*r.calibration*s.slow + r.network(q, e) + e.overdue(now)
}

// wait returns the seconds that a prompt is expected to queue at e. The report
// counts by its freshness; the rest is what this router's own requests waited
// of late anywhere, plus how far its load here is from its mean.
func (r *Router) wait(e *endpoint, now time.Time) float64 {
	told := e.queuedTokens() / r.config.PrefillRate * r.calibration
	if slots := e.spec.Slots; slots > 0 {
		over := float64(e.outstanding() + 1 - slots)
		told = max(told, over*r.hold/float64(slots))
	}
	if !r.recent.fresh(now) {
		return told
	}
	usual := r.recent.wait
	local := freshness(now.Sub(e.recent.at), r.config.Memory)
	usual = local*e.recent.wait + (1-local)*usual
	own := e.pendingTokens / r.config.PrefillRate
	usual += r.config.OwnWeight * (own - r.pending/float64(len(r.byName)))
	trust := freshness(now.Sub(e.report.At), r.config.Memory)
	return trust*told + (1-trust)*max(usual, own)
}

// scorePlain scores by outstanding requests: plain endpoints report no load.
func (r *Router) scorePlain(s *score, q *Query, e *endpoint, now time.Time) {
	s.prefill = 0
	s.queue = float64(len(e.inFlight)) * r.hold / float64(max(e.spec.Slots, 1))
	s.slow = e.slowness(now)
	s.total = (s.queue+r.hold)*s.slow + r.network(q, e) + e.overdue(now)
}

// home returns the slot with the highest rendezvous weight for the prefix that
// was looked up, -1 without one. Routers that don't yet know of each other's
// copies agree on it.
func (r *Router) home() int {
	home, highest := -1, uint64(0)
	if len(r.blocks) == 0 {
		return home
	}
	for slot, hash := range r.homes {
		if w := mix(r.blocks[0] ^ hash); hash != 0 && w > highest {
			home, highest = slot, w
		}
	}
	return home
}

// mix is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// copyPrice is what a further copy of the missing pieces costs others: it takes
// cache from other prefixes. A copy at home is wanted and free.
func (r *Router) copyPrice(q *Query, slot, home int) float64 {
	missing := len(q.Pieces) - int(r.cached[slot])
	if slot == home || missing <= 0 {
		return 0
	}
	return r.config.CopyPrice * float64(missing*r.config.PieceTokens) / r.config.PrefillRate
}

func (r *Router) network(q *Query, e *endpoint) float64 {
	if q.DataCentre == e.spec.DataCentre {
		return 0
	}
	return 2 * r.config.CrossDelay.Seconds()
}

// weighBringBack lowers scores by importing the missing pieces where that is
// faster. Only endpoints that could then beat the best are asked about, the
// home first: if nothing can be brought there, a copy elsewhere has no price.
func (r *Router) weighBringBack(q *Query, home int, best float64, rng *rand.Rand) float64 {
	const maxAsked = 16
	priced := true
	if i := r.position(home); i >= 0 {
		priced = r.tryBringBack(q, &r.scores[i], true)
		if r.scores[i].verdict == NearBest {
			best = min(best, r.scores[i].rank)
		}
	}
	asked := 0
	start := rng.IntN(len(r.scores))
	for i := range r.scores {
		s := &r.scores[(start+i)%len(r.scores)]
		if s.slot == home || s.queue >= best {
			continue
		}
		if asked++; asked > maxAsked {
			break
		}
		if r.tryBringBack(q, s, priced) && s.verdict == NearBest {
			best = min(best, s.rank)
		}
	}
	return best
}

// position returns where slot is in scores, -1 if it is not.
func (r *Router) position(slot int) int {
	for i := range r.scores {
		if r.scores[i].slot == slot {
			return i
		}
	}
	return -1
}

// tryBringBack scores an endpoint with an import of its missing pieces if there is one
// and it is faster. It reports whether the endpoint can have them, by an import or as it is.
func (r *Router) tryBringBack(q *Query, s *score, priced bool) bool {
	missing := len(q.Pieces) - int(r.cached[s.slot])
	if s.verdict != NearBest || missing <= 0 {
		return true
	}
	cost, ok := q.BringBack(r.endpoints[s.slot].spec.Name, missing)
	if !ok {
		return false
	}
	rest := max(float64(q.PromptTokens-len(q.Pieces)*r.config.PieceTokens), 1) / r.config.PrefillRate
	// The endpoint's queue moves on while the pieces are copied.
	wait := max(s.queue, cost.Seconds())
	total := s.total - s.queue + wait - (s.prefill-rest)*r.calibration*s.slow
	if total >= s.total {
		return true
	}
	s.rank += total - s.total
	if !priced {
		s.rank = total
	}
	s.total = total
	s.prefill = rest
	s.bringBack = true
	return true
}

// pick draws among the endpoints that are near the best, the nearer the
// likelier, so that routers with the same late reports choose differently. It
// returns a position in scores.
func (r *Router) pick(q *Query, best float64, rng *rand.Rand) int {
	limit := best + max(best*r.config.Tolerance, r.config.Slack.Seconds())
	sum := 0.0
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		if s.rank > limit {
			s.verdict = Slower
			continue
		}
		sum += limit - s.rank
	}
	at := rng.Float64() * sum
	picked := -1
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest {
			continue
		}
		picked = i
		if at -= limit - s.rank; at < 0 {
			break
		}
	}
	if q.Alone {
		picked = r.idlest(picked)
	}
	return picked
}

// idlest returns the eligible endpoint with the fewest requests.
func (r *Router) idlest(picked int) int {
	for i := range r.scores {
		s := &r.scores[i]
		if s.verdict != NearBest && s.verdict != Slower {
			continue
		}
		if r.endpoints[s.slot].outstanding() < r.endpoints[r.scores[picked].slot].outstanding() {
			picked = i
		}
	}
	return picked
}

func (r *Router) choice(q *Query, picked int) Choice {
	s := &r.scores[picked]
	s.verdict = Chosen
	c := Choice{
		Endpoint:     r.endpoints[s.slot].spec.Name,
		Expected:     seconds(s.total),
		Queue:        seconds(s.queue),
		MeanQueue:    seconds(r.meanQueue()),
		CachedPieces: int(r.cached[s.slot]),
		BringBack:    s.bringBack,
		prefill:      s.prefill,
		slow:         s.slow,
	}
	if q.Explain {
		c.Considered = r.considered()
	}
	return c
}

func (r *Router) meanQueue() float64 {
	sum, n := 0.0, 0.0
	for i := range r.scores {
		if v := r.scores[i].verdict; v == Chosen || v == NearBest || v == Slower {
			sum += r.scores[i].queue
			n++
		}
	}
	return sum / n
}

func (r *Router) considered() []Candidate {
	list := make([]Candidate, 0, len(r.scores))
	for _, s := range r.scores {
		list = append(list, Candidate{
			Endpoint:     r.endpoints[s.slot].spec.Name,
			Verdict:      s.verdict,
			Expected:     seconds(s.total),
			Queue:        seconds(s.queue),
			CachedPieces: int(r.cached[s.slot]),
			BringBack:    s.bringBack,
		})
	}
	return list
}

func (r *Router) noEndpoint() error {
	err := &NoEndpointError{Service: r.config.Service}
	for _, s := range r.scores {
		err.Verdicts[s.verdict]++
	}
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// orOne is the slowness of a choice that was not made by Choose.
func orOne(slow float64) float64 {
	if slow == 0 {
		return 1
	}
	return slow
}
