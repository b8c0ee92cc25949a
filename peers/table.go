package peers

import (
	"sync"
	"time"
)

// Load is work at one endpoint or cache store.
type Load struct {
	Running       int // requests without a whole answer
	PendingTokens int // tokens still to be read or fetched
	HeldTokens    int // tokens of memory that the running requests need
}

// Add adds o to the load.
func (l *Load) Add(o Load) {
	l.Running += o.Running
	l.PendingTokens += o.PendingTokens
	l.HeldTokens += o.HeldTokens
}

func (l *Load) sub(o Load) {
	l.Running -= o.Running
	l.PendingTokens -= o.PendingTokens
	l.HeldTokens -= o.HeldTokens
}

// reportTTL is the least time that a report counts: an instance that tells
// nothing more is gone or out of reach, and what it sent is answered by then or
// lost.
const reportTTL = time.Second

type report struct {
	at    time.Time
	loads map[uint64]Load
}

// Table sums the last reports of the other instances. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	reports map[string]report
	sums    map[uint64]Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{reports: map[string]report{}, sums: map[uint64]Load{}}
}

// SetReport replaces the report of an instance or a row.
func (t *Table) SetReport(instance string, loads map[uint64]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(instance)
	t.reports[instance] = report{at: now, loads: loads}
	for target, l := range loads {
		sum := t.sums[target]
		sum.Add(l)
		t.sums[target] = sum
	}
}

// Expire drops the reports that are older than ttl.
func (t *Table) Expire(now time.Time, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, r := range t.reports {
		if now.Sub(r.at) > ttl {
			t.remove(instance)
		}
	}
}

func (t *Table) remove(instance string) {
	for target, l := range t.reports[instance].loads {
		sum := t.sums[target]
		sum.sub(l)
		if sum == (Load{}) {
			delete(t.sums, target)
		} else {
			t.sums[target] = sum
		}
	}
	delete(t.reports, instance)
}

// Load returns the load that the other instances have at a target.
func (t *Table) Load(target uint64) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sums[target]
}

// Sum returns the load that some instances have at all targets.
func (t *Table) Sum(instances []string) map[uint64]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[uint64]Load{}
	for _, name := range instances {
		for target, l := range t.reports[name].loads {
			l.Add(sum[target])
			sum[target] = l
		}
	}
	return sum
}
