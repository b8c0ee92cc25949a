package soak

import (
	"slices"
	"sync"
	"time"
)

// settleTime is the time after a disruption during which invariants with a time bound
// are not checked, as on the users' machines.
const settleTime = 4 * time.Second

// disruptionLog records when disruptions were active. It is safe for concurrent use.
type disruptionLog struct {
	mu          sync.Mutex
	disruptions []*disruption
}

// disruption is one entry of a disruptionLog.
type disruption struct {
	kind       StepKind
	began, end time.Time // end is zero while the disruption lasts
}

// begin records the start of a disruption and returns a function that records its
// end.
func (l *disruptionLog) begin(kind StepKind) (end func()) {
	d := &disruption{kind: kind, began: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disruptions = append(l.disruptions, d)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		d.end = time.Now()
	}
}

// noneBetween reports whether no disruption was active between from and to, apart from
// those of the kinds in ignored.
func (l *disruptionLog) noneBetween(from, to time.Time, ignored []StepKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.disruptions {
		if slices.Contains(ignored, d.kind) {
			continue
		}
		if d.began.Before(to) && (d.end.IsZero() || d.end.After(from)) {
			return false
		}
	}
	return true
}
