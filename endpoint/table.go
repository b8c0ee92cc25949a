package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"redwingknot/endpoint/endpointpb"
	"redwingknot/engine"
)

// Time limits of observations.
const (
	maxReportAge   = 10 * time.Second // age from which a report is no longer used
	cycleLength    = 3 * time.Second  // time in which observations reach all instances
	urgentDuration = 2 * cycleLength  // how long a change of more than the load (see stateDiffers) is sent repeatedly
	// clockSlack allows for differing clocks of the instances: a message of a cycle
	// may arrive this long before the cycle starts by this instance's clock.
	clockSlack = 200 * time.Millisecond
)

// minReportAdvance is how much newer than the known report a forwarded report must
// seem to count as newer.
const minReportAdvance = 200 * time.Millisecond

// Values of the field listing of the message Observation.
const (
	listingNone    = 0
	listingLive    = 1
	listingLeaving = 2
)

// maxExchangeBytes is the maximum size of all observations in one message.
const maxExchangeBytes = 4 << 10

// observation is the newest known state of one endpoint.
type observation struct {
	report           engine.Report
	hasReport        bool      // false until the first report
	failedPollSentAt time.Time // when the last failed poll by any instance was sent
	leavingEpoch     string    // last epoch that reported leaving; leaving is final within an epoch
	leavingSeen      bool      // whether leavingEpoch is set
	listing          listing
	urgentUntil      time.Time // until then the observation is sent in full in every cycle
	heardAt          time.Time // when another instance last sent a newer report
}

// listing is an endpoint's entry in the platform's list. As the list lags, a
// leaving mark applies only to the epoch that was known when the mark first
// appeared.
type listing struct {
	present bool      // whether the endpoint has been seen in the list
	leaving bool      // whether the entry is marked as leaving
	epoch   string    // epoch that the leaving mark applies to
	readAt  time.Time // when the list was read
}

// reachable reports whether the last known poll succeeded and its report is
// younger than maxReportAge.
func (o *observation) reachable(now time.Time) bool {
	return o.hasReport && now.Sub(o.report.At) < maxReportAge && !o.failedPollSentAt.After(o.report.At)
}

// reportedLeaving reports whether the endpoint has reported in its current epoch
// that it is leaving.
func (o *observation) reportedLeaving() bool {
	return o.leavingSeen && o.leavingEpoch == o.report.Epoch
}

// markedLeaving reports whether the endpoint's reports or the platform's list mark
// its current epoch as leaving.
func (o *observation) markedLeaving() bool {
	return o.reportedLeaving() || o.listing.leaving && o.listing.epoch == o.report.Epoch
}

// table merges observations of endpoints. It is not safe for concurrent use.
type table struct {
	observations map[string]*observation // by endpoint
	toSend       map[string]bool         // endpoints to send to other instances in the current cycle
}

func newTable() *table {
	return &table{observations: map[string]*observation{}, toSend: map[string]bool{}}
}

// getOrAdd returns the observation of an endpoint; it adds an empty one if there is
// none.
func (t *table) getOrAdd(name string) *observation {
	o := t.observations[name]
	if o == nil {
		o = &observation{}
		t.observations[name] = o
	}
	return o
}

// mergeReport stores a report if it is newer than the stored one, and reports
// whether it did. A leaving mark is recorded from an older report, too, so that it
// stays for the whole epoch in whichever order the reports arrive.
func (t *table) mergeReport(now time.Time, name string, r engine.Report) bool {
	o := t.getOrAdd(name)
	if r.Leaving && !(o.leavingSeen && o.leavingEpoch == r.Epoch) {
		o.leavingSeen, o.leavingEpoch = true, r.Epoch
		t.markUrgent(now, name, o)
	}
	if o.hasReport && !r.At.After(o.report.At) {
		return false
	}
	changed := !o.reachable(now) || stateDiffers(o.report, r)
	o.report, o.hasReport = r, true
	if changed {
		t.markUrgent(now, name, o)
	}
	return true
}

// mergeFailedPoll records a failed poll that was sent at sentAt.
func (t *table) mergeFailedPoll(now, sentAt time.Time, name string) {
	o := t.getOrAdd(name)
	if !sentAt.After(o.failedPollSentAt) {
		return
	}
	wasReachable := o.reachable(now)
	o.failedPollSentAt = sentAt
	if wasReachable && !o.reachable(now) {
		t.markUrgent(now, name, o)
	}
}

// markUrgent marks an observation that has changed in more than its load. Every
// instance that learns of the change sends it repeatedly for urgentDuration.
func (t *table) markUrgent(now time.Time, name string, o *observation) {
	o.urgentUntil = now.Add(urgentDuration)
	t.toSend[name] = true
}

// stateDiffers reports whether a and b differ in more than their load, which is
// Running, Waiting and QueuedTokens. The fencing token is not compared.
func stateDiffers(a, b engine.Report) bool {
	return a.Epoch != b.Epoch || a.Model != b.Model || a.Version != b.Version || a.Loading != b.Loading ||
		a.Role != b.Role || a.Leaving != b.Leaving || !slices.Equal(a.Adapters, b.Adapters)
}

// removeUnless removes the endpoints for which keep returns false.
func (t *table) removeUnless(keep func(name string) bool) {
	for name := range t.observations {
		if !keep(name) {
			delete(t.observations, name)
			delete(t.toSend, name)
		}
	}
}

// mergeListEntry merges one entry of the platform's list, read at now.
func (t *table) mergeListEntry(now time.Time, name string, leaving bool) {
	o := t.getOrAdd(name)
	next := listing{present: true, leaving: leaving, epoch: o.report.Epoch, readAt: now}
	if leaving && o.listing.leaving {
		next.epoch = o.listing.epoch
	}
	t.mergeListing(now, name, o, next)
}

// mergeListing stores next if the list was read later than for the stored listing.
func (t *table) mergeListing(now time.Time, name string, o *observation, next listing) {
	if !next.present || o.listing.present && !next.readAt.After(o.listing.readAt) {
		return
	}
	changed := next.leaving != o.listing.leaving || next.leaving && next.epoch != o.listing.epoch
	o.listing = next
	if changed {
		t.markUrgent(now, name, o)
	}
}

// beginCycle starts a cycle: it sets toSend to the endpoints whose observations
// this instance sends, which are those that it polls and those with urgent changes.
// An endpoint of which it is a secondary poller is left out while the primary
// poller's observations arrive.
// Endpoints heard of within clockSlack are included, since their observations may
// already belong to this cycle.
func (t *table) beginCycle(now time.Time, primary, secondary []string) {
	clear(t.toSend)
	for _, name := range primary {
		t.toSend[name] = true
	}
	for _, name := range secondary {
		if now.Sub(t.getOrAdd(name).heardAt) > 2*cycleLength {
			t.toSend[name] = true
		}
	}
	for name, o := range t.observations {
		if now.Before(o.urgentUntil) || now.Sub(o.heardAt) < clockSlack {
			t.toSend[name] = true
		}
	}
}

// batch returns the observations to send in the current cycle, urgent ones first,
// up to maxExchangeBytes. Urgent ones contain the full state, the others only if
// full is set.
func (t *table) batch(now time.Time, full bool) []*endpointpb.Observation {
	var observations []*endpointpb.Observation
	size := 0
	for _, name := range t.namesToSend(now) {
		o := t.observations[name]
		if o == nil || !o.hasReport && !o.listing.present && o.failedPollSentAt.IsZero() {
			continue
		}
		p := encodeObservation(now, name, o, full || now.Before(o.urgentUntil))
		if size += proto.Size(p); size > maxExchangeBytes {
			break
		}
		observations = append(observations, p)
	}
	return observations
}

// namesToSend returns the endpoints in toSend: the urgent ones first, and within
// both groups those with the newest reports first.
func (t *table) namesToSend(now time.Time) []string {
	names := make([]string, 0, len(t.toSend))
	for name := range t.toSend {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.getOrAdd(a), t.getOrAdd(b)
		if c := boolToInt(now.Before(y.urgentUntil)) - boolToInt(now.Before(x.urgentUntil)); c != 0 {
			return c
		}
		if c := y.report.At.Compare(x.report.At); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}

// mergeReceived merges observations sent by another instance. It ignores endpoints
// that are not configured.
func (t *table) mergeReceived(now time.Time, observations []*endpointpb.Observation, configured func(name string) bool) {
	for _, p := range observations {
		if !configured(p.Endpoint) {
			continue
		}
		t.mergeObservation(now, p)
	}
}

// mergeObservation merges one observation sent by another instance. The delay of
// the message makes a forwarded report seem newer than it is, so a report that
// seems newer by less than minReportAdvance is taken to be the same one.
func (t *table) mergeObservation(now time.Time, p *endpointpb.Observation) {
	o := t.getOrAdd(p.Endpoint)
	t.mergeListing(now, p.Endpoint, o, decodeListing(now, p))
	observedAt := timeOfAge(now, p.AgeMs)
	switch {
	case p.Unobserved:
	case p.Unreachable && observedAt.Sub(o.failedPollSentAt) > minReportAdvance:
		t.mergeFailedPoll(now, observedAt, p.Endpoint)
	case p.Unreachable:
	case p.Epoch == "" && p.Content != stateHash(o.report):
		// Contains only the load, and this instance does not have the state that the
		// load belongs to.
	default:
		if observedAt.Sub(o.report.At) < minReportAdvance {
			observedAt = o.report.At
		}
		if t.mergeReport(now, p.Endpoint, decodeReport(p, observedAt, o.report)) {
			o.heardAt = now
			t.toSend[p.Endpoint] = true
		}
	}
}

// timeOfAge returns the time that lies ageMillis milliseconds before now.
func timeOfAge(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// decodeListing returns the listing contained in p.
func decodeListing(now time.Time, p *endpointpb.Observation) listing {
	return listing{
		present: p.Listing != listingNone,
		leaving: p.Listing == listingLeaving,
		epoch:   p.ListedEpoch,
		readAt:  timeOfAge(now, p.ListedAgeMs),
	}
}

// encodeListing sets the listing fields of p.
func encodeListing(now time.Time, o *observation, p *endpointpb.Observation) {
	if !o.listing.present {
		return
	}
	p.Listing = listingLive
	p.ListedAgeMs = ageMillis(now, o.listing.readAt)
	if o.listing.leaving {
		p.Listing = listingLeaving
		p.ListedEpoch = o.listing.epoch
	}
}

// stateHash returns a hash of a report's epoch, model, version, loading version,
// role and adapters, that is of its state without the load.
func stateHash(r engine.Report) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range append([]string{r.Epoch, r.Model, r.Version, r.Loading, r.Role}, r.Adapters...) {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// encodeObservation returns o as a message; if full is not set, only the load of a
// report is included.
func encodeObservation(now time.Time, name string, o *observation, full bool) *endpointpb.Observation {
	p := encodeReport(now, o, full)
	p.Endpoint = name
	encodeListing(now, o, p)
	return p
}

// encodeReport returns a message with the last failed poll of o if that is newer
// than its report, otherwise with the report. Without either it sets unobserved.
func encodeReport(now time.Time, o *observation, full bool) *endpointpb.Observation {
	switch {
	case o.failedPollSentAt.After(o.report.At):
		return &endpointpb.Observation{Unreachable: true, AgeMs: ageMillis(now, o.failedPollSentAt)}
	case !o.hasReport:
		return &endpointpb.Observation{Unobserved: true}
	}
	r := o.report
	p := &endpointpb.Observation{
		Content:      stateHash(r),
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		QueuedTokens: uint32(r.QueuedTokens),
		Leaving:      r.Leaving || o.reportedLeaving(),
		AgeMs:        ageMillis(now, r.At),
	}
	if full {
		p.Epoch, p.Model, p.Version, p.Loading = r.Epoch, r.Model, r.Version, r.Loading
		p.Adapters, p.Role, p.Fence = r.Adapters, r.Role, r.Fence
	}
	return p
}

// ageMillis returns the age of at in milliseconds, 0 if at lies in the future.
func ageMillis(now, at time.Time) uint32 {
	return uint32(max(now.Sub(at).Milliseconds(), 0))
}

// decodeReport returns the report in p with the time at. If p contains only the
// load, the state is taken from current.
func decodeReport(p *endpointpb.Observation, at time.Time, current engine.Report) engine.Report {
	r := current
	if p.Epoch != "" {
		r.Epoch, r.Model, r.Version, r.Loading = p.Epoch, p.Model, p.Version, p.Loading
		r.Adapters, r.Role, r.Fence = p.Adapters, p.Role, p.Fence
	}
	r.Running, r.Waiting, r.QueuedTokens = int(p.Running), int(p.Waiting), int(p.QueuedTokens)
	r.Leaving = p.Leaving
	r.At = at
	return r
}
