package retry

import "time"

// WindowConfig sets up a Window.
type WindowConfig struct {
	Span  time.Duration // of the sliding window
	Ratio float64       // repeats for each request in a window
	Slack float64       // repeats beside Ratio, of all instances together
}

// windowBuckets is the number of parts of a window; the oldest counts whole, so
// a window is up to one part longer than its span.
const windowBuckets = 20

// usedShare is the part of the allowance that is spent: requests and repeats
// are counted at slightly different moments here and at endpoints.
const usedShare = 0.8

// Window bounds the repeats of a service in any span by the requests in the
// same span. Instances share the allowance: each spends by its own requests
// and its part of the slack. It is pure state, not safe for concurrent use.
//
// A process does not know what its predecessor spent, nor at once how many
// instances there are: for the first span it spends no slack.
type Window struct {
	config   WindowConfig
	slackAt  time.Time // from when on slack is spent
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
	at       int64 // number of the current bucket
}

// NewWindow returns an empty window of a process that started at now.
func NewWindow(c WindowConfig, now time.Time) *Window {
	return &Window{config: c, slackAt: now.Add(c.Span)}
}

func (w *Window) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(w.config.Span/windowBuckets)
	size := int64(len(w.requests))
	if bucket-w.at >= size {
		clear(w.requests[:])
		clear(w.repeats[:])
		w.at = bucket
	}
	for w.at < bucket {
		w.at++
		w.requests[w.at%size], w.repeats[w.at%size] = 0, 0
	}
	return int(w.at % size)
}

// RecordRequest counts a request of the service.
func (w *Window) RecordRequest(now time.Time) { w.requests[w.advance(now)]++ }

// Take counts a repeat if one is left for one of so many instances.
func (w *Window) Take(now time.Time, instances int) bool {
	at := w.advance(now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := w.config.Ratio * float64(requests)
	if !now.Before(w.slackAt) {
		allowed += w.config.Slack / float64(max(instances, 1))
	}
	if float64(repeats+1) > usedShare*allowed {
		return false
	}
	w.repeats[at]++
	return true
}
