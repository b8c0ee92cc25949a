package route

import "time"

// recentWait is what the router's own requests waited of late before their
// prompts were processed: a view of the service's load that no report delays.
type recentWait struct {
	wait float64 // seconds, weighted towards the last
	at   time.Time
}

func (w *recentWait) add(seconds float64, now time.Time) {
	const weight = 0.1
	seconds = min(max(seconds, 0), 2*w.wait+0.05)
	w.wait = (1-weight)*w.wait + weight*seconds
	w.at = now
}

// expected returns the wait at now: a queue drains while nothing more is seen
// of it, though slower than by the clock since others go on adding to it.
// Without it, a router that refuses everything would never learn that the queue
// is gone.
func (w *recentWait) expected(now time.Time) float64 {
	const drain = 0.1 // seconds of queue a second
	return max(w.wait-drain*now.Sub(w.at).Seconds(), 0)
}

func (w *recentWait) fresh(now time.Time) bool {
	const lifetime = 2 * time.Second
	return now.Sub(w.at) < lifetime
}

// freshness is the weight of what was seen an age ago against the usual: a
// queue that was long a while ago says little about now, and routers that all
// act on it fill the endpoint that was empty then.
func freshness(age, memory time.Duration) float64 {
	x := age.Seconds() / memory.Seconds()
	return 1 / (1 + x*x)
}
