package retry

import "time"

// WindowConfig configures a Window.
type WindowConfig struct {
	Span  time.Duration // length of the sliding window
	Ratio float64       // retries allowed per request in a window
	Slack float64       // retries allowed in a window beyond Ratio, shared by all instances
}

// windowBuckets is the number of buckets that a span is divided into. A span that
// ends within the current bucket begins within the oldest one, which is counted in
// full. A Window thus has one bucket more and is up to one bucket longer than its
// span.
const windowBuckets = 20

// spendableShare is the share of the allowed retries that may be made. The rest is a
// margin, because requests and retries are counted at slightly different times here
// and at the endpoints.
const spendableShare = 0.8

// Window limits the retries of a service in any span by its requests in the same
// span. The instances share the allowance: each may retry in proportion to its
// own requests, and may use an equal part of the slack. Window does no I/O;
// callers pass in the time. It is not safe for concurrent use.
//
// A process that starts does not know how many retries the instance made before the
// restart, nor, at first, how many instances there are. It therefore uses no slack
// during the first span.
type Window struct {
	config        WindowConfig
	slackFrom     time.Time              // time from which slack may be used
	requests      [windowBuckets + 1]int // by bucket number modulo the length
	retries       [windowBuckets + 1]int // likewise
	currentBucket int64                  // number of the latest bucket, counted from the Unix epoch
}

// NewWindow returns an empty Window for a process that started at now.
func NewWindow(c WindowConfig, now time.Time) *Window {
	return &Window{config: c, slackFrom: now.Add(c.Span)}
}

// advanceTo makes the bucket of now the current one, clears the buckets that are
// no longer in the window, and returns the index of the current bucket.
func (w *Window) advanceTo(now time.Time) int {
	bucket := now.UnixNano() / int64(w.config.Span/windowBuckets)
	size := int64(len(w.requests))
	if bucket-w.currentBucket >= size {
		clear(w.requests[:])
		clear(w.retries[:])
		w.currentBucket = bucket
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		w.requests[w.currentBucket%size], w.retries[w.currentBucket%size] = 0, 0
	}
	return int(w.currentBucket % size)
}

// RecordRequest counts one request of the service.
func (w *Window) RecordRequest(now time.Time) { w.requests[w.advanceTo(now)]++ }

// Take reports whether a retry is allowed now, and if so counts it. The slack is
// divided by the number of instances.
func (w *Window) Take(now time.Time, instances int) bool {
	current := w.advanceTo(now)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := w.config.Ratio * float64(requests)
	if !now.Before(w.slackFrom) {
		allowed += w.config.Slack / float64(max(instances, 1))
	}
	if float64(retries+1) > spendableShare*allowed {
		return false
	}
	w.retries[current]++
	return true
}
