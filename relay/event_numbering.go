package relay

import (
	"maps"
	"slices"

	"redwingknot/fleet"
	"redwingknot/origin"
)

// eventNumbering learns from the responses of a service's endpoints of one software version
// whether they number the events of a stream consecutively. Identifiers need only increase, so
// that a number which is left out is a sign of a missing event only where the others leave out none.
//
// Load pattern: few of many endpoints lose events; or all endpoints of a service number events by
// something else, as by tokens; or a release replaces the one by the other.
type eventNumbering struct {
	consecutive int // responses without a number left out
	skipping    int // responses with one
}

// numberingKnown is what is known of how a software version numbers events. Neither holds before
// there is evidence.
type numberingKnown struct {
	consecutive bool // hardly any response leaves out numbers
	skipping    bool // many responses do
}

const (
	// minNumberedResponses is the number of responses from which on it is known how a software
	// version numbers events.
	minNumberedResponses = 20
	// numberedResponses is the number of responses at which earlier ones begin to count less.
	numberedResponses = 256
	// maxSkippingShare is the share of responses that leave out numbers at a version that numbers
	// consecutively: its endpoints that fail.
	maxSkippingShare = 0.1
)

// record records a response with two events or more.
func (n *eventNumbering) record(skips bool) {
	if n.consecutive+n.skipping >= numberedResponses {
		n.consecutive /= 2
		n.skipping /= 2
	}
	if skips {
		n.skipping++
	} else {
		n.consecutive++
	}
}

// known returns what the responses so far show.
func (n *eventNumbering) known() numberingKnown {
	total := n.consecutive + n.skipping
	skipping := float64(n.skipping) > maxSkippingShare*float64(total)
	if total < minNumberedResponses {
		return numberingKnown{}
	}
	return numberingKnown{consecutive: !skipping, skipping: skipping}
}

// numberingOf returns what is learned of the software version of an endpoint. The caller holds mu.
func (e *Endpoints) numberingOf(spec *fleet.Endpoint) *eventNumbering {
	s, version := e.service(spec.Service), softwareOf(spec)
	n := s.numbering[version]
	if n == nil {
		n = &eventNumbering{}
		s.numbering[version] = n
	}
	return n
}

// eventNumbering returns what is known of how endpoints of the software version of the given one
// number events.
func (e *Endpoints) eventNumbering(spec *fleet.Endpoint) numberingKnown {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.numberingOf(spec).known()
}

// recordEventNumbers records how the events of an endpoint's response were numbered.
func (e *Endpoints) recordEventNumbers(spec *fleet.Endpoint, events *attemptEvents) {
	const minEvents = 2
	if events.first < 0 || events.events < minEvents {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.numberingOf(spec).record(events.skips)
}

// forgetNumbering drops what was learned of software versions that no listed endpoint has: one that
// returns under its name may number events otherwise. The caller holds mu.
func (e *Endpoints) forgetNumbering(listed map[string][]origin.Version) {
	for name, s := range e.services {
		maps.DeleteFunc(s.numbering, func(v origin.Version, _ *eventNumbering) bool { return !slices.Contains(listed[name], v) })
	}
}
