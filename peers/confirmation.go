package peers

import (
	"time"

	"redwingknot/peers/peerspb"
)

// addStamps adds the time at which the report is built, and the stamp of the latest report
// from p, which is nil for an instance that is not a peer.
func (e *Exchange) addStamps(r *peerspb.Report, p *peer) {
	r.Built = &peerspb.Stamp{Process: e.process, Time: e.opts.Now().UnixNano()}
	r.Echo, r.SuspectsAcked, r.OriginsAcked = p.received()
}

// addConfirmations adds this instance's confirmations to a report that has its stamps.
func (e *Exchange) addConfirmations(r *peerspb.Report) {
	if e.opts.Confirmations == nil {
		return
	}
	builtAt := time.Unix(0, r.Built.Time)
	for _, c := range e.opts.Confirmations.Confirmations() {
		r.Confirmations = append(r.Confirmations, &peerspb.Confirmation{Range: c.Range, Digest: c.Digest, Age: int64(max(builtAt.Sub(c.At), 0))})
	}
}

// applyConfirmations records the confirmations of another instance's report. Clocks of
// instances can't be compared and a report may be delayed, so the report is taken to
// be as old as the echo in it: it was built after this process read its clock for the
// report that the sender had got by then. A confirmation may seem older than it is,
// but never younger.
func (e *Exchange) applyConfirmations(r *peerspb.Report) {
	now := e.opts.Now()
	if e.opts.Confirmations == nil || r.Echo == nil || r.Echo.Process != e.process || r.Echo.Time > now.UnixNano() {
		return
	}
	builtAfter := time.Unix(0, r.Echo.Time)
	for _, c := range r.Confirmations {
		if c.Age < 0 {
			continue
		}
		e.opts.Confirmations.RecordConfirmation(Confirmation{Range: c.Range, Digest: c.Digest, At: builtAfter.Add(-time.Duration(c.Age))})
	}
}

// recordReport records what the latest report from the peer says about reports.
func (p *peer) recordReport(r *peerspb.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportedAt, p.leaving = now, r.Leaving
	if p.stamp.GetProcess() != r.Built.GetProcess() {
		p.suspectsReceived, p.originsReceived = 0, 0
	}
	p.stamp, p.echo, p.suspectsAcked, p.originsAcked = r.Built, r.Echo, r.SuspectsAcked, r.OriginsAcked
	if r.OriginsAfter <= p.originsReceived {
		p.originsReceived = max(p.originsReceived, r.OriginsThrough)
	}
	if r.SuspectsAfter <= p.suspectsReceived {
		p.suspectsReceived = max(p.suspectsReceived, r.SuspectsThrough)
	}
}

// received returns the stamp of the latest report from the peer, nil before the first, and
// the numbers of changes of its suspects and of streams that began there which this instance
// has heard of. The peer may be nil.
func (p *peer) received() (stamp *peerspb.Stamp, suspects, origins uint64) {
	if p == nil {
		return nil, 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stamp, p.suspectsReceived, p.originsReceived
}

// Rank returns this instance's position in its row of the grid, from 0 on.
func (e *Exchange) Rank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for _, name := range e.grid.row {
		if name < e.opts.Self {
			rank++
		}
	}
	return rank
}
