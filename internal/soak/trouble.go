package soak

import (
	"sync"
	"time"
)

// settleTime is how long after a disruption promises with a bound on time count
// again, as on the users' machines.
const settleTime = 4 * time.Second

// trouble records when disruptions were in force. It is safe for concurrent use.
type trouble struct {
	mu    sync.Mutex
	spans []*span
}

type span struct {
	ofStore    bool
	began, end time.Time // end is zero while it lasts
}

// begin records a disruption and returns a function that ends it.
func (t *trouble) begin(ofStore bool) (end func()) {
	s := &span{ofStore: ofStore, began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.end = time.Now()
	}
}

// calm reports whether nothing was disrupted between two moments. With
// exceptStore disruptions of the store alone don't count.
func (t *trouble) calm(from, to time.Time, exceptStore bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.ofStore && exceptStore {
			continue
		}
		if s.began.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}
