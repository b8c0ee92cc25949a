package instance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

// cluster runs views without a network, in rounds of one heartbeatInterval of
// simulated time.
type cluster struct {
	now         time.Time
	byAddr      map[string]*node
	ended       map[string]bool    // ended processes, by processName
	blocked     map[[2]string]bool // from and to, as data centres or as addresses
	startCount  uint64
	calls       int
	round       int
	listHistory [][]ListedInstance // the platform's list at each round; processes read an old one
}

// node is a process of the cluster.
type node struct {
	*view
	paused bool
}

func newCluster() *cluster {
	return &cluster{now: time.Unix(1e9, 0), byAddr: map[string]*node{}, ended: map[string]bool{}, blocked: map[[2]string]bool{}}
}

func (c *cluster) start(m Member, seeds ...string) *node {
	c.startCount++
	n := &node{view: newView(m, seeds, rand.New(rand.NewPCG(1, c.startCount)), c.now)}
	c.byAddr[m.Addr] = n
	return n
}

// end stops the process at addr without a leave announcement.
func (c *cluster) end(addr string) {
	n := c.byAddr[addr]
	c.ended[processName(n.self)] = true
	delete(c.byAddr, addr)
}

// processName returns the identifier and incarnation of the process of r.
func processName(r *record) string { return fmt.Sprintf("%s/%d", r.ID, r.Incarnation) }

// canReach reports whether messages in the direction from → to arrive.
func (c *cluster) canReach(from, to *node) bool {
	a, b := from.self.DataCentre, to.self.DataCentre
	return !c.blocked[[2]string{a, b}] && !c.blocked[[2]string{from.self.Addr, to.self.Addr}]
}

// runRound runs one round of every process, in the order of their addresses.
func (c *cluster) runRound() {
	c.now = c.now.Add(heartbeatInterval)
	c.deliverPlatformList()
	for _, addr := range sortedKeys(c.byAddr) {
		n := c.byAddr[addr]
		if n == nil || n.paused {
			continue
		}
		c.sendAll(n, n.tick(c.now))
		if n.supersededBy != 0 {
			c.end(addr)
		}
	}
}

// deliverPlatformList records the platform's list and, every listRounds rounds,
// passes the list of listLag rounds ago to every process. If no process runs any
// more at the addresses in the settings, a new process can find the others only
// through this list.
func (c *cluster) deliverPlatformList() {
	const listLag, listRounds = 30, 10
	var list []ListedInstance
	for _, addr := range sortedKeys(c.byAddr) {
		self := c.byAddr[addr].self
		list = append(list, ListedInstance{ID: self.ID, DataCentre: self.DataCentre, Addr: addr, Leaving: self.Leaving})
	}
	c.listHistory = append(c.listHistory, list)
	c.round++
	if c.round%listRounds != 0 || c.round <= listLag {
		return
	}
	for _, n := range c.byAddr {
		if !n.paused {
			n.mergePlatformList(c.now, c.listHistory[c.round-listLag-1])
		}
	}
}

// sendAll delivers heartbeats of n and their answers, then the heartbeats that n
// sends in response.
func (c *cluster) sendAll(n *node, out []outgoingHeartbeat) {
	for _, o := range out {
		c.calls++
		to := c.byAddr[o.to.addr]
		if to == nil || to.paused || !c.canReach(n, to) {
			n.handleNoAnswer(c.now, o.to)
			continue
		}
		answer := to.handleRequest(c.now, o.msg)
		if !c.canReach(to, n) {
			n.handleNoAnswer(c.now, o.to)
			continue
		}
		followUps := n.handleAnswer(c.now, o.to, answer)
		if !o.followUp {
			c.sendAll(n, followUps)
		}
	}
}

func (c *cluster) runRounds(count int) {
	for range count {
		c.runRound()
	}
}

// waitForConvergence runs rounds until all views agree and returns "". If they
// don't within convergenceRounds, it returns a difference.
func (c *cluster) waitForConvergence() string {
	const checkInterval = 10
	disagreement := ""
	for range convergenceRounds / checkInterval {
		c.runRounds(checkInterval)
		if disagreement = c.findDisagreement(); disagreement == "" {
			break
		}
	}
	return disagreement
}

// findDisagreement returns a difference between the view of some process and the
// processes that run, or "" if all views are correct.
func (c *cluster) findDisagreement() string {
	for _, n := range c.byAddr {
		live := map[string]Member{}
		for _, m := range n.liveMembers(c.now) {
			live[m.ID] = m
			if other := c.byAddr[m.Addr]; other == nil || other.self.ID != m.ID || other.self.Incarnation != m.Incarnation {
				return fmt.Sprintf("%s lists %s/%d as live, but it does not run", processName(n.self), m.ID, m.Incarnation)
			}
		}
		for _, other := range c.byAddr {
			if m, ok := live[other.self.ID]; !ok || m != other.self.Member {
				return fmt.Sprintf("%s does not list %s as live, or its record is out of date", processName(n.self), processName(other.self))
			}
		}
	}
	return ""
}

func sortedKeys(m map[string]*node) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// convergenceRounds is the number of undisturbed rounds within which all views
// must agree. It is this high because a process that has lost contact tries only
// one of several addresses every rejoinProbeRounds (5) rounds.
const convergenceRounds = 120

// TestFuzzViewsConverge guards against views that stay different after processes
// were killed, replaced, paused or stopped and connections were cut: once the
// network works and all processes run again, all views must agree.
func TestFuzzViewsConverge(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		c := newCluster()
		dcs := []string{"ilala", "kinondoni", "temeke"}
		seeds := []string{"ilala-0:1", "kinondoni-0:1", "temeke-0:1"}
		var addrs []string
		for _, dc := range dcs {
			for i := range 4 {
				m := member(dc, i)
				c.start(m, seeds...)
				addrs = append(addrs, m.Addr)
			}
		}
		replacements := 0
		drawAddr := func(t *rapid.T) string { return rapid.SampledFrom(addrs).Draw(t, "addr") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { c.runRounds(rapid.IntRange(1, 20).Draw(t, "rounds")) },
			"kill": func(t *rapid.T) {
				if a := drawAddr(t); c.byAddr[a] != nil {
					c.end(a)
				}
			},
			"replace": func(t *rapid.T) {
				a := drawAddr(t)
				replacements++
				m := Member{ID: fmt.Sprintf("new-%d", replacements), Incarnation: 1, DataCentre: dataCentreOf(a), Addr: a}
				if old := c.byAddr[a]; old != nil {
					c.end(a)
					if rapid.Bool().Draw(t, "same identifier") {
						m.ID, m.Incarnation = old.self.ID, old.self.Incarnation+1
					}
				}
				c.start(m, seeds...)
			},
			"pause": func(t *rapid.T) {
				if n := c.byAddr[drawAddr(t)]; n != nil {
					n.paused = !n.paused
				}
			},
			"cut": func(t *rapid.T) {
				a, b := drawAddr(t), drawAddr(t)
				pair := rapid.SampledFrom([][2]string{{dataCentreOf(a), dataCentreOf(b)}, {a, b}}).Draw(t, "pair")
				if pair[0] != pair[1] {
					c.blocked[pair] = true
					c.blocked[[2]string{pair[1], pair[0]}] = rapid.Bool().Draw(t, "both ways")
				}
			},
			"heal": func(*rapid.T) { clear(c.blocked) },
			"leave": func(t *rapid.T) {
				if n := c.byAddr[drawAddr(t)]; n != nil && !n.paused {
					n.setSelf(c.now, true, true)
					c.sendAll(n, n.leaveHeartbeats(c.now))
				}
			},
		})
		clear(c.blocked)
		for _, n := range c.byAddr {
			n.paused = false
		}
		if disagreement := c.waitForConvergence(); disagreement != "" {
			t.Fatal(disagreement)
		}
	})
}

// dataCentreOf returns the data centre of the instance at addr.
func dataCentreOf(addr string) string {
	for i := range addr {
		if addr[i] == '-' {
			return addr[:i]
		}
	}
	return addr
}

// twoViews returns the views of two instances of one data centre that know each
// other.
func twoViews(now time.Time) (a, b *view) {
	a = newView(member("ilala", 0), nil, rand.New(rand.NewPCG(1, 1)), now)
	b = newView(member("ilala", 1), nil, rand.New(rand.NewPCG(1, 2)), now)
	a.mergeRecord(now, b.self.encode())
	b.mergeRecord(now, a.self.encode())
	return a, b
}

func TestListedLeavingLastsUntilReplacement(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := twoViews(now)
	leaving := []ListedInstance{{ID: b.self.ID, Addr: b.self.Addr, Leaving: true}}
	a.mergePlatformList(now, leaving)
	assert.Assert(t, a.records[b.self.ID].Leaving)

	suspect := b.self.encode()
	suspect.State = uint32(stateSuspect)
	a.mergeRecord(now, suspect)
	assert.Assert(t, a.records[b.self.ID].Leaving)

	replacement := b.self.encode()
	replacement.Incarnation++
	a.mergeRecord(now, replacement)
	a.mergePlatformList(now, leaving)
	assert.Assert(t, !a.records[b.self.ID].Leaving, "the list is out of date and its mark applies to the earlier incarnation")
}

func TestPauseExtendsSuspicionDeadline(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := twoViews(now)
	a.tick(now)
	a.handleNoAnswer(now, a.targetOf(a.records[b.self.ID]))
	now = now.Add(time.Minute)
	a.tick(now)
	assert.Equal(t, a.records[b.self.ID].state, stateSuspect)
	for range 10 {
		now = now.Add(heartbeatInterval)
		a.tick(now)
	}
	assert.Equal(t, a.records[b.self.ID].state, stateFailed)
}

func TestRestartWithOlderClockRaisesIncarnation(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := member("ilala", 1)
	old.Incarnation = 9
	a, _ := twoViews(now)
	a.mergeRecord(now, (&record{Member: old}).encode())
	restarted := newView(member("ilala", 1), nil, rand.New(rand.NewPCG(1, 3)), now)
	msg := restarted.heartbeat(now, a.targetOf(a.self))
	restarted.handleAnswer(now, a.targetOf(a.self), a.handleRequest(now, msg))
	assert.Equal(t, restarted.self.Incarnation, uint64(10))
	assert.Equal(t, restarted.supersededBy, uint64(0))
}
