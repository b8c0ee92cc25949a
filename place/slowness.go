package place

import "time"

// Parameters of SlownessTracker.
const (
	// sampleWeight is the weight of a new sample in the moving average of Observe,
	// which thus covers about eight answers.
	sampleWeight = 0.12
	// sparseSampleWeight is the weight of a new sample in the moving average of
	// ObserveSparse, which thus covers about three answers.
	sparseSampleWeight = 0.35
	// maxRatio is the largest ratio that a sample counts with. It limits the effect
	// of a single outlier.
	maxRatio = 20
	// slownessHalvingTime is the time without samples after which a deviation from
	// the usual time counts half.
	slownessHalvingTime = 4 * time.Second
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
func (t *SlownessTracker) Observe(ratio float64, now time.Time) { t.observe(ratio, sampleWeight, now) }

// ObserveSparse is like Observe, for an address that only few requests fetch from:
// each sample has more weight.
func (t *SlownessTracker) ObserveSparse(ratio float64, now time.Time) {
	t.observe(ratio, sparseSampleWeight, now)
}

// observe adds a sample with the given weight in the moving average.
func (t *SlownessTracker) observe(ratio, weight float64, now time.Time) {
	ratio = min(ratio, maxRatio)
	t.excessRatio = (1-weight)*(t.Slowness(now)-1) + weight*(ratio-1)
	t.updated = now
}

// Slowness returns the expected time of a request relative to the usual one, 1 being
// usual. A deviation decays while there are no samples.
func (t *SlownessTracker) Slowness(now time.Time) float64 {
	if t.excessRatio == 0 {
		return 1
	}
	age := max(now.Sub(t.updated), 0)
	return 1 + t.excessRatio/(1+float64(age)/float64(slownessHalvingTime))
}
