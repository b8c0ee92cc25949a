package block

import (
	"math/bits"
	"time"
)

const (
	// idleBuckets is the number of buckets of idle times. Their bounds are about
	// powers of two seconds, up to about 12 days.
	idleBuckets = 21
	// returnLevels is the number of levels of earlier returns that are told apart;
	// the last level includes all higher numbers.
	returnLevels = 4
	// priorWeight is the weight of the prior, as a number of observations.
	priorWeight = 20
	// decayThreshold is the number of observations in a curve beyond which its
	// counts are halved, so that it follows changes.
	decayThreshold = 1 << 14
)

// Prior is the assumption about a class before anything is observed.
type Prior struct {
	ReturnShare float64       // part of the prompts that return at all, from 0 to 1
	TypicalGap  time.Duration // typical gap before a return
}

// ReturnEstimator estimates, for each class and number of earlier returns, the probability
// that a block returns after a given idle time. A block returns when a lookup for its
// prompt finds it. The estimate is a Kaplan-Meier estimate over buckets of idle time, in
// which a block that is freed before it returns is a censored observation: it counts as
// not having returned until it was freed, and says nothing about the time after that.
// ReturnEstimator is not safe for concurrent use.
type ReturnEstimator struct {
	priors  map[string]Prior
	byClass map[string]*curves
}

// curves has the curves of one class, by the number of earlier returns.
type curves [returnLevels]curve

// curve counts, for each bucket of idle time, the idle times that ended in it, by a
// return or censored by a free.
type curve struct {
	returned [idleBuckets]float64
	censored [idleBuckets]float64
	total    float64
}

// NewReturnEstimator returns an estimator that starts from the priors of the classes.
func NewReturnEstimator(priors map[string]Prior) *ReturnEstimator {
	return &ReturnEstimator{priors: priors, byClass: map[string]*curves{}}
}

// Observe records that a block was idle for the given time until it returned or, if
// returned is false, until it was freed.
func (r *ReturnEstimator) Observe(class string, returns int, idle time.Duration, returned bool) {
	r.classCurves(class).observe(returns, idle, returned)
}

// Probability returns the probability that a block that has been idle for the given
// time returns within the horizon from now.
func (r *ReturnEstimator) Probability(class string, returns int, idle, horizon time.Duration) float64 {
	return r.classCurves(class)[min(returns, returnLevels-1)].probability(idle, horizon)
}

// classCurves returns the curves of a class and creates them from its prior at the
// first use.
func (r *ReturnEstimator) classCurves(class string) *curves {
	c := r.byClass[class]
	if c == nil {
		c = &curves{}
		r.byClass[class] = c
		for i := range c {
			c[i].applyPrior(r.priors[class])
		}
	}
	return c
}

func (c *curves) observe(returns int, idle time.Duration, returned bool) {
	c[min(returns, returnLevels-1)].observe(idleBucket(idle), returned)
}

func (c *curve) observe(bucket int, returned bool) {
	if returned {
		c.returned[bucket]++
	} else {
		c.censored[bucket]++
	}
	if c.total++; c.total > decayThreshold {
		c.halveCounts()
	}
}

// probability returns 1 minus the product, over the buckets from idle to idle+horizon,
// of the probabilities of not returning in the bucket.
func (c *curve) probability(idle, horizon time.Duration) float64 {
	first, last := idleBucket(idle), idleBucket(idle+horizon)
	atRisk := 0.0
	for b := idleBuckets - 1; b > last; b-- {
		atRisk += c.returned[b] + c.censored[b]
	}
	survival := 1.0
	for b := last; b >= first; b-- {
		hazard := 0.0
		// An idle time censored within the bucket didn't last through it, so it is
		// not at risk there.
		if atRisk += c.returned[b]; atRisk > 0 {
			hazard = c.returned[b] / atRisk
		}
		atRisk += c.censored[b]
		survival *= 1 - hazard*bucketShare(b, idle, idle+horizon)
	}
	return 1 - survival
}

// bucketShare returns the part of the bucket that is between from and to, from 0 to 1.
func bucketShare(b int, from, to time.Duration) float64 {
	start, end := bucketStart(b), bucketStart(b+1)
	lo, hi := max(start, from), min(end, to)
	if hi <= lo {
		return 0
	}
	return float64(hi-lo) / float64(end-start)
}

// applyPrior sets the counts of a new curve from the prior. The returns are spread over
// the buckets around that of the typical gap; the rest is censored in the last bucket,
// as prompts that don't return. Without a prior, half of the prompts are assumed to
// return, typically after 10 minutes.
func (c *curve) applyPrior(p Prior) {
	if p.ReturnShare <= 0 {
		p = Prior{ReturnShare: 0.5, TypicalGap: 10 * time.Minute}
	}
	last := min(idleBucket(p.TypicalGap)+2, idleBuckets-1)
	first := max(last-4, 0)
	for b := first; b <= last; b++ {
		c.returned[b] = priorWeight * p.ReturnShare / float64(last-first+1)
	}
	c.censored[idleBuckets-1] = priorWeight * (1 - p.ReturnShare)
	c.total = priorWeight
}

// halveCounts halves all counts of the curve.
func (c *curve) halveCounts() {
	for b := range c.returned {
		c.returned[b] /= 2
		c.censored[b] /= 2
	}
	c.total /= 2
}

// idleBucket returns the bucket of an idle time. Bucket b starts at 2^b-1 seconds; the
// last one has no upper bound.
func idleBucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/time.Second)+1)-1, idleBuckets-1)
}

// bucketStart returns the lower bound of the idle times in a bucket.
func bucketStart(b int) time.Duration { return time.Duration(1<<b-1) * time.Second }
