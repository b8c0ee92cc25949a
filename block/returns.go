package block

import (
	"math/bits"
	"time"
)

const (
	// ageBuckets divide idle times by powers of two seconds, up to some 12 days.
	ageBuckets = 21
	// returnLevels tell blocks apart by how often they have returned before.
	returnLevels = 4
	// priorWeight is the number of observations that the prior counts for.
	priorWeight = 20
	// decayAt halves the counts of a curve, so that it follows changes.
	decayAt = 1 << 14
)

// Prior is what is assumed of a class before anything is observed.
type Prior struct {
	ReturnShare float64       // share of prompts that return at all
	TypicalGap  time.Duration // typical gap before a return
}

// ReturnEstimator learns for each class and number of earlier returns how likely a
// prompt is to come back after a given idle time: a Kaplan-Meier estimate over
// buckets of idle time, in which a block freed early counts as not having
// returned up to then and no further. Not safe for concurrent use.
type ReturnEstimator struct {
	priors map[string]Prior
	byName map[string]*curves
}

// curves are those of one class, by the number of earlier returns.
type curves [returnLevels]curve

// curve counts, for each bucket of idle time, the idle times that ended in it:
// by a return, or cut short by a free.
type curve struct {
	returned [ageBuckets]float64
	cut      [ageBuckets]float64
	total    float64
}

// NewReturnEstimator returns a model that starts from the priors of the classes.
func NewReturnEstimator(priors map[string]Prior) *ReturnEstimator {
	return &ReturnEstimator{priors: priors, byName: map[string]*curves{}}
}

// Observe records that a block was idle for the given time and that this ended
// by a return, or was cut short.
func (r *ReturnEstimator) Observe(class string, returns int, idle time.Duration, returned bool) {
	r.of(class).observe(returns, idle, returned)
}

// Probability returns the chance that a block idle for the given time returns
// within the next horizon.
func (r *ReturnEstimator) Probability(class string, returns int, idle, horizon time.Duration) float64 {
	return r.of(class)[min(returns, returnLevels-1)].probability(idle, horizon)
}

func (r *ReturnEstimator) of(class string) *curves {
	c := r.byName[class]
	if c == nil {
		c = &curves{}
		r.byName[class] = c
		for i := range c {
			c[i].seed(r.priors[class])
		}
	}
	return c
}

func (c *curves) observe(returns int, idle time.Duration, returned bool) {
	c[min(returns, returnLevels-1)].observe(ageBucket(idle), returned)
}

func (c *curve) observe(bucket int, returned bool) {
	if returned {
		c.returned[bucket]++
	} else {
		c.cut[bucket]++
	}
	if c.total++; c.total > decayAt {
		c.decay()
	}
}

func (c *curve) probability(idle, horizon time.Duration) float64 {
	first, last := ageBucket(idle), ageBucket(idle+horizon)
	reached := 0.0
	for b := ageBuckets - 1; b > last; b-- {
		reached += c.returned[b] + c.cut[b]
	}
	stays := 1.0
	for b := last; b >= first; b-- {
		hazard := 0.0
		// An idle time cut short within the bucket did not live through it.
		if reached += c.returned[b]; reached > 0 {
			hazard = c.returned[b] / reached
		}
		reached += c.cut[b]
		stays *= 1 - hazard*bucketShare(b, idle, idle+horizon)
	}
	return 1 - stays
}

// bucketShare returns the part of the bucket that lies between from and to.
func bucketShare(b int, from, to time.Duration) float64 {
	start, end := bucketStart(b), bucketStart(b+1)
	lo, hi := max(start, from), min(end, to)
	if hi <= lo {
		return 0
	}
	return float64(hi-lo) / float64(end-start)
}

// seed fills the curve with the prior: returns spread over the buckets around
// that of the typical gap, and the rest never returning.
func (c *curve) seed(p Prior) {
	if p.ReturnShare <= 0 {
		p = Prior{ReturnShare: 0.5, TypicalGap: 10 * time.Minute}
	}
	last := min(ageBucket(p.TypicalGap)+2, ageBuckets-1)
	first := max(last-4, 0)
	for b := first; b <= last; b++ {
		c.returned[b] = priorWeight * p.ReturnShare / float64(last-first+1)
	}
	c.cut[ageBuckets-1] = priorWeight * (1 - p.ReturnShare)
	c.total = priorWeight
}

func (c *curve) decay() {
	for b := range c.returned {
		c.returned[b] /= 2
		c.cut[b] /= 2
	}
	c.total /= 2
}

// ageBucket returns the bucket of an idle time; bucket b begins at 2^b-1 seconds.
func ageBucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/time.Second)+1)-1, ageBuckets-1)
}

func bucketStart(b int) time.Duration { return time.Duration(1<<b-1) * time.Second }
