package place

import "time"

// Parameters of SlownessTracker.
const (
	// paceWeight is the weight of a new sample in the moving average of Observe,
	// which thus covers about eight answers.
	paceWeight = 0.12
	// sparsePaceWeight is the weight of a new sample in the moving average of
	// ObserveSparse, which thus covers about three answers.
	sparsePaceWeight = 0.35
	// maxRatio is the largest ratio that a sample counts with. It limits the effect
	// of a single outlier.
	maxRatio = 20
	// paceHalvingTime is the time without samples after which a deviation from
	// the usual time counts half.
	paceHalvingTime = 4 * time.Second
)

// SlownessTracker tracks the slowness of an endpoint, or of an address that prompt parts are
// fetched from: how long its requests take relative to the usual time of the
// service. It does no I/O; callers pass in the time. It is not safe for concurrent
// use.
//
// Load pattern: an endpoint passes its health checks but works many times slower
// than the others. It accumulates requests unless the choice of an endpoint counts
// it as more loaded than its requests alone make it.
type SlownessTracker struct {
	excessRatio float64   // slowness less 1, as of updated
	updated     time.Time // time of the last sample
}

// Observe adds a sample: the time of a request relative to the usual time of its
// service, 1 being usual.
func (p *SlownessTracker) Observe(ratio float64, now time.Time) { p.observe(ratio, paceWeight, now) }

// ObserveSparse is like Observe, for an address that only few requests fetch from:
// each sample has more weight.
func (p *SlownessTracker) ObserveSparse(ratio float64, now time.Time) {
	p.observe(ratio, sparsePaceWeight, now)
}

// observe adds a sample with the given weight in the moving average.
func (p *SlownessTracker) observe(ratio, weight float64, now time.Time) {
	ratio = min(ratio, maxRatio)
	p.excessRatio = (1-weight)*(p.Slowness(now)-1) + weight*(ratio-1)
	p.updated = now
}

// Slowness returns the expected time of a request relative to the usual one, 1 being
// usual. A deviation decays while there are no samples.
func (p *SlownessTracker) Slowness(now time.Time) float64 {
	age := max(now.Sub(p.updated), 0)
	return 1 + p.excessRatio/(1+float64(age)/float64(paceHalvingTime))
}
