package peers

import (
	"math"
	"sync"
	"time"

	"redwingknot/metric"
	"redwingknot/peers/peerspb"
)

// Backlog is what waits for the endpoints of a service at one or several instances.
type Backlog struct {
	Service   uint64   // hash of its name
	Waiting   []uint64 // cost of the waiting requests, mostly their prompt tokens, by rank
	PerSecond float64  // cost of those that get room in a second, 0 if not known
}

const (
	// maxBacklogRanks is the number of ranks that are told apart. Less urgent requests count
	// for the last.
	maxBacklogRanks = 32
	// maxBacklogCost is the largest cost of a rank that is believed: what 400 instances have
	// if each holds 200 of the largest prompts. A larger one would make every request be
	// refused.
	maxBacklogCost = 1 << 30
	// maxBacklogs is the number of services in one report.
	maxBacklogs = 256
)

// Add adds the cost of a waiting request.
func (b *Backlog) Add(rank int, cost uint64) {
	rank = min(max(rank, 0), maxBacklogRanks-1)
	for len(b.Waiting) <= rank {
		b.Waiting = append(b.Waiting, 0)
	}
	b.Waiting[rank] += cost
}

// Before returns the cost of the waiting requests that are more urgent than rank.
func (b *Backlog) Before(rank int) uint64 {
	sum := uint64(0)
	for _, cost := range b.Waiting[:min(max(rank, 0), len(b.Waiting))] {
		sum += cost
	}
	return sum
}

// BacklogSource supplies what waits at this instance and receives what waits at others.
type BacklogSource interface {
	// Backlogs returns what waits at this instance, nil if nothing does.
	Backlogs() []Backlog
	// RecordBacklogs is called after each report of another instance with what waits at all
	// others, nil if nothing does.
	RecordBacklogs(others []Backlog)
}

// backlogTable holds the latest backlogs of the other instances, by instance or by row with
// rowPrefix. It is safe for concurrent use.
type backlogTable struct {
	mu      sync.Mutex
	reports map[string]backlogReport
}

type backlogReport struct {
	receivedAt time.Time
	backlogs   []Backlog
}

// set replaces the report of an instance or a row, and returns the sum of all that are not
// older than ttl.
func (t *backlogTable) set(sender string, list []Backlog, now time.Time, ttl time.Duration) []Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]backlogReport{}
	}
	delete(t.reports, sender)
	if len(list) > 0 {
		t.reports[sender] = backlogReport{now, list}
	}
	var sum []Backlog
	for name, r := range t.reports {
		if now.Sub(r.receivedAt) > ttl {
			delete(t.reports, name)
			continue
		}
		sum = addBacklogs(sum, r.backlogs)
	}
	return sum
}

// sum returns the sum of the given instances' reports.
func (t *backlogTable) sum(instances []string) []Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum []Backlog
	for _, name := range instances {
		sum = addBacklogs(sum, t.reports[name].backlogs)
	}
	return sum
}

// addBacklogs adds list to sum, which it may change, and returns the sum.
func addBacklogs(sum, list []Backlog) []Backlog {
next:
	for _, b := range list {
		for i := range sum {
			if sum[i].Service == b.Service {
				for rank, cost := range b.Waiting {
					sum[i].Add(rank, cost)
				}
				sum[i].PerSecond += b.PerSecond
				continue next
			}
		}
		b.Waiting = append([]uint64(nil), b.Waiting...)
		sum = append(sum, b)
	}
	return sum
}

// addBacklogs adds to a report what waits at this instance or, if row is not empty, at those
// of its row.
func (e *Exchange) addBacklogs(r *peerspb.Report, row []string) {
	if e.opts.Backlogs == nil {
		return
	}
	list := e.opts.Backlogs.Backlogs()
	if len(row) > 0 {
		list = addBacklogs(e.backlogs.sum(row), list)
	}
	for _, b := range list {
		r.Backlogs = append(r.Backlogs, &peerspb.Backlog{Service: b.Service, Waiting: b.Waiting})
		if b.PerSecond > 0 {
			r.Drains = append(r.Drains, &peerspb.Drain{Service: b.Service, PerSecond: b.PerSecond})
		}
	}
}

// applyBacklogs records what waits at the sender of a report. Reports of instances that do not
// know of backlogs have none.
func (e *Exchange) applyBacklogs(r *peerspb.Report, sender string) {
	if e.opts.Backlogs == nil {
		return
	}
	e.opts.Backlogs.RecordBacklogs(e.backlogs.set(sender, decodeBacklogs(r), e.opts.Now(), e.currentReportTTL()))
}

// decodeBacklogs returns the backlogs of a report. Invalid ones are counted and ignored, and so
// are rates of services without a backlog.
func decodeBacklogs(r *peerspb.Report) []Backlog {
	invalid := metric.Counter("peer_backlogs_invalid_total")
	if len(r.Backlogs) > maxBacklogs || len(r.Drains) > maxBacklogs {
		invalid.Inc(1)
		return nil
	}
	var list []Backlog
	for _, in := range r.Backlogs {
		if !validBacklog(in) {
			invalid.Inc(1)
			continue
		}
		list = append(list, Backlog{Service: in.Service, Waiting: in.Waiting})
	}
	for _, d := range r.Drains {
		if !(d.PerSecond >= 0) || math.IsInf(d.PerSecond, 0) {
			invalid.Inc(1)
			continue
		}
		for i := range list {
			if list[i].Service == d.Service {
				list[i].PerSecond = d.PerSecond
			}
		}
	}
	return list
}

func validBacklog(b *peerspb.Backlog) bool {
	for _, cost := range b.Waiting {
		if cost > maxBacklogCost {
			return false
		}
	}
	return len(b.Waiting) <= maxBacklogRanks
}
