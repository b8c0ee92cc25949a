package peers

import (
	"time"

	"redwingknot/peers/peerspb"
)

// addConfirmations adds this instance's confirmations to a report to p, which is nil
// for an instance that is not a peer.
func (e *Exchange) addConfirmations(r *peerspb.Report, p *peer) {
	if e.opts.Confirmations == nil {
		return
	}
	now := e.opts.Now()
	r.Built = &peerspb.Stamp{Process: e.process, Time: now.UnixNano()}
	if p != nil {
		r.Echo = p.lastStamp()
	}
	for _, c := range e.opts.Confirmations.Confirmations() {
		r.Confirmations = append(r.Confirmations, &peerspb.Confirmation{Range: c.Range, Digest: c.Digest, Age: int64(max(now.Sub(c.At), 0))})
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

// setStamp records the stamp of the latest report from the peer.
func (p *peer) setStamp(s *peerspb.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stamp = s
}

// lastStamp returns the stamp of the latest report from the peer, nil before the
// first.
func (p *peer) lastStamp() *peerspb.Stamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stamp
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
