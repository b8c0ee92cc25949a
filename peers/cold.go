package peers

import (
	"time"

	"redwingknot/metric"
	"redwingknot/peers/peerspb"
)

// Cold says that an endpoint is cold.
type Cold struct {
	Target      uint64 // hash of the endpoint's identifier
	StartMillis int64  // of its incarnation
	For         time.Duration
}

// ColdSource supplies which endpoints are cold as this instance has read in the metadata
// store, and receives what others have read.
type ColdSource interface {
	// Cold returns the endpoints that are cold.
	Cold() []Cold
	// RecordCold records the endpoints that are cold by another instance's report.
	RecordCold([]Cold)
}

const (
	// maxColdReported bounds the endpoints in a report that are cold.
	maxColdReported = 1024
	// maxReportedCold is the longest time that an endpoint can be reported to stay cold.
	maxReportedCold = 10 * time.Minute
	// coldRefresh is the change of the end from which it is reported again. The ends that
	// successive entries of an endpoint give differ by the time that the entries take.
	coldRefresh = 500 * time.Millisecond
)

// sentCold is what a peer was last told about an endpoint that is cold.
type sentCold struct {
	startMillis int64
	until       time.Time
	to          uint64 // process of the peer
	sentAt      int64  // time in the stamp of the report
}

// addCold adds to a report that has its stamps the cold endpoints that p does not know.
func (e *Exchange) addCold(r *peerspb.Report, p *peer) {
	if e.opts.Cold == nil || p == nil {
		return
	}
	for _, c := range e.opts.Cold.Cold() {
		if len(r.Cold) < maxColdReported && p.needsCold(c, e.process, r.Built.Time) {
			r.Cold = append(r.Cold, &peerspb.Cold{Target: c.Target, StartMs: c.StartMillis, ForMs: clampUint32(int(c.For.Milliseconds()))})
		}
	}
}

// needsCold reports whether a cold endpoint is to be in a report to the peer by the given
// process, and records it as reported at sentAt if so.
func (p *peer) needsCold(c Cold, process uint64, sentAt int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Unix(0, sentAt).Add(c.For)
	sent, known := p.coldSent[c.Target]
	received := known && sent.to == p.stamp.GetProcess() && p.echo.GetProcess() == process && p.echo.GetTime() >= sent.sentAt
	if received && sent.startMillis == c.StartMillis && until.Sub(sent.until) < coldRefresh {
		return false
	}
	if p.coldSent == nil || len(p.coldSent) >= maxLimitsSent {
		p.coldSent = map[uint64]sentCold{}
	}
	p.coldSent[c.Target] = sentCold{startMillis: c.StartMillis, until: until, to: p.stamp.GetProcess(), sentAt: sentAt}
	return true
}

// applyCold records the cold endpoints of another instance's report. The time that the report
// took is not known, so they seem cold for longer by that.
func (e *Exchange) applyCold(r *peerspb.Report) {
	if e.opts.Cold == nil || len(r.Cold) == 0 {
		return
	}
	var list []Cold
	for i, c := range r.Cold {
		left := time.Duration(c.ForMs) * time.Millisecond
		if i >= maxColdReported || left > maxReportedCold {
			metric.Counter("peer_cold_invalid_total").Inc(1)
			continue
		}
		list = append(list, Cold{Target: c.Target, StartMillis: c.StartMs, For: left})
	}
	e.opts.Cold.RecordCold(list)
}
