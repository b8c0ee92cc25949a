package peers

import (
	"sync"
	"time"
)

// Load is the load of requests at one endpoint or source of fetches, and how many
// instances have lately reached it. A source counts as reached if an instance's latest
// fetch from it was in time, and as unreachable if that fetch was late.
type Load struct {
	Running       int // requests that have not been answered completely
	PendingTokens int // tokens still to be prefilled or fetched
	HeldTokens    int // tokens of memory that the running requests need
	Reached       int // instances that it has lately answered
	Unreachable   int // instances whose last connection to it failed or was lost
	Noisy         int // instances at which its streams pause longer than its load explains
	RecentPrefill int // tokens of long prompts sent there within place.RecentTime
	Leaving       int // instances that it has told that it leaves; used only for targets that stand for an incarnation of an endpoint
}

// Add adds other to the load.
func (l *Load) Add(other Load) {
	l.Running += other.Running
	l.PendingTokens += other.PendingTokens
	l.HeldTokens += other.HeldTokens
	l.Reached += other.Reached
	l.Unreachable += other.Unreachable
	l.Leaving += other.Leaving
	l.Noisy += other.Noisy
	l.RecentPrefill += other.RecentPrefill
}

// subtract subtracts other from the load.
func (l *Load) subtract(other Load) {
	l.Running -= other.Running
	l.PendingTokens -= other.PendingTokens
	l.HeldTokens -= other.HeldTokens
	l.Reached -= other.Reached
	l.Unreachable -= other.Unreachable
	l.Leaving -= other.Leaving
	l.Noisy -= other.Noisy
	l.RecentPrefill -= other.RecentPrefill
}

// minReportTTL is the minimum time for which a report stays valid. An instance
// that sends no further report has stopped or cannot be reached, and by the end
// of this time the requests that it sent are answered or lost.
const minReportTTL = time.Second

// report is the last report of an instance or of a row.
type report struct {
	receivedAt time.Time
	loads      map[uint64]Load // by target, as Source.Loads returns them
}

// Table sums the last reports of the other instances. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	reports map[string]report // by instance, or by row with rowPrefix
	sums    map[uint64]Load   // of all reports, by target
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{reports: map[string]report{}, sums: map[uint64]Load{}}
}

// SetReport replaces the report of an instance or a row by loads, received at now.
func (t *Table) SetReport(sender string, loads map[uint64]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(sender)
	t.reports[sender] = report{receivedAt: now, loads: loads}
	for target, l := range loads {
		sum := t.sums[target]
		sum.Add(l)
		t.sums[target] = sum
	}
}

// Expire removes the reports that are older than ttl at now.
func (t *Table) Expire(now time.Time, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for sender, r := range t.reports {
		if now.Sub(r.receivedAt) > ttl {
			t.remove(sender)
		}
	}
}

// remove removes the report of an instance or a row and subtracts it from the
// sums.
func (t *Table) remove(sender string) {
	for target, l := range t.reports[sender].loads {
		sum := t.sums[target]
		sum.subtract(l)
		if sum == (Load{}) {
			delete(t.sums, target)
		} else {
			t.sums[target] = sum
		}
	}
	delete(t.reports, sender)
}

// Load returns the total load that the other instances have reported for a
// target.
func (t *Table) Load(target uint64) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sums[target]
}

// Loads sets loads[i] to the total load that the other instances have reported for
// targets[i]. Both have the same length.
func (t *Table) Loads(targets []uint64, loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, target := range targets {
		loads[i] = t.sums[target]
	}
}

// Reaches reports whether an instance has reported that it has lately reached a target, and
// whether it has reached any.
func (t *Table) Reaches(instance string, target uint64) (reached, reachesAny bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := t.reports[instance].loads
	for _, l := range loads {
		if l.Reached > 0 {
			reachesAny = true
			break
		}
	}
	return loads[target].Reached > 0, reachesAny
}

// Sum returns the total load by target that the given instances have reported.
// Instances without a report are ignored.
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
