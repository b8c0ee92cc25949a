package decisionbench

import (
	"container/heap"
	"time"
)

// start is the simulated time zero.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in order of time, and of scheduling at equal times.
type clock struct {
	now    float64 // seconds since start
	events eventHeap
	count  int
}

type event struct {
	at  float64
	seq int
	run func()
}

func (c *clock) after(d float64, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + d, seq: c.count, run: run})
}

func (c *clock) runUntil(end float64) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

func (c *clock) time() time.Time { return timeAt(c.now) }

func timeAt(s float64) time.Time { return start.Add(toDuration(s)) }

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
