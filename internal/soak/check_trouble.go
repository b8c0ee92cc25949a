package soak

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkRequests checks that a request that must run once at most does so over all attempts
// of its caller, which sends it again only if it was promised that it did not run.
func (r *run) checkRequests(obs *observations) {
	runs := map[string]int{}
	for attempt, list := range obs.runs {
		if c := obs.calls[attempt]; c != nil && !c.kind.repeatable() {
			runs[c.path] += len(list)
		}
	}
	for path, n := range runs {
		if n > 1 {
			r.recordViolation(RunTwice, "the request %s ran %d times over all attempts", path, n)
		}
	}
}

// checkMemory checks the largest amount of memory that each gateway's process has used.
func (r *run) checkMemory() {
	for _, g := range r.gateways {
		if used, err := g.peakMemoryMiB(); err == nil && used > memoryMiB {
			r.recordViolation(MemoryExceeded, "%s used more than %d MiB", g.name, memoryMiB)
		}
	}
}

// peakMemoryMiB returns the largest resident set of the gateway's process in MiB. The error
// is that of reading it, which fails if no process runs.
func (g *gateway) peakMemoryMiB() (int, error) {
	g.mu.Lock()
	process := g.process
	g.mu.Unlock()
	if process == nil {
		return 0, os.ErrProcessDone
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kib, err := strconv.Atoi(value)
	return kib >> 10, err
}

// Bounds of the users for a request, and for a part of prompts, that crashes endpoints.
const (
	crashesBeforeLimit     = 3               // after which a request is limited
	partCrashesBeforeLimit = 5               // after which a part is limited
	crashNoticeTime        = 3 * time.Second // from the last of these until the limit holds
	maxCrashRetries        = 3               // how often it may crash endpoints then
	minSoundCalls          = 20              // calls beside such a part from which their share is checked
)

// checkCrashes checks how often the crashing request has crashed endpoints. It may begin
// anew when all gateways have been restarted: the refusal that they saved is lost with the
// store's leases or in a restored store.
func (r *run) checkCrashes(obs *observations) {
	n, _ := r.lateCrashingRuns(obs, crashesBeforeLimit, func(c *call) bool { return c.kind == callCrash })
	if n > maxCrashRetries {
		r.recordViolation(CrashingRequestSent, "the crashing request reached endpoints %d times later than %s after the third crash", n, crashNoticeTime)
	}
}

// checkCrashingPart checks how often prompts with the crashing part have reached engines, and
// whether sound prompts are served beside them.
func (r *run) checkCrashingPart(obs *observations) {
	n, limitedFrom := r.lateCrashingRuns(obs, partCrashesBeforeLimit, func(c *call) bool { return c.kind == callPart })
	if n > maxCrashRetries {
		r.recordViolation(CrashingPartSent, "prompts with the crashing part reached engines %d times later than %s after the fifth crash", n, crashNoticeTime)
	}
	if limitedFrom.IsZero() {
		return
	}
	sent, served := 0, 0
	for attempt, c := range obs.calls {
		if obs.pending[attempt] || c.kind != callStream && c.kind != callResume || c.token != token {
			continue
		}
		undisturbed := r.disruptions.noneBetween(c.sentAt.Add(-settleTime), c.endedAt, []StepKind{PartCrashes})
		if !undisturbed || !inTouch(c) || !c.sentAt.After(limitedFrom.Add(crashNoticeTime)) {
			continue
		}
		sent++
		if c.complete() && c.status == http.StatusOK {
			served++
		}
	}
	if sent >= minSoundCalls && 2*served < sent {
		r.recordViolation(SoundPromptsLost, "%d of %d sound prompts were served beside the crashing part", served, sent)
	}
}

// lateCrashingRuns returns how often the calls of a kind have reached endpoints later than
// crashNoticeTime after they had crashed the given number of them, sent by gateways in touch,
// and from when on that counts; the time is zero if they have crashed fewer, or if no gateway
// has run all the while.
func (r *run) lateCrashingRuns(obs *observations, limit int, ofKind func(*call) bool) (late int, limitedFrom time.Time) {
	var list []endpointRun
	firstOf := map[*incarnation]time.Time{} // of several that come at once, one crashes the endpoint
	for attempt, runs := range obs.runs {
		c := obs.calls[attempt]
		if c == nil || !ofKind(c) {
			continue
		}
		for _, ran := range runs {
			list = append(list, ran)
			if first, ok := firstOf[ran.incarnation]; !ok || ran.StartedAt.Before(first) {
				firstOf[ran.incarnation] = ran.StartedAt
			}
		}
	}
	if len(firstOf) < limit {
		return 0, time.Time{}
	}
	crashes := slices.SortedFunc(maps.Values(firstOf), time.Time.Compare)
	limitedFrom = crashes[limit-1].Add(crashNoticeTime)
	if !slices.ContainsFunc(r.gateways, func(g *gateway) bool { return g.lastStarted().Before(crashes[limit-1]) }) {
		return 0, time.Time{}
	}
	for _, ran := range list {
		if ran.StartedAt.After(limitedFrom) && inTouch(obs.calls[ran.Attempt]) {
			late++
		}
	}
	return late, limitedFrom
}

// inTouch reports whether a call's gateway has not been disturbed for crashNoticeTime before
// the call.
func inTouch(c *call) bool {
	return c != nil && c.gateway != nil && c.sentAt.After(c.gateway.lastStarted().Add(crashNoticeTime)) && c.sentAt.After(c.gateway.lastResumed().Add(crashNoticeTime))
}

// Bounds of the users for the requests to an endpoint that names a limit.
const (
	limitNoticeTime = 3 * time.Second        // from the first response that names it until they hold
	limitTellTime   = 500 * time.Millisecond // from the response by which a gateway was told
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
)

// checkLimits checks the requests that reached endpoints while their responses named a limit.
func (r *run) checkLimits(obs *observations) {
	maxArrivals := int(limitFactor*limitPerSecond*limitWindow.Seconds()) + limitSlack
	for _, e := range r.endpoints {
		for _, i := range e.incarnations() {
			arrivals := r.limitedArrivals(obs, i)
			for n := range arrivals {
				if n+maxArrivals < len(arrivals) && arrivals[n+maxArrivals].Sub(arrivals[n]) < limitWindow {
					r.recordViolation(LimitExceeded, "%s got more than %d requests in %s while it named a limit of %d a second", i, maxArrivals, limitWindow, limitPerSecond)
					break
				}
			}
		}
	}
}

// limitedArrivals returns when requests reached an incarnation that count against its limit:
// from limitNoticeTime after it first named it on, from gateways that it had told and that
// have not been disturbed since.
func (r *run) limitedArrivals(obs *observations, i *incarnation) []time.Time {
	var namedAt time.Time
	var counted []time.Time
	toldAt := map[*gateway]time.Time{}
	for _, a := range i.worker.Arrivals() {
		c := obs.calls[a.Attempt]
		if a.Limit != limitValues[EndpointLimit] {
			namedAt = time.Time{}
			clear(toldAt)
			continue
		}
		if namedAt.IsZero() {
			namedAt = a.At
		}
		if c == nil || c.gateway == nil || c.gateway.lastStarted().After(namedAt) || c.gateway.lastResumed().After(namedAt) {
			continue
		}
		told := toldAt[c.gateway]
		if a.At.After(namedAt.Add(limitNoticeTime)) && !told.IsZero() && a.At.After(told.Add(limitTellTime)) {
			counted = append(counted, a.At)
		}
		if obs.pending[a.Attempt] {
			continue
		}
		if ended := c.endedAt; c.complete() && !ended.IsZero() && (told.IsZero() || ended.Before(told)) {
			toldAt[c.gateway] = ended
		}
	}
	return counted
}
