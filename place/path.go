package place

import "time"

// directTrialInterval is the time between trials of an instance's own path to an endpoint
// that it reaches through another instance.
const directTrialInterval = time.Second

// Path is the way by which an instance reaches an endpoint: its own, or a detour through
// another instance. It does no I/O; callers pass in the time. It is not safe for concurrent
// use.
//
// Load pattern: an instance is partitioned from all endpoints for seconds, while callers and
// other instances reach it. Refusing its callers would lose all that come in that time.
type Path struct {
	detour    bool
	nextTrial time.Time // of the own path, while detour is set
}

// Detour reports whether connections go through another instance.
func (p *Path) Detour() bool { return p.detour }

// RecordDirect records that the own path works. It reports whether a detour ends.
func (p *Path) RecordDirect() bool {
	ended := p.detour
	p.detour = false
	return ended
}

// RecordDetour records that the own path has failed and another instance has opened a
// connection at now. It reports whether a detour begins.
func (p *Path) RecordDetour(now time.Time) bool {
	began := !p.detour
	if began {
		p.nextTrial = now.Add(directTrialInterval)
	}
	p.detour = true
	return began
}

// TrialDue reports whether the own path should be tried at now, and puts off the next trial
// if so.
func (p *Path) TrialDue(now time.Time) bool {
	if !p.detour || now.Before(p.nextTrial) {
		return false
	}
	p.nextTrial = now.Add(directTrialInterval)
	return true
}
