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

// Timing of observations.
const (
	freshFor   = 10 * time.Second // age up to which a report is believed
	cycle      = 3 * time.Second  // time in which observations reach all instances
	urgentTime = 2 * cycle        // how long a change of more than load is repeated
	// clockSlack is how early a message of the next cycle may arrive here.
	clockSlack = 200 * time.Millisecond
)

// minAdvance is how much newer a passed-on report must seem to count as newer.
const minAdvance = 200 * time.Millisecond

// The values of an observation's listing on the wire.
const (
	listingNone    = 0
	listingLive    = 1
	listingLeaving = 2
)

// exchangeBytes bounds the observations in one message.
const exchangeBytes = 4 << 10

// observation is the newest knowledge of one endpoint.
type observation struct {
	report    engine.Report
	known     bool
	failedAt  time.Time // last poll without an answer, by any instance
	leaving   string    // epoch that said it leaves; it never takes that back
	isLeaving bool
	listing   listing
	urgent    time.Time // until when the observation is repeated in full
	heard     time.Time // when another instance last gave a newer report
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
	list  map[string]*observation
	fresh map[string]bool // endpoints with news in the present cycle
}

func newTable() *table {
	return &table{list: map[string]*observation{}, fresh: map[string]bool{}}
}

func (t *table) at(name string) *observation {
	o := t.list[name]
	if o == nil {
		o = &observation{}
		t.list[name] = o
	}
	return o
}

// observe takes a report if it is newer than the one held, and says whether it
// did. Within one epoch a leaving mark is kept whatever the order in which
// reports arrive.
func (t *table) observe(now time.Time, name string, r engine.Report) bool {
	o := t.at(name)
	if r.Leaving && !(o.isLeaving && o.leaving == r.Epoch) {
		o.isLeaving, o.leaving = true, r.Epoch
		t.hurry(now, name, o)
	}
	if o.known && !r.At.After(o.report.At) {
		return false
	}
	changed := !o.reachable(now) || differs(o.report, r)
	o.report, o.known = r, true
	if changed {
		t.hurry(now, name, o)
	}
	return true
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
		t.hurry(now, name, o)
	}
}

// hurry marks a change of more than load, which every instance that hears of it
// repeats for a while.
func (t *table) hurry(now time.Time, name string, o *observation) {
	o.urgent = now.Add(urgentTime)
	t.fresh[name] = true
}

// differs reports a change of more than load.
func differs(a, b engine.Report) bool {
	return a.Epoch != b.Epoch || a.Model != b.Model || a.Version != b.Version || a.Loading != b.Loading ||
		a.Role != b.Role || a.Leaving != b.Leaving || !slices.Equal(a.Adapters, b.Adapters)
}

// forget drops endpoints that keep does not report.
func (t *table) forget(keep func(name string) bool) {
	for name := range t.list {
		if !keep(name) {
			delete(t.list, name)
			delete(t.fresh, name)
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
	t.takeListing(now, name, o, next)
}

// takeListing merges a listing; the newest reading of the list wins.
func (t *table) takeListing(now time.Time, name string, o *observation, next listing) {
	if !next.known || o.listing.known && !next.at.After(o.listing.at) {
		return
	}
	changed := next.leaving != o.listing.leaving || next.leaving && next.epoch != o.listing.epoch
	o.listing = next
	if changed {
		t.hurry(now, name, o)
	}
}

// begin starts a cycle with what this instance has polled itself and with the
// urgent changes. A second poller's observation is left out while the first's
// arrives.
func (t *table) begin(now time.Time, first, second []string) {
	clear(t.fresh)
	for _, name := range first {
		t.fresh[name] = true
	}
	for _, name := range second {
		if now.Sub(t.at(name).heard) > 2*cycle {
			t.fresh[name] = true
		}
	}
	for name, o := range t.list {
		if now.Before(o.urgent) || now.Sub(o.heard) < clockSlack {
			t.fresh[name] = true
		}
	}
}

// batch returns the news of the present cycle, the urgent ones first, up to
// exchangeBytes. The others are told in full in some cycles only.
func (t *table) batch(now time.Time, full bool) []*endpointpb.Observation {
	var list []*endpointpb.Observation
	size := 0
	for _, name := range t.freshNames(now) {
		o := t.list[name]
		if o == nil || !o.known && !o.listing.known && o.failedAt.IsZero() {
			continue
		}
		p := encode(now, name, o, full || now.Before(o.urgent))
		if size += proto.Size(p); size > exchangeBytes {
			break
		}
		list = append(list, p)
	}
	return list
}

// freshNames returns the endpoints with news: the urgent ones, then the newest.
func (t *table) freshNames(now time.Time) []string {
	names := make([]string, 0, len(t.fresh))
	for name := range t.fresh {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.at(a), t.at(b)
		if c := flag(now.Before(y.urgent)) - flag(now.Before(x.urgent)); c != 0 {
			return c
		}
		if c := y.report.At.Compare(x.report.At); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
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
	t.takeListing(now, p.Endpoint, o, decodeListing(now, p))
	at := before(now, p.AgeMs)
	switch {
	case p.Unobserved:
	case p.Unreachable && at.Sub(o.failedAt) > minAdvance:
		t.fail(now, at, p.Endpoint)
	case p.Unreachable:
	case p.Epoch == "" && p.Content != contentOf(o.report):
		// Only the load is told, and this instance lacks the state it is of.
	default:
		if at.Sub(o.report.At) < minAdvance {
			at = o.report.At
		}
		if t.observe(now, p.Endpoint, decode(p, at, o.report)) {
			o.heard = now
			t.fresh[p.Endpoint] = true
		}
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

// contentOf identifies all of a report but its load.
func contentOf(r engine.Report) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range append([]string{r.Epoch, r.Model, r.Version, r.Loading, r.Role}, r.Adapters...) {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

func encode(now time.Time, name string, o *observation, full bool) *endpointpb.Observation {
	p := encodeReport(now, o, full)
	p.Endpoint = name
	encodeListing(now, o, p)
	return p
}

func encodeReport(now time.Time, o *observation, full bool) *endpointpb.Observation {
	switch {
	case o.failedAt.After(o.report.At):
		return &endpointpb.Observation{Unreachable: true, AgeMs: ageMillis(now, o.failedAt)}
	case !o.known:
		return &endpointpb.Observation{Unobserved: true}
	}
	r := o.report
	p := &endpointpb.Observation{
		Content:      contentOf(r),
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		QueuedTokens: uint32(r.QueuedTokens),
		Leaving:      r.Leaving || o.saysLeaving(),
		AgeMs:        ageMillis(now, r.At),
	}
	if full {
		p.Epoch, p.Model, p.Version, p.Loading = r.Epoch, r.Model, r.Version, r.Loading
		p.Adapters, p.Role, p.Fence = r.Adapters, r.Role, r.Fence
	}
	return p
}

func ageMillis(now, at time.Time) uint32 {
	return uint32(max(now.Sub(at).Milliseconds(), 0))
}

// decode returns the report that p tells; without the state it is that of held.
func decode(p *endpointpb.Observation, at time.Time, held engine.Report) engine.Report {
	r := held
	if p.Epoch != "" {
		r.Epoch, r.Model, r.Version, r.Loading = p.Epoch, p.Model, p.Version, p.Loading
		r.Adapters, r.Role, r.Fence = p.Adapters, p.Role, p.Fence
	}
	r.Running, r.Waiting, r.QueuedTokens = int(p.Running), int(p.Waiting), int(p.QueuedTokens)
	r.Leaving = p.Leaving
	r.At = at
	return r
}
