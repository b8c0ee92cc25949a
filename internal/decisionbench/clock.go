package decisionbench

import (
	"container/heap"
	"time"
)

// epoch is the time at which the simulated clock reads 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a simulated clock. It runs events in order of their time; events of the
// same time run in the order in which they were scheduled.
type clock struct {
	now     float64 // seconds since epoch
	events  eventHeap
	lastSeq int
}

// event is a function to be run at a simulated time.
type event struct {
	at  float64 // seconds since epoch
	seq int
	run func()
}

// after schedules run in d seconds.
func (c *clock) after(d float64, run func()) {
	c.lastSeq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.lastSeq, run: run})
}

// runUntil runs all events up to and including end, in seconds since epoch.
func (c *clock) runUntil(end float64) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

func (c *clock) time() time.Time { return timeAt(c.now) }

func timeAt(seconds float64) time.Time { return epoch.Add(durationFromSeconds(seconds)) }

func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
