package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// answersKept is the number of answers of a route whose times are kept.
	answersKept = 64
	// slowAnswerShare is the share of these that take longer than a usual one.
	slowAnswerShare = 0.05
	// maxTimedRoutes bounds the memory: names of routes come and go with configurations.
	maxTimedRoutes = 8192
)

// answerTimes holds how long the latest whole answers of each route took, from the arrival of
// the request to the end of the response. It is safe for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]*routeTimes // guarded by mu
}

// routeTimes holds the times of the latest answers of a route.
type routeTimes struct {
	latest []time.Duration // at most answersKept
	next   int             // the one to be replaced next
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
	if len(r.latest) < answersKept {
		r.latest = append(r.latest, took)
		return
	}
	r.latest[r.next] = took
	r.next = (r.next + 1) % answersKept
}

// longestUsual returns the time that all but slowAnswerShare of the latest answers of a route
// took at most, 0 if there was none.
func (t *answerTimes) longestUsual(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byRoute[route]
	if r == nil {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.latest))
	return sorted[len(sorted)-1-int(slowAnswerShare*float64(len(sorted)))]
}
