package peers

import (
	"math"
	"time"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers/peerspb"
)

// Limit is what an instance knows about the limit that an endpoint has named.
type Limit struct {
	Target     uint64 // hash of the endpoint's incarnation
	Limit      fleet.RateLimit
	ObservedAt time.Time // when the latest response that says so arrived, at any instance
}

// LimitSource supplies what this instance knows about the limits that endpoints have
// named, and receives what others know.
type LimitSource interface {
	// Limits returns the known limits, with those that have ended lately.
	Limits() []Limit
	// RecordLimits records what another instance knows.
	RecordLimits([]Limit)
}

// limitRefreshInterval is the time after which a limit that has not changed is reported
// again, so that instances which hear nothing of it themselves know that it stands.
const limitRefreshInterval = 10 * time.Second

// sentLimit is what a peer was last told about a limit.
type sentLimit struct {
	limit  Limit
	sentAt int64 // time in the stamp of the report
}

// addLimits adds to a report that has its stamps the limits that p does not know: those that
// have changed since they were last reported to it, were reported long ago, or were in no
// report that it is known to have got.
func (e *Exchange) addLimits(r *peerspb.Report, p *peer) {
	if e.opts.Limits == nil || p == nil {
		return
	}
	builtAt := time.Unix(0, r.Built.Time)
	for _, l := range e.opts.Limits.Limits() {
		if !p.needsLimit(l, e.process, r.Built.Time) {
			continue
		}
		r.Limits = append(r.Limits, &peerspb.Limit{
			Target: l.Target, Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, Age: int64(max(builtAt.Sub(l.ObservedAt), 0)),
		})
	}
}

// needsLimit reports whether a limit is to be in a report to the peer by the given process,
// and records it as reported at sentAt if so.
func (p *peer) needsLimit(l Limit, process uint64, sentAt int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, known := p.limitsSent[l.Target]
	received := known && p.echo.GetProcess() == process && p.echo.GetTime() >= sent.sentAt
	if received && sent.limit.Limit == l.Limit && l.ObservedAt.Sub(sent.limit.ObservedAt) < limitRefreshInterval {
		return false
	}
	if p.limitsSent == nil || len(p.limitsSent) >= maxLimitsSent {
		p.limitsSent = map[uint64]sentLimit{}
	}
	p.limitsSent[l.Target] = sentLimit{limit: l, sentAt: sentAt}
	return true
}

// maxLimitsSent bounds the memory for limits of endpoints that are gone. When it is reached,
// all limits are reported once more.
const maxLimitsSent = 4096

// applyLimits records the limits of another instance's report. The time that the report
// took is not known, so an observation seems younger by that.
func (e *Exchange) applyLimits(r *peerspb.Report) {
	if e.opts.Limits == nil || len(r.Limits) == 0 {
		return
	}
	now := e.opts.Now()
	var list []Limit
	for _, l := range r.Limits {
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
			metric.Counter("peer_limits_invalid_total").Inc(1)
			continue
		}
		list = append(list, Limit{
			Target: l.Target, Limit: fleet.RateLimit{Named: l.Named, PerSecond: l.PerSecond}, ObservedAt: now.Add(-time.Duration(max(l.Age, 0))),
		})
	}
	e.opts.Limits.RecordLimits(list)
}
