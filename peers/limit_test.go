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
}

// TestInvalidLimitOfPeerIsIgnored checks that a limit that is no rate is not recorded.
func TestInvalidLimitOfPeerIsIgnored(t *testing.T) {
	s := &limitSource{known: map[uint64]Limit{}}
	e := New(Options{Table: NewTable(), Now: time.Now, Limits: s})
	e.applyLimits(&peerspb.Report{Limits: []*peerspb.Limit{{Target: 7, Named: true, PerSecond: -1}}})
	assert.Equal(t, len(s.known), 0)
}
