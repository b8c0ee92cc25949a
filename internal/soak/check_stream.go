package soak

import (
	"net/http"
	"time"
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
