package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers/peerspb"
)

// limitSource is the LimitSource of an instance that keeps the newest word of each limit.
type limitSource struct{ known map[uint64]Limit }

func (s *limitSource) Limits() []Limit {
	var list []Limit
	for _, l := range s.known {
		list = append(list, l)
	}
	return list
}

func (s *limitSource) RecordLimits(list []Limit) {
	for _, l := range list {
		if l.ObservedAt.After(s.known[l.Target].ObservedAt) {
			s.known[l.Target] = l
		}
	}
}

// TestEveryInstanceLearnsOfLimits has one instance observe a limit, and another one its
// end: after two rounds of reports each, all of a fleet of several rows must know it.
func TestEveryInstanceLearnsOfLimits(t *testing.T) {
	f := newSuspectFleet(37)
	sources := map[string]*limitSource{}
	for _, self := range f.names {
		sources[self] = &limitSource{known: map[uint64]Limit{}}
		f.exchanges[self].opts.Limits = sources[self]
	}
	observe := func(at string, limit fleet.RateLimit) {
		sources[at].RecordLimits([]Limit{{Target: 7, Limit: limit, ObservedAt: time.Now()}})
		f.exchange(noneLost)
		f.exchange(noneLost)
		for _, self := range f.names {
			assert.Equal(t, sources[self].known[7].Limit, limit, self)
		}
	}
	observe(f.names[0], fleet.RateLimit{Named: true, PerSecond: 3.5})
	observe(f.names[36], fleet.RateLimit{})
	f.restart(f.names[20])
	sources[f.names[20]] = &limitSource{known: map[uint64]Limit{}}
	f.exchanges[f.names[20]].opts.Limits = sources[f.names[20]]
	f.exchange(noneLost)
	observe(f.names[5], fleet.RateLimit{Named: true, PerSecond: 2})
}

// TestKnownLimitIsNotReportedAgain checks that a limit is reported until the peer is known
// to have it, and again only if it has changed or after limitRefreshInterval.
func TestKnownLimitIsNotReportedAgain(t *testing.T) {
	f := newSuspectFleet(2)
	a, b := f.exchanges[f.names[0]], f.exchanges[f.names[1]]
	now := time.Unix(100, 0)
	a.opts.Now, b.opts.Now = func() time.Time { return now }, func() time.Time { return now }
	source := &limitSource{known: map[uint64]Limit{}}
	a.opts.Limits = source
	observe := func(perSecond float64) {
		source.RecordLimits([]Limit{{Target: 7, Limit: fleet.RateLimit{Named: true, PerSecond: perSecond}, ObservedAt: now}})
	}
	report := func(lost bool) int {
		now = now.Add(time.Second)
		r := a.buildReport(a.peers[f.names[1]])
		if !lost {
			b.applyReport(r, b.peers[f.names[0]])
		}
		a.applyReport(b.buildReport(b.peers[f.names[0]]), a.peers[f.names[1]])
		return len(r.Limits)
	}
	observe(3)
	assert.Equal(t, report(true), 1)
	assert.Equal(t, report(false), 1)
	observe(3)
	assert.Equal(t, report(false), 0)
	observe(4)
	assert.Equal(t, report(false), 1)
	assert.Equal(t, report(false), 0)
	now = now.Add(limitRefreshInterval)
	observe(4)
	assert.Equal(t, report(false), 1)
}

// TestInvalidLimitOfPeerIsIgnored checks that a limit that is no rate is not recorded.
func TestInvalidLimitOfPeerIsIgnored(t *testing.T) {
	s := &limitSource{known: map[uint64]Limit{}}
	e := New(Options{Table: NewTable(), Now: time.Now, Limits: s})
	e.applyLimits(&peerspb.Report{Limits: []*peerspb.Limit{{Target: 7, Named: true, PerSecond: -1}}})
	assert.Equal(t, len(s.known), 0)
}
