package route

import "time"

// recentWait is a moving average of how long the router's own requests were
// queued before their prompts were prefilled. It shows the load of the service
// without the delay of reports.
type recentWait struct {
	averageSeconds float64   // exponentially weighted
	observedAt     time.Time // of the last observation
}

// observe adds a queueing time to the average. Negative values count as 0, and
// large ones are capped at a little more than twice the average.
func (w *recentWait) observe(seconds float64, now time.Time) {
	const weight = 0.1
	seconds = min(max(seconds, 0), 2*w.averageSeconds+0.05)
	w.averageSeconds = (1-weight)*w.averageSeconds + weight*seconds
	w.observedAt = now
}

// expectedSeconds returns the expected queueing time at now. It assumes that the
// queue has been draining since the last observation, though more slowly than in
// real time, since others keep adding to it. Without this decay, a router that
// refuses all requests would never learn that the queue is gone.
func (w *recentWait) expectedSeconds(now time.Time) float64 {
	const drain = 0.1 // seconds of queue that are prefilled per second
	return max(w.averageSeconds-drain*now.Sub(w.observedAt).Seconds(), 0)
}

// isFresh reports whether the last observation is recent enough to be used.
func (w *recentWait) isFresh(now time.Time) bool {
	const lifetime = 2 * time.Second
	return now.Sub(w.observedAt) < lifetime
}

// recencyWeight returns the weight, between 0 and 1, of an observation of the
// given age in a weighted mean with an estimate, which has the rest of the weight;
// at halfWeightAge it is 0.5. Old observations count less, because a queue that was
// long a while ago says little about the present, and routers that all act on the
// same old observation overload the endpoint that was idle then.
func recencyWeight(age, halfWeightAge time.Duration) float64 {
	ratio := age.Seconds() / halfWeightAge.Seconds()
	return 1 / (1 + ratio*ratio)
}
