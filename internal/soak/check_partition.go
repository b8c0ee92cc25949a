package soak

import (
	"net/http"
	"slices"
	"time"
)

// partitionPeriod is a time in which a gateway was partitioned from all endpoints.
type partitionPeriod struct {
	began, end time.Time // end is zero while it lasts
}

// beginPartition records that the gateway is partitioned from all endpoints, and returns a
// function that records the end.
func (g *gateway) beginPartition() (end func()) {
	p := &partitionPeriod{began: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitions = append(g.partitions, p)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		p.end = time.Now()
	}
}

// partitionAt returns the period in which the gateway was partitioned at a time, and whether
// there is one.
func (g *gateway) partitionAt(at time.Time) (partitionPeriod, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.partitions {
		if !at.Before(p.began) && (p.end.IsZero() || at.Before(p.end)) {
			return *p, true
		}
	}
	return partitionPeriod{}, false
}

// Bounds of the users for callers of gateways that reach no endpoints.
const (
	partitionNoticeTime  = 3 * time.Second // from the beginning of the partition until they hold
	partitionSlack       = 10              // first attempts that may fail
	partitionSlackOneIn  = 50              // and one in so many
	partitionServedTimes = 2.0 / 3         // share of first attempts served there, as a part of that elsewhere
)

// partitionIgnored are the kinds of disruptions that may go on beside a partition for it to
// be checked: those that all gateways see alike.
var partitionIgnored = []StepKind{PartitionHangs, PartitionResets, PartitionRefuses, EndpointsBrittle, EndpointSlow, EndpointDelay}

// checkPartitions checks the first attempts of callers at gateways that are partitioned from
// all endpoints against those at the others at the same time.
func (r *run) checkPartitions(obs *observations) {
	var there, elsewhere share
	for attempt, c := range obs.calls {
		if obs.pending[attempt] || c.gateway == nil || c.retry || c.token != token || !slices.Contains(callKinds, c.kind) || !inTouch(c) {
			continue
		}
		if !r.disruptions.noneBetween(c.sentAt.Add(-settleTime), c.endedAt, partitionIgnored) {
			continue
		}
		served := c.complete() && c.status == http.StatusOK
		p, partitioned := c.gateway.partitionAt(c.sentAt)
		switch {
		case !partitioned && r.anyPartitionedAt(c.sentAt):
			elsewhere.add(served)
		case partitioned && c.sentAt.After(p.began.Add(partitionNoticeTime)):
			there.add(served)
		}
	}
	failed := there.sent - there.served
	if elsewhere.sent == 0 || failed <= partitionSlack+there.sent/partitionSlackOneIn {
		return
	}
	if float64(there.served)*float64(elsewhere.sent) < partitionServedTimes*float64(elsewhere.served)*float64(there.sent) {
		r.recordViolation(PartitionedFail, "gateways that reach no endpoints served %d of %d first attempts, the others %d of %d", there.served, there.sent, elsewhere.served, elsewhere.sent)
	}
}

// share counts attempts and those that were served.
type share struct{ sent, served int }

func (s *share) add(served bool) {
	s.sent++
	if served {
		s.served++
	}
}

// anyPartitionedAt reports whether a gateway was partitioned from all endpoints at a time,
// for long enough to be checked.
func (r *run) anyPartitionedAt(at time.Time) bool {
	return slices.ContainsFunc(r.gateways, func(g *gateway) bool {
		p, partitioned := g.partitionAt(at)
		return partitioned && at.After(p.began.Add(partitionNoticeTime))
	})
}
