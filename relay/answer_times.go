package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// answersKept is the number of answers of a route whose times are kept. Fewer than one in
	// so many takes longer than the longest of them.
	answersKept = 64
	// maxTimedRoutes bounds the memory: names of routes come and go with configurations.
	maxTimedRoutes = 8192
)

// answerTimes holds how long the latest whole answers of each route took, from the arrival of
// the request to the end of the response. It is safe for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]*routeTimes // guarded by mu
}

// routeTimes holds the times of the latest answers of a route, in ms.
type routeTimes struct {
	latest [answersKept]uint32
	next   int
}

func newAnswerTimes() *answerTimes { return &answerTimes{byRoute: map[string]*routeTimes{}} }

func (t *answerTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byRoute[route]
	if r == nil {
		if len(t.byRoute) >= maxTimedRoutes {
			clear(t.byRoute)
		}
		r = &routeTimes{}
		t.byRoute[route] = r
	}
	r.latest[r.next] = uint32(took.Milliseconds()) + 1 // rounded up
	r.next = (r.next + 1) % answersKept
}

// longest returns the longest of the latest answers of a route, 0 if there was none.
func (t *answerTimes) longest(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byRoute[route]
	if r == nil {
		return 0
	}
	return time.Duration(slices.Max(r.latest[:])) * time.Millisecond
}
