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

// addLimits adds the known limits to a report that has its stamps.
func (e *Exchange) addLimits(r *peerspb.Report) {
	if e.opts.Limits == nil {
		return
	}
	builtAt := time.Unix(0, r.Built.Time)
	for _, l := range e.opts.Limits.Limits() {
		r.Limits = append(r.Limits, &peerspb.Limit{
			Target: l.Target, Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, Age: int64(max(builtAt.Sub(l.ObservedAt), 0)),
		})
	}
}

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
