package admit

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"redwingknot/contract"
	"redwingknot/internal/options"
)

// Defaults of Config.
const (
	defaultFill       = 0.8
	defaultStep       = 0.6
	defaultFirmStep   = 0.3
	defaultRamp       = 0.5
	defaultWindow     = 10 * time.Second
	defaultRetryBase  = time.Second
	defaultRetryMax   = 30 * time.Second
	defaultFirstError = 50 * time.Millisecond
)

// refreshInterval is how often ranks and team levels are worked out again.
const refreshInterval = 100 * time.Millisecond

// Config sets up a Controller. Zero fields take defaults.
type Config struct {
	TopQueueShare     float64       // share of its first-token time that the most valuable class may queue
	ClassStep         float64       // the same of each class relative to the next more valuable
	OverloadClassStep float64       // Step once a tenth of the work is refused
	RampStart         float64       // share of the allowed queue above which some are refused
	TeamWindow        time.Duration // over which teams are compared
	MinRetryAfter     time.Duration // least time to come back after
	MaxRetryAfter     time.Duration // most time to come back after
}

func (c Config) withDefaults() Config {
	options.Default(&c.TopQueueShare, defaultFill)
	options.Default(&c.ClassStep, defaultStep)
	options.Default(&c.OverloadClassStep, defaultFirmStep)
	options.Default(&c.RampStart, defaultRamp)
	options.Default(&c.TeamWindow, defaultWindow)
	options.Default(&c.MinRetryAfter, defaultRetryBase)
	options.Default(&c.MaxRetryAfter, defaultRetryMax)
	return c
}

// Query describes a request that asks for admission.
type Query struct {
	Team          string
	Class         contract.Class
	TimeLeft      time.Duration // until the first token is due; zero means Class.FirstIn
	Expected      time.Duration // to first token, of the chosen endpoint
	QueueTime     time.Duration // the part of Expected spent waiting
	MeanQueueTime time.Duration // mean wait at the service's endpoints; zero means Queue
	Cost          time.Duration // processing time that the request takes from an endpoint
}

// Controller admits the requests of one service at one instance. It is safe
// for concurrent use. A request whose expected time exceeds what is left is
// never admitted.
//
// The queue that a class may find is shorter the less a second of processing
// is worth in it, so that the classes fill up from the most valuable: the
// least valuable is refused first and the queue stays short for the others.
type Controller struct {
	config Config

	mu        sync.Mutex
	classes   map[string]*class
	refreshed time.Time
	miss      float64 // mean error of the expected time, in seconds
	refused   float64 // share of recent work refused
}

// NewController returns a controller that has seen no request.
func NewController(c Config) *Controller {
	return &Controller{
		config:  c.withDefaults(),
		classes: map[string]*class{},
		miss:    defaultFirstError.Seconds(),
	}
}

// Admit returns nil if the request may run now, and otherwise a
// *contract.Refusal that says when to come back.
func (c *Controller) Admit(q Query, now time.Time, rng *rand.Rand) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.TimeLeft == 0 {
		q.TimeLeft = q.Class.FirstIn
	}
	q.MeanQueueTime = c.load(q)
	k := c.class(q.Class)
	k.offered(q, now, c.config.TeamWindow)
	c.refresh(now)
	refusal := c.decide(k, q, rng)
	if refusal == nil || refusal.Reason == contract.ReasonOverload {
		k.decided(refusal == nil)
		c.weigh(k, q, refusal != nil)
	}
	if refusal == nil {
		return nil
	}
	return refusal
}

// Observe learns from a first token how far expectations are off.
func (c *Controller) Observe(expected, actual time.Duration) {
	const weight = 0.02
	c.mu.Lock()
	defer c.mu.Unlock()
	off := math.Abs((actual - expected).Seconds())
	c.miss = (1-weight)*c.miss + weight*off
}

// ExpectedWorth returns the worth that running q is expected to bring: that of its
// class times the chance of a first token in time.
func (c *Controller) ExpectedWorth(q Query) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return q.Class.Worth * c.chance(q)
}

// chance is a logistic curve around the time left whose width is the usual
// error of the expectation.
func (c *Controller) chance(q Query) float64 {
	const least = 0.001 // seconds
	x := (q.TimeLeft - q.Expected).Seconds() / max(c.miss, least)
	return 1 / (1 + math.Exp(-x))
}

func (c *Controller) decide(k *class, q Query, rng *rand.Rand) *contract.Refusal {
	if q.Expected-q.QueueTime >= q.TimeLeft {
		return &contract.Refusal{
			Status: http.StatusGatewayTimeout,
			Reason: contract.ReasonDeadline,
			Ran:    contract.NotRun,
			Detail: "the time left does not suffice even without a queue",
		}
	}
	if q.Expected >= q.TimeLeft {
		return c.overloaded(k, rng, "the queue is longer than the time left")
	}
	if !k.passes(q, c.config.RampStart, rng) {
		return c.overloaded(k, rng, "requests of more worth take the capacity")
	}
	return nil
}

// overloaded refuses with a time to come back that is drawn from a range which
// grows with the share refused, so that the refused return spread out.
func (c *Controller) overloaded(k *class, rng *rand.Rand, detail string) *contract.Refusal {
	const growth = 8
	low := c.config.MinRetryAfter
	high := low * time.Duration(2+growth*(1-k.admitted))
	wait := low + time.Duration(rng.Int64N(int64(high-low)+1))
	return contract.Overloaded(contract.ReasonOverload, min(wait, c.config.MaxRetryAfter), detail)
}

func (c *Controller) class(spec contract.Class) *class {
	k, ok := c.classes[spec.Name]
	if !ok {
		k = newClass(spec)
		c.classes[spec.Name] = k
	}
	k.spec = spec
	return k
}

// refresh ranks the classes by worth for processing time and sets the queue
// that each may find.
func (c *Controller) refresh(now time.Time) {
	if now.Sub(c.refreshed) < refreshInterval && !c.refreshed.IsZero() {
		return
	}
	c.refreshed = now
	ranked := make([]*class, 0, len(c.classes))
	for name, k := range c.classes {
		if k.idle(now, c.config.TeamWindow) {
			delete(c.classes, name)
			continue
		}
		ranked = append(ranked, k)
	}
	slices.SortFunc(ranked, byDensity)
	limit, step := math.Inf(1), c.step()
	for _, k := range ranked {
		k.allowance = min(k.spec.FirstIn.Seconds()*c.config.TopQueueShare, limit)
		limit = k.allowance * step
		k.setLevel(now, c.config.TeamWindow)
	}
}

// weigh folds a decision into the share of work refused.
func (c *Controller) weigh(k *class, q Query, refused bool) {
	const weight = 0.02
	w := weight * min(q.Cost.Seconds()/max(k.cost, 1e-6), 1/weight)
	x := 0.0
	if refused {
		x = 1
	}
	c.refused = (1-w)*c.refused + w*x
}

// firmness grows from 0 to 1 as the share of work refused nears a tenth.
func (c *Controller) firmness() float64 {
	const firmAt = 0.1
	return min(c.refused/firmAt, 1)
}

// step is firmer the more is refused: a queue evens out bursts, and under a
// lasting overload it only delays those that are admitted.
func (c *Controller) step() float64 {
	return c.config.ClassStep + (c.config.OverloadClassStep-c.config.ClassStep)*c.firmness()
}

// load is the wait that decides on a class. A queue at the chosen endpoint
// alone may be a burst on a prefix's home and is no reason to refuse; under a
// lasting overload it is.
func (c *Controller) load(q Query) time.Duration {
	if q.MeanQueueTime == 0 || q.MeanQueueTime >= q.QueueTime {
		return q.QueueTime
	}
	return q.MeanQueueTime + time.Duration(c.firmness()*float64(q.QueueTime-q.MeanQueueTime))
}
