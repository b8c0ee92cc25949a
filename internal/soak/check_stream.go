package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// checkSoftwareVersions checks that no stream holds events of endpoints of two software
// versions, in one response or over the attempts of its caller.
func (r *run) checkSoftwareVersions(obs *observations) {
	for attempt, c := range obs.calls {
		if !obs.pending[attempt] && c.mixedVersions {
			r.recordViolation(MixedVersions, "%s (%s) at %s holds events of several software versions", attempt, c.kind, c.gateway.name)
		}
	}
}

// checkOrder checks the events of each stream over all attempts of its caller.
func (r *run) checkOrder(obs *observations) {
	streams := map[*call][]*call{} // attempts by the first one
	for attempt, c := range obs.calls {
		if obs.pending[attempt] || !c.kind.isStream() || c.status/100 != 2 {
			continue
		}
		first := c
		if c.resumes != nil {
			first = c.resumes
		}
		streams[first] = append(streams[first], c)
	}
	for first, attempts := range streams {
		slices.SortFunc(attempts, func(a, b *call) int { return a.sentAt.Compare(b.sentAt) })
		if fault := orderFault(first, attempts); fault != "" {
			r.recordViolation(OutOfOrder, "%s (%s) at %s: %s", first.attemptID, first.kind, first.gateway.name, fault)
		}
	}
}

// orderFault describes the first event that is not the next one of the stream that a call
// began, in the given attempts in order of time, or the end of an attempt that is too early.
// It returns an empty string if there is none.
func orderFault(first *call, attempts []*call) string {
	next := 0
	for _, c := range attempts {
		rest := c.received
		for {
			event, after, whole := strings.Cut(rest, "\n\n")
			if !whole {
				break
			}
			if fault := eventFault(first, event+"\n\n", next); fault != "" {
				return fmt.Sprintf("%s of %s; %s", fault, c.attemptID, c.ending())
			}
			next, rest = next+1, after
		}
		if c.err == nil && (next < streamEvents || rest != "") {
			return fmt.Sprintf("%s ended as complete after event %d and %q", c.attemptID, next-1, rest)
		}
	}
	return ""
}

// eventFault describes why an event is not the one with the given identifier of the stream
// that a call began. It returns an empty string if it is.
func eventFault(first *call, event string, want int) string {
	if event == fleetworker.StreamEvent(first.path, first.softwareVersion, want) {
		return ""
	}
	line, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
	id, err := strconv.Atoi(line)
	switch {
	case err != nil || event != fleetworker.StreamEvent(first.path, first.softwareVersion, id):
		return fmt.Sprintf("%q is foreign, in place of event %d,", event, want)
	case id < want:
		return fmt.Sprintf("event %d comes again after event %d", id, want-1)
	}
	return fmt.Sprintf("event %d comes in place of event %d", id, want)
}

// ending says how an attempt ended.
func (c *call) ending() string {
	if c.err != nil {
		return "it broke off"
	}
	return "it ended as complete"
}

// Bounds of the users for streams that callers take up.
const (
	minResumptions      = 12 // from which their share is checked
	minVersionEndpoints = 2  // endpoints of the version that began the stream
	versionListTime     = time.Second
)

// checkResumptions checks that streams that callers take up go on at least half as often as
// new ones begin, while endpoints of their version serve.
func (r *run) checkResumptions(obs *observations) {
	taken, wentOn, fresh, began := 0, 0, 0, 0
	for attempt, c := range obs.calls {
		if obs.pending[attempt] || c.kind != callResume || c.token != token || !inTouch(c) {
			continue
		}
		served := c.status == http.StatusOK && (c.err == nil || c.softwareVersion != "")
		switch {
		case c.resumes == nil:
			fresh++
			if served {
				began++
			}
		case r.endpointsOfVersion(c.resumes.softwareVersion, c.sentAt, c.endedAt) >= minVersionEndpoints:
			taken++
			if served {
				wentOn++
			}
		}
	}
	if taken >= minResumptions && 2*wentOn*fresh < began*taken {
		r.recordViolation(ResumptionsLost, "%d of %d streams went on, %d of %d new ones began", wentOn, taken, began, fresh)
	}
}

// endpointsOfVersion returns the number of engines of a software version that ran all the
// time from versionListTime before from until to, and did not leave.
func (r *run) endpointsOfVersion(version string, from, to time.Time) int {
	n := 0
	for _, e := range r.endpoints {
		for _, i := range e.incarnations() {
			if e.model == "" || i.worker.SoftwareVersion() != version || i.startedAt.After(from.Add(-versionListTime)) {
				continue
			}
			if leaving := i.leavingSince(); !leaving.IsZero() && leaving.Before(to) {
				continue
			}
			if stopped := i.stopTime(); stopped.IsZero() || stopped.After(to) {
				n++
			}
		}
	}
	return n
}
