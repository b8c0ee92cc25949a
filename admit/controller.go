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

// Defaults of Config, and the initial value of the prediction error.
const (
	defaultTopQueueShare     = 0.8
	defaultClassStep         = 0.6
	defaultOverloadClassStep = 0.3
	defaultRampStart         = 0.5
	defaultTeamWindow        = 10 * time.Second
	defaultMinRetryAfter     = time.Second
	defaultMaxRetryAfter     = 30 * time.Second
	initialPredictionError   = 50 * time.Millisecond
)

// refreshInterval is the least time between two computations of the classes'
// longest waits and fair levels.
const refreshInterval = 100 * time.Millisecond

// Config configures a Controller. Zero fields take defaults.
type Config struct {
	TopQueueShare     float64       // longest wait of a class as a share of its FirstIn; ClassStep also bounds all but the class of most worth
	ClassStep         float64       // longest wait of a class as a share of that of the class with the next higher worth per processing time
	OverloadClassStep float64       // ClassStep changes to this value as the share of work refused rises to a tenth
	RampStart         float64       // share of a class's longest wait above which some of its requests are refused
	TeamWindow        time.Duration // time constant over which the work of teams is compared
	MinRetryAfter     time.Duration // shortest retry-after time of a refusal
	MaxRetryAfter     time.Duration // longest retry-after time of a refusal
}

func (c Config) withDefaults() Config {
	options.Default(&c.TopQueueShare, defaultTopQueueShare)
	options.Default(&c.ClassStep, defaultClassStep)
	options.Default(&c.OverloadClassStep, defaultOverloadClassStep)
	options.Default(&c.RampStart, defaultRampStart)
	options.Default(&c.TeamWindow, defaultTeamWindow)
	options.Default(&c.MinRetryAfter, defaultMinRetryAfter)
	options.Default(&c.MaxRetryAfter, defaultMaxRetryAfter)
	return c
}

// Query describes a request to be admitted or refused.
type Query struct {
	Team          string
	Class         contract.Class
	TimeLeft      time.Duration // time until the first token is due; zero means Class.FirstIn
	Expected      time.Duration // expected time to first token at the chosen endpoint
	QueueTime     time.Duration // part of Expected that is spent waiting
	MeanQueueTime time.Duration // mean wait over the service's endpoints; zero means QueueTime
	Cost          time.Duration // processing time that the request takes at an endpoint
}

// Controller admits or refuses the requests of one service at one instance. It
// is safe for concurrent use. A request is never admitted if its expected time to
// first token is not less than the time left.
//
// The longest wait at which a class is still admitted is shorter for classes with
// less worth per second of processing time. Thus the class in which a second is
// worth least is refused first, and the queue stays short for the others.
type Controller struct {
	config Config

	mu                  sync.Mutex
	classes             map[string]*classState
	lastRefresh         time.Time // when refresh last recomputed the classes' state
	meanPredictionError float64   // moving average of the absolute error of the expected time, in seconds
	refusedShare        float64   // moving average of the share of work refused
}

// NewController returns a Controller that has seen no requests.
func NewController(c Config) *Controller {
	return &Controller{
		config:              c.withDefaults(),
		classes:             map[string]*classState{},
		meanPredictionError: initialPredictionError.Seconds(),
	}
}

// Admit returns nil if the request may run now. Otherwise it returns a
// *contract.Refusal, which says when to retry unless a retry cannot help.
func (c *Controller) Admit(q Query, now time.Time, rng *rand.Rand) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.TimeLeft == 0 {
		q.TimeLeft = q.Class.FirstIn
	}
	// From here on, MeanQueueTime holds the wait that queueAllows checks.
	q.MeanQueueTime = c.effectiveWait(q)
	cs := c.classFor(q.Class)
	cs.recordRequest(q, now, c.config.TeamWindow)
	c.refresh(now)
	refusal := c.decide(cs, q, rng)
	if refusal == nil || refusal.Reason == contract.ReasonOverload {
		cs.recordDecision(refusal == nil)
		c.updateRefusedShare(cs, q, refusal != nil)
	}
	if refusal == nil {
		return nil
	}
	return refusal
}

// Observe updates the mean prediction error from the expected and the actual
// time to a request's first token.
func (c *Controller) Observe(expected, actual time.Duration) {
	const weight = 0.02
	c.mu.Lock()
	defer c.mu.Unlock()
	absError := math.Abs((actual - expected).Seconds())
	c.meanPredictionError = (1-weight)*c.meanPredictionError + weight*absError
}

// ExpectedWorth returns the expected worth of running q: the worth of its class times the
// probability that the first token arrives in time.
func (c *Controller) ExpectedWorth(q Query) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return q.Class.Worth * c.onTimeProbability(q)
}

// onTimeProbability returns the probability that the first token of q arrives in
// time. It is a logistic function of the time to spare, scaled by the mean
// prediction error.
func (c *Controller) onTimeProbability(q Query) float64 {
	const minError = 0.001 // seconds
	x := (q.TimeLeft - q.Expected).Seconds() / max(c.meanPredictionError, minError)
	return 1 / (1 + math.Exp(-x))
}

// decide returns nil if q is admitted, and otherwise the refusal.
func (c *Controller) decide(cs *classState, q Query, rng *rand.Rand) *contract.Refusal {
	if q.Expected-q.QueueTime >= q.TimeLeft {
		return &contract.Refusal{
			Status: http.StatusGatewayTimeout,
			Reason: contract.ReasonDeadline,
			Ran:    contract.NotRun,
			Detail: "the time left does not suffice even without a queue",
		}
	}
	if q.Expected >= q.TimeLeft {
		return c.overloadRefusal(cs, rng, "the queue is longer than the time left")
	}
	if !cs.queueAllows(q, c.config.RampStart, rng) {
		return c.overloadRefusal(cs, rng, "requests of more worth take the capacity")
	}
	return nil
}

// overloadRefusal returns a refusal because of overload. Its retry-after time is
// drawn at random from a range that grows with the share of requests refused, so
// that retries are spread out in time.
func (c *Controller) overloadRefusal(cs *classState, rng *rand.Rand, detail string) *contract.Refusal {
	const growth = 8
	low := c.config.MinRetryAfter
	high := low * time.Duration(2+growth*(1-cs.admittedShare))
	wait := low + time.Duration(rng.Int64N(int64(high-low)+1))
	return contract.Unavailable(contract.ReasonOverload, min(wait, c.config.MaxRetryAfter), detail)
}

// classFor returns the state of a class, creating it if needed, and updates its
// specification.
func (c *Controller) classFor(spec contract.Class) *classState {
	cs, ok := c.classes[spec.Name]
	if !ok {
		cs = newClassState(spec)
		c.classes[spec.Name] = cs
	}
	cs.spec = spec
	return cs
}

// refresh orders the classes by worth per processing time and sets the longest
// wait and the fair level of each. It removes idle classes. It does nothing if
// called again within refreshInterval.
func (c *Controller) refresh(now time.Time) {
	if now.Sub(c.lastRefresh) < refreshInterval && !c.lastRefresh.IsZero() {
		return
	}
	c.lastRefresh = now
	ranked := make([]*classState, 0, len(c.classes))
	for name, cs := range c.classes {
		if cs.idle(now, c.config.TeamWindow) {
			delete(c.classes, name)
			continue
		}
		ranked = append(ranked, cs)
	}
	slices.SortFunc(ranked, byWorthPerSecond)
	upperBound, step := math.Inf(1), c.classStep()
	for _, cs := range ranked {
		cs.maxWait = min(cs.spec.FirstIn.Seconds()*c.config.TopQueueShare, upperBound)
		upperBound = cs.maxWait * step
		cs.updateFairLevel(now, c.config.TeamWindow)
	}
}

// updateRefusedShare adds a decision to the moving average of the share of work
// refused, weighted by the cost of q relative to the mean cost of its class.
func (c *Controller) updateRefusedShare(cs *classState, q Query, refused bool) {
	const weight = 0.02
	w := weight * min(q.Cost.Seconds()/max(cs.meanCost, 1e-6), 1/weight)
	sample := 0.0
	if refused {
		sample = 1
	}
	c.refusedShare = (1-w)*c.refusedShare + w*sample
}

// overloadSeverity returns a value that grows from 0 to 1 as the share of work
// refused rises from none to a tenth, and stays 1 above it.
func (c *Controller) overloadSeverity() float64 {
	const fullSeverityShare = 0.1
	return min(c.refusedShare/fullSeverityShare, 1)
}

// classStep returns the longest wait of a class as a share of that of the class with
// the next higher worth per processing time. It goes from ClassStep to
// OverloadClassStep as more work is refused: a queue smooths bursts, but during a
// lasting overload it only delays the requests that are admitted.
func (c *Controller) classStep() float64 {
	return c.config.ClassStep + (c.config.OverloadClassStep-c.config.ClassStep)*c.overloadSeverity()
}

// effectiveWait returns the wait that is compared with the class's longest wait. A
// queue at the chosen endpoint alone may come from a burst of requests for a
// prompt prefix that is cached there, which is no reason to refuse. During a
// lasting overload it is, so the result moves from the mean wait of the service's
// endpoints to that of the chosen endpoint as the severity grows.
func (c *Controller) effectiveWait(q Query) time.Duration {
	if q.MeanQueueTime == 0 || q.MeanQueueTime >= q.QueueTime {
		return q.QueueTime
	}
	return q.MeanQueueTime + time.Duration(c.overloadSeverity()*float64(q.QueueTime-q.MeanQueueTime))
}
