package relay

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/suspect"
)

// checkCrash finds out whether the process of the endpoint of p has ended under the attempt
// that has just lost its connection, and records a crash if it has. A lost connection alone
// does not show that, and a planned end says nothing about the requests. It returns after the first look; the others go on beside the request.
func (c *callerRequest) checkCrash(p *pick) {
	check := c.server.endpoints.startEndCheck(p.endpoint)
	if check == nil {
		return
	}
	crash := c.newCrashReport(p)
	<-check.first
	if check.ended.Load() {
		crash.record()
		return
	}
	go func() {
		<-check.done
		if check.ended.Load() {
			crash.record()
		}
	}()
}

// beginRun begins the run of the next attempt. It returns a refusal if the request has
// crashed too many endpoints, at any instance.
func (c *callerRequest) beginRun() *contract.Refusal {
	c.endRun()
	run, err := c.server.opts.Suspects.Begin(c.suspectSubjects)
	var held *suspect.HeldError
	switch {
	case !errors.As(err, &held):
		c.run = run
		return nil
	case held.OnTrial:
		return contract.Unavailable(contract.ReasonSuspectBusy, trialRetryAfter+rand.N(retryAfterSpread), held.Error())
	}
	reason := contract.ReasonSuspectRefused
	if held.Part {
		reason = contract.ReasonSuspectPart
	}
	return contract.Unavailable(reason, held.For+rand.N(retryAfterSpread), held.Error())
}

// trialRetryAfter is when a caller may return whose request another one is on trial for. A
// run of it takes about as long.
const trialRetryAfter = time.Second

// endRun ends the run of the latest attempt, if there is one.
func (c *callerRequest) endRun() {
	if c.run != nil {
		c.run.End()
	}
}

// crashReport is what is recorded if an endpoint's process has ended under an attempt. It
// holds no state of the request, which may go on meanwhile.
type crashReport struct {
	lost     suspect.Lost
	endpoint fleet.EndpointKey
	service  string
	log      *slog.Logger
	attrs    []slog.Attr
}

func (c *callerRequest) newCrashReport(p *pick) crashReport {
	attrs := append(c.logAttrs(), slog.String("fingerprint", c.suspectSubjects()[0].Fingerprint.String()),
		slog.Duration("first", c.timeToFirstData), slog.Int64("lastEvent", c.sequence.last), slog.String("parts", c.loggedParts()))
	return crashReport{lost: c.run.Lost(), endpoint: p.spec.Key(), service: c.query.service, log: c.server.opts.Log, attrs: attrs}
}

// maxLoggedParts bounds the log line of a request with many parts.
const maxLoggedParts = 8

// loggedParts returns the identifiers of the first parts of the prompt, each with the
// fingerprint by which the events of package suspect name it.
func (c *callerRequest) loggedParts() string {
	var list []string
	for i, s := range c.suspectSubjects()[1:] {
		if i == maxLoggedParts {
			break
		}
		list = append(list, c.call.Prompt.Parts[i].ID+":"+s.Fingerprint.String())
	}
	return strings.Join(list, ",")
}

// record records that the endpoint's process ended while it ran the request.
func (r crashReport) record() {
	metric.Counter("endpoint_crashes_total", "service", r.service).Inc(1)
	event.EndpointCrashed.Log(r.log, r.attrs...)
	r.lost.Crashed(r.endpoint.ID, strconv.FormatInt(r.endpoint.StartMillis, 10))
}

// maxSuspectParts bounds the parts of a prompt that are looked at. Prompts have a few.
const maxSuspectParts = 64

// suspectSubjects returns what may crash an endpoint that runs the request: the request
// itself, which is the first one, and each part of its prompt but the last, which is a part
// of the request alone.
func (c *callerRequest) suspectSubjects() []suspect.Subject {
	if c.subjects != nil {
		return c.subjects
	}
	c.subjects = []suspect.Subject{{Fingerprint: c.suspectFingerprint(), Depth: suspect.WholeRequest}}
	if c.call.Prompt == nil || len(c.call.Prompt.Parts) == 0 {
		return c.subjects
	}
	team := ""
	if c.team != nil && c.team.Isolated {
		team = c.team.Name
	}
	parts := c.call.Prompt.Parts
	for i, p := range parts[:min(len(parts)-1, maxSuspectParts)] {
		c.subjects = append(c.subjects, suspect.Subject{Fingerprint: suspect.PartFingerprint(team, c.call.Prompt.Model, p.ID), Depth: i + 1})
	}
	return c.subjects
}

// suspectFingerprint returns the fingerprint of the request. A caller that sends the
// request again, at any instance, sends the same method, path and body for the same team.
func (c *callerRequest) suspectFingerprint() suspect.Fingerprint {
	id := suspect.RequestIdentity{Target: c.method + " " + c.host + c.requestURI, Body: c.body}
	if c.team != nil {
		id.Team = c.team.Name
	}
	return suspect.FingerprintOf(id)
}
