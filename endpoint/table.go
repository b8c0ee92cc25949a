package endpoint

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/endpoint/endpointpb"
	"redwingknot/engine"
)

// Timing of observations.
const (
	freshFor        = 10 * time.Second // age up to which a report is believed
	refreshInterval = 3 * time.Second  // an unchanged report is passed on this often
)

// minAdvance is how much newer a passed-on report must seem to count as newer.
const minAdvance = 200 * time.Millisecond

// The values of an observation's listing on the wire.
const (
	listingNone    = 0
	listingLive    = 1
	listingLeaving = 2
)

// exchangeBytes bounds the observations in one message of an exchange.
const exchangeBytes = 700

// loadStep is the relative change of load that is passed on at once.
const loadStep = 8 // one part in loadStep

// observation is the newest knowledge of one endpoint.
type observation struct {
	report    engine.Report
	known     bool
	failedAt  time.Time // last poll without an answer, by any instance
	leaving   string    // epoch that said it leaves; it never takes that back
	isLeaving bool
	listing   listing
	changed   uint64    // step of the table at the last change to pass on
	urgent    bool      // the change concerns more than load
	passed    time.Time // when the change was last numbered
}

// listing is what the platform's list says of an endpoint. A leaving mark counts
// for the epoch that was known when the mark first appeared, for the list lags.
type listing struct {
	known   bool
	leaving bool
	epoch   string
	at      time.Time // when the list was read
}

// reachable reports whether the last poll of any instance got an answer and is
// fresh.
func (o *observation) reachable(now time.Time) bool {
	return o.known && now.Sub(o.report.At) < freshFor && !o.failedAt.After(o.report.At)
}

// saysLeaving reports whether the endpoint's present epoch has said it leaves.
func (o *observation) saysLeaving() bool {
	return o.isLeaving && o.leaving == o.report.Epoch
}

// leavingNow reports whether the endpoint or the platform's list says that it
// leaves.
func (o *observation) leavingNow() bool {
	return o.saysLeaving() || o.listing.leaving && o.listing.epoch == o.report.Epoch
}

// table merges observations of endpoints; it has one owner.
type table struct {
	step uint64
	list map[string]*observation
}

func newTable() *table { return &table{list: map[string]*observation{}} }

func (t *table) at(name string) *observation {
	o := t.list[name]
	if o == nil {
		o = &observation{}
		t.list[name] = o
	}
	return o
}

// observe takes a report if it is newer than the one held. Within one epoch a
// leaving mark is kept whatever the order in which reports arrive.
func (t *table) observe(now time.Time, name string, r engine.Report) {
	o := t.at(name)
	if r.Leaving && !(o.isLeaving && o.leaving == r.Epoch) {
		o.isLeaving, o.leaving = true, r.Epoch
		t.touch(now, o, true)
	}
	if o.known && !r.At.After(o.report.At) {
		return
	}
	old := o.report
	wasReachable := o.reachable(now)
	o.report, o.known = r, true
	switch {
	case !wasReachable || differs(old, r):
		t.touch(now, o, true)
	case loadDiffers(old, r) || now.Sub(o.passed) > refreshInterval:
		t.touch(now, o, false)
	}
}

// fail takes a poll that got no answer.
func (t *table) fail(now, at time.Time, name string) {
	o := t.at(name)
	if !at.After(o.failedAt) {
		return
	}
	wasReachable := o.reachable(now)
	o.failedAt = at
	if wasReachable && !o.reachable(now) {
		t.touch(now, o, true)
	}
}

func (t *table) touch(now time.Time, o *observation, urgent bool) {
	t.step++
	o.changed = t.step
	o.urgent = urgent
	o.passed = now
}

// differs reports a change of more than load.
func differs(a, b engine.Report) bool {
	return a.Epoch != b.Epoch || a.Model != b.Model || a.Version != b.Version || a.Loading != b.Loading ||
		a.Role != b.Role || a.Leaving != b.Leaving || !slices.Equal(a.Adapters, b.Adapters)
}

func loadDiffers(a, b engine.Report) bool {
	return stepped(a.Running, b.Running) || stepped(a.Waiting, b.Waiting) || stepped(a.QueuedTokens, b.QueuedTokens)
}

func stepped(a, b int) bool {
	change := max(a, b) - min(a, b)
	return change*loadStep > max(a, b)
}

// forget drops endpoints that keep does not report.
func (t *table) forget(keep func(name string) bool) {
	for name := range t.list {
		if !keep(name) {
			delete(t.list, name)
		}
	}
}

// markListed takes one line of the platform's list, read now.
func (t *table) markListed(now time.Time, name string, leaving bool) {
	o := t.at(name)
	next := listing{known: true, leaving: leaving, epoch: o.report.Epoch, at: now}
	if leaving && o.listing.leaving {
		next.epoch = o.listing.epoch
	}
	t.takeListing(now, o, next)
}

// takeListing merges a listing; the newest reading of the list wins.
func (t *table) takeListing(now time.Time, o *observation, next listing) {
	if !next.known || o.listing.known && !next.at.After(o.listing.at) {
		return
	}
	changed := next.leaving != o.listing.leaving || next.leaving && next.epoch != o.listing.epoch
	o.listing = next
	if changed {
		t.touch(now, o, true)
	}
}

// batch returns the changes after step, the urgent ones first, up to
// exchangeBytes, and the step up to which the receiver is told.
func (t *table) batch(now time.Time, after uint64) ([]*endpointpb.Observation, uint64) {
	names := t.changedAfter(after)
	var list []*endpointpb.Observation
	told := t.step
	size := 0
	for _, name := range names {
		p := encode(now, name, t.list[name])
		size += proto.Size(p)
		if size > exchangeBytes && len(list) > 0 {
			told = min(told, t.list[name].changed-1)
			continue
		}
		list = append(list, p)
	}
	return list, max(told, after)
}

// changedAfter returns the names of changed endpoints: urgent changes first,
// then the oldest change first so that what does not fit is told next time.
func (t *table) changedAfter(after uint64) []string {
	var names []string
	for name, o := range t.list {
		if o.changed > after {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.list[a], t.list[b]
		if x.urgent != y.urgent {
			if x.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.changed, y.changed)
	})
	return names
}

// absorb merges observations of another instance.
func (t *table) absorb(now time.Time, list []*endpointpb.Observation, known func(name string) bool) {
	for _, p := range list {
		if !known(p.Endpoint) {
			continue
		}
		t.absorbOne(now, p)
	}
}

// absorbOne merges one observation. The time on the way makes a passed-on
// report seem newer than it is; within minAdvance it is the same report.
func (t *table) absorbOne(now time.Time, p *endpointpb.Observation) {
	o := t.at(p.Endpoint)
	t.takeListing(now, o, decodeListing(now, p))
	at := before(now, p.AgeMs)
	switch {
	case p.Unobserved:
	case p.Unreachable && at.Sub(o.failedAt) > minAdvance:
		t.fail(now, at, p.Endpoint)
	case p.Unreachable:
	default:
		if at.Sub(o.report.At) < minAdvance {
			at = o.report.At
		}
		t.observe(now, p.Endpoint, decode(p, at))
	}
}

func before(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

func decodeListing(now time.Time, p *endpointpb.Observation) listing {
	return listing{
		known:   p.Listing != listingNone,
		leaving: p.Listing == listingLeaving,
		epoch:   p.ListedEpoch,
		at:      before(now, p.ListedAgeMs),
	}
}

func encodeListing(now time.Time, o *observation, p *endpointpb.Observation) {
	if !o.listing.known {
		return
	}
	p.Listing = listingLive
	p.ListedAgeMs = ageMillis(now, o.listing.at)
	if o.listing.leaving {
		p.Listing = listingLeaving
		p.ListedEpoch = o.listing.epoch
	}
}

func encode(now time.Time, name string, o *observation) *endpointpb.Observation {
	p := encodeReport(now, o)
	p.Endpoint = name
	encodeListing(now, o, p)
	return p
}

func encodeReport(now time.Time, o *observation) *endpointpb.Observation {
	switch {
	case o.failedAt.After(o.report.At):
		return &endpointpb.Observation{Unreachable: true, AgeMs: ageMillis(now, o.failedAt)}
	case !o.known:
		return &endpointpb.Observation{Unobserved: true}
	}
	r := o.report
	return &endpointpb.Observation{
		Epoch:        r.Epoch,
		Model:        r.Model,
		Version:      r.Version,
		Loading:      r.Loading,
		Adapters:     r.Adapters,
		Role:         r.Role,
		Fence:        r.Fence,
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		QueuedTokens: uint32(r.QueuedTokens),
		Leaving:      r.Leaving || o.saysLeaving(),
		AgeMs:        ageMillis(now, r.At),
	}
}

func ageMillis(now, at time.Time) uint32 {
	return uint32(max(now.Sub(at).Milliseconds(), 0))
}

func decode(p *endpointpb.Observation, at time.Time) engine.Report {
	return engine.Report{
		Epoch:        p.Epoch,
		Model:        p.Model,
		Version:      p.Version,
		Loading:      p.Loading,
		Adapters:     p.Adapters,
		Role:         p.Role,
		Fence:        p.Fence,
		Running:      int(p.Running),
		Waiting:      int(p.Waiting),
		QueuedTokens: int(p.QueuedTokens),
		Leaving:      p.Leaving,
		At:           at,
	}
}
