package team

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testRate  = 100
	testBurst = 10
)

// newReadySimulation returns a simulation of nodes that have run for longer than
// Config.HomeDelay, so that homes grant shares.
func newReadySimulation(nodes int) *simulation {
	s := newSimulation(Config{}, 1)
	for range nodes {
		s.start()
	}
	s.propagateMembers()
	s.tick()
	s.now = s.now.Add(s.cfg.HomeDelay + time.Second)
	s.tick()
	return s
}

// teamOf returns a team whose home is the given node.
func (s *simulation) teamOf(home *node) string {
	list := memberList{members: s.platformMembers}
	for i := 0; ; i++ {
		if name := fmt.Sprint("team-", i); list.home(hashTeamName(name)) == home.name {
			return name
		}
	}
}

// exhaust makes requests of a team until one is refused. It returns the number of
// admitted requests.
func (n *node) exhaust(team string) int {
	for admitted := 0; ; admitted++ {
		if ok, _ := n.limiter.Allow(team, teamLimit(testRate, testBurst)); !ok {
			return admitted
		}
	}
}

// askFor creates demand for a team at a node and returns the message in which the
// node asks the team's home for a share.
func (s *simulation) askFor(t *testing.T, n *node, team string) *Message {
	t.Helper()
	for range testRate {
		n.exhaust(team)
	}
	s.now = s.now.Add(s.cfg.Interval)
	for _, m := range n.limiter.Tick(s.now) {
		if len(m.Asks) > 0 {
			return m
		}
	}
	t.Fatal("the node sent no ask")
	return nil
}

// TestShareFollowsDemand checks that an instance with demand gets more of a team's
// limit than its floor, but in an interval at most the burst and the spare tokens.
func TestShareFollowsDemand(t *testing.T) {
	s := newReadySimulation(2)
	home, other := s.nodes[0], s.nodes[1]
	team := s.teamOf(home)
	admitted := 0
	for range 20 {
		s.now = s.now.Add(s.cfg.Interval)
		admitted += other.exhaust(team)
		s.tick()
		s.deliver()
		s.now = s.now.Add(2 * time.Millisecond)
		s.deliver()
		s.now = s.now.Add(2 * time.Millisecond)
		s.deliver()
	}
	// The floor alone admits about three requests in an interval.
	assert.Assert(t, admitted > 20*testBurst/2, "%d", admitted)
	assert.Assert(t, admitted <= 20*(testBurst+spareTokens), "%d", admitted)
}

// TestLeaseCountsFromAsk checks that a lease ends Config.Lease after the ask, not after
// the grant arrives.
func TestLeaseCountsFromAsk(t *testing.T) {
	s := newReadySimulation(2)
	home, other := s.nodes[0], s.nodes[1]
	team := s.teamOf(home)
	ask := s.askFor(t, other, team)
	grant := home.limiter.Receive(s.now, ask)
	assert.Assert(t, grant.Grants[0].Share > 0)

	s.now = s.now.Add(s.cfg.Lease - 100*time.Millisecond)
	other.limiter.Receive(s.now, grant)
	other.exhaust(team)
	s.now = s.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.exhaust(team) >= 2, "the share is in force until the lease ends")
	s.now = s.now.Add(100 * time.Millisecond)
	other.exhaust(team)
	s.now = s.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.exhaust(team) <= 1, "only the floor may be used after the lease")

	other.limiter.Receive(s.now, grant)
	s.now = s.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.exhaust(team) <= 1, "a grant that arrives after the end of its lease has no effect")
}

// TestOvertakenMessages checks that duplicate asks and grants that arrive after a later
// one have no effect.
func TestOvertakenMessages(t *testing.T) {
	s := newReadySimulation(2)
	home, other := s.nodes[0], s.nodes[1]
	team := s.teamOf(home)
	first := s.askFor(t, other, team)
	large := home.limiter.Receive(s.now, first)
	assert.Assert(t, large.Grants[0].Share > 0)
	assert.Equal(t, home.limiter.Receive(s.now, first).Grants[0].Share, float32(0), "a duplicate ask gets no further share")

	second := s.askFor(t, other, team)
	small := home.limiter.Receive(s.now, second)
	small.Grants[0].Share = 0.01
	other.limiter.Receive(s.now, small)
	other.limiter.Receive(s.now, large)
	assert.Equal(t, other.limiter.buckets[hashTeamName(team)].leasedShare, float64(float32(0.01)), "an overtaken grant is ignored")
}

// TestRetryAfterIsSpread checks that refused callers get different retry delays.
func TestRetryAfterIsSpread(t *testing.T) {
	s := newReadySimulation(1)
	n := s.nodes[0]
	n.exhaust("a")
	seen := map[time.Duration]bool{}
	for range 50 {
		ok, d := n.limiter.Allow("a", teamLimit(testRate, testBurst))
		assert.Assert(t, !ok && d > 0 && d <= DefaultMaxRetryAfter*3/2)
		seen[d.Round(time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 40)
}

// TestLimitChangesByNote checks that a lowered limit applies to an existing bucket,
// which keeps the tokens earned before.
func TestLimitChangesByNote(t *testing.T) {
	s := newReadySimulation(1)
	n := s.nodes[0]
	n.exhaust("a")
	s.now = s.now.Add(time.Second)
	ok, _ := n.limiter.Allow("a", teamLimit(0, 0))
	assert.Assert(t, ok, "tokens earned before the change remain usable")
	n.limiter.Allow("a", teamLimit(0, 0))
	s.now = s.now.Add(time.Hour)
	for range testBurst + spareTokens {
		n.limiter.Allow("a", teamLimit(0, 0))
	}
	ok, d := n.limiter.Allow("a", teamLimit(0, 0))
	assert.Assert(t, !ok)
	assert.Assert(t, d > 0)
}

// TestIdleTeamsAreForgotten checks that the state of idle teams is removed and that no
// messages are sent for them.
func TestIdleTeamsAreForgotten(t *testing.T) {
	s := newReadySimulation(2)
	for i := range 100 {
		s.nodes[0].exhaust(fmt.Sprint(i))
	}
	for range 200 {
		s.now = s.now.Add(s.cfg.Interval)
		s.tick()
		s.deliver()
	}
	for _, n := range s.nodes {
		assert.Equal(t, len(n.limiter.buckets), 0)
		assert.Equal(t, len(n.limiter.pools), 0)
	}
	before := s.messages
	s.tick()
	assert.Equal(t, s.messages, before)
}
