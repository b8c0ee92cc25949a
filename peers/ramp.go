package peers

import "redwingknot/peers/peerspb"

// Ramp is a step in the ramp-ups of an endpoint, see place.RampStep.
type Ramp struct {
	Target            uint64 // hash of the endpoint's incarnation
	Generation, Level uint32
}

// RampSource supplies the steps of the ramp-ups that this instance knows, and receives those
// that others know. The later of two steps holds, so that they may be passed on in any order
// and more than once.
type RampSource interface {
	// Ramps returns the steps of the ramp-ups that are under way or have ended lately.
	Ramps() []Ramp
	// RecordRamps records the steps that another instance knows, some of which may be invalid.
	RecordRamps([]Ramp)
}

// maxRampsReported bounds the ramp-ups in a report.
const maxRampsReported = 1024

// sentRamp is what a peer was last told about a ramp-up.
type sentRamp struct {
	ramp   Ramp
	to     uint64 // process of the peer
	sentAt int64  // time in the stamp of the report
}

// addRamps adds to a report that has its stamps the steps that p does not know.
func (e *Exchange) addRamps(r *peerspb.Report, p *peer) {
	if e.opts.Ramps == nil || p == nil {
		return
	}
	for _, ramp := range e.opts.Ramps.Ramps() {
		if len(r.Ramps) < maxRampsReported && p.needsRamp(ramp, e.process, r.Built.Time) {
			r.Ramps = append(r.Ramps, &peerspb.Ramp{Target: ramp.Target, Generation: ramp.Generation, Level: ramp.Level})
		}
	}
}

// needsRamp reports whether a step is to be in a report to the peer by the given process, and
// records it as reported at sentAt if so.
func (p *peer) needsRamp(ramp Ramp, process uint64, sentAt int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, known := p.rampsSent[ramp.Target]
	if known && sent.ramp == ramp && sent.to == p.stamp.GetProcess() && p.echo.GetProcess() == process && p.echo.GetTime() >= sent.sentAt {
		return false
	}
	if p.rampsSent == nil || len(p.rampsSent) >= maxLimitsSent {
		p.rampsSent = map[uint64]sentRamp{}
	}
	p.rampsSent[ramp.Target] = sentRamp{ramp: ramp, to: p.stamp.GetProcess(), sentAt: sentAt}
	return true
}

// applyRamps records the steps in another instance's report.
func (e *Exchange) applyRamps(r *peerspb.Report) {
	if e.opts.Ramps == nil || len(r.Ramps) == 0 {
		return
	}
	var list []Ramp
	for _, ramp := range r.Ramps[:min(len(r.Ramps), maxRampsReported)] {
		list = append(list, Ramp{Target: ramp.Target, Generation: ramp.Generation, Level: ramp.Level})
	}
	e.opts.Ramps.RecordRamps(list)
}
