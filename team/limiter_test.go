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

// ready returns a world whose homes lend, and its nodes.
func ready(nodes int) *world {
	w := newWorld(Config{}, 1)
	for range nodes {
		w.start()
	}
	w.spread()
	w.tick()
	w.now = w.now.Add(w.cfg.HomeDelay + time.Second)
	w.tick()
	return w
}

// teamOf returns a team whose home is the given node.
func (w *world) teamOf(home *node) string {
	v := view{members: w.members}
	for i := 0; ; i++ {
		if name := fmt.Sprint("team-", i); v.home(idOf(name)) == home.name {
			return name
		}
	}
}

// use makes requests until one is refused and returns how many were admitted.
func (n *node) use(team string) int {
	for admitted := 0; ; admitted++ {
		if ok, _ := n.limiter.Allow(team, limitOf(testRate, testBurst)); !ok {
			return admitted
		}
	}
}

// ask makes demand for a team and returns the ask to its home.
func (w *world) ask(t *testing.T, n *node, team string) *Message {
	t.Helper()
	for range testRate {
		n.use(team)
	}
	w.now = w.now.Add(w.cfg.Interval)
	for _, m := range n.limiter.Tick(w.now) {
		if len(m.Asks) > 0 {
			return m
		}
	}
	t.Fatal("no ask")
	return nil
}

func TestShareFollowsDemand(t *testing.T) {
	w := ready(2)
	home, other := w.nodes[0], w.nodes[1]
	team := w.teamOf(home)
	admitted := 0
	for range 20 {
		w.now = w.now.Add(w.cfg.Interval)
		admitted += other.use(team)
		w.tick()
		w.deliver()
		w.now = w.now.Add(2 * time.Millisecond)
		w.deliver()
		w.now = w.now.Add(2 * time.Millisecond)
		w.deliver()
	}
	// The floor alone admits about three in an interval.
	assert.Assert(t, admitted > 20*testBurst/2, "%d", admitted)
	assert.Assert(t, admitted <= 20*(testBurst+spare), "%d", admitted)
}

func TestLeaseCountsFromAsk(t *testing.T) {
	w := ready(2)
	home, other := w.nodes[0], w.nodes[1]
	team := w.teamOf(home)
	ask := w.ask(t, other, team)
	grant := home.limiter.Receive(w.now, ask)
	assert.Assert(t, grant.Grants[0].Share > 0)

	w.now = w.now.Add(w.cfg.Lease - 100*time.Millisecond)
	other.limiter.Receive(w.now, grant)
	other.use(team)
	w.now = w.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.use(team) >= 2, "the share is in force until the lease ends")
	w.now = w.now.Add(100 * time.Millisecond)
	other.use(team)
	w.now = w.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.use(team) <= 1, "the floor is left after the lease")

	other.limiter.Receive(w.now, grant)
	w.now = w.now.Add(50 * time.Millisecond)
	assert.Assert(t, other.use(team) <= 1, "a grant that comes after its lease is void")
}

func TestOvertakenMessages(t *testing.T) {
	w := ready(2)
	home, other := w.nodes[0], w.nodes[1]
	team := w.teamOf(home)
	first := w.ask(t, other, team)
	large := home.limiter.Receive(w.now, first)
	assert.Assert(t, large.Grants[0].Share > 0)
	assert.Equal(t, home.limiter.Receive(w.now, first).Grants[0].Share, float32(0), "a copy of an ask lends nothing more")

	second := w.ask(t, other, team)
	small := home.limiter.Receive(w.now, second)
	small.Grants[0].Share = 0.01
	other.limiter.Receive(w.now, small)
	other.limiter.Receive(w.now, large)
	assert.Equal(t, other.limiter.buckets[idOf(team)].share, float64(float32(0.01)), "an overtaken grant is ignored")
}

func TestRetryAfterIsSpread(t *testing.T) {
	w := ready(1)
	n := w.nodes[0]
	n.use("a")
	seen := map[time.Duration]bool{}
	for range 50 {
		ok, d := n.limiter.Allow("a", limitOf(testRate, testBurst))
		assert.Assert(t, !ok && d > 0 && d <= DefaultMaxRetryAfter*3/2)
		seen[d.Round(time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 40)
}

func TestLimitChangesByNote(t *testing.T) {
	w := ready(1)
	n := w.nodes[0]
	n.use("a")
	w.now = w.now.Add(time.Second)
	ok, _ := n.limiter.Allow("a", limitOf(0, 0))
	assert.Assert(t, ok, "tokens earned before the change")
	n.limiter.Allow("a", limitOf(0, 0))
	w.now = w.now.Add(time.Hour)
	for range testBurst + spare {
		n.limiter.Allow("a", limitOf(0, 0))
	}
	ok, d := n.limiter.Allow("a", limitOf(0, 0))
	assert.Assert(t, !ok)
	assert.Assert(t, d > 0)
}

func TestIdleTeamsAreForgotten(t *testing.T) {
	w := ready(2)
	for i := range 100 {
		w.nodes[0].use(fmt.Sprint(i))
	}
	for range 200 {
		w.now = w.now.Add(w.cfg.Interval)
		w.tick()
		w.deliver()
	}
	for _, n := range w.nodes {
		assert.Equal(t, len(n.limiter.buckets), 0)
		assert.Equal(t, len(n.limiter.pools), 0)
	}
	before := w.messages
	w.tick()
	assert.Equal(t, w.messages, before)
}
