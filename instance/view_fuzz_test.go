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

// cluster drives views without a network: rounds are steps of one second.
type cluster struct {
	now    time.Time
	byAddr map[string]*node
	gone   map[string]bool // identifier and incarnation of ended processes
	cut    map[[2]string]bool
	starts uint64
	calls  int
	round  int
	lists  [][]ListedInstance // the platform's list by round; readers get an old one
}

type node struct {
	*view
	paused bool
}

func newCluster() *cluster {
	return &cluster{now: time.Unix(1e9, 0), byAddr: map[string]*node{}, gone: map[string]bool{}, cut: map[[2]string]bool{}}
}

func (c *cluster) start(m Member, seeds ...string) *node {
	c.starts++
	n := &node{view: newView(m, seeds, rand.New(rand.NewPCG(1, c.starts)), c.now)}
	c.byAddr[m.Addr] = n
	return n
}

func (c *cluster) end(addr string) {
	n := c.byAddr[addr]
	c.gone[nameOf(n.self)] = true
	delete(c.byAddr, addr)
}

func nameOf(r *record) string { return fmt.Sprintf("%s/%d", r.ID, r.Incarnation) }

func (c *cluster) reaches(from, to *node) bool {
	a, b := from.self.DataCentre, to.self.DataCentre
	return !c.cut[[2]string{a, b}] && !c.cut[[2]string{from.self.Addr, to.self.Addr}]
}

// step runs one round of every process, in order of address.
func (c *cluster) step() {
	c.now = c.now.Add(heartbeatInterval)
	c.publishList()
	for _, addr := range sortedKeys(c.byAddr) {
		n := c.byAddr[addr]
		if n == nil || n.paused {
			continue
		}
		c.sendAll(n, n.tick(c.now))
		if n.superseded != 0 {
			c.end(addr)
		}
	}
}

// publishList gives the platform's list as it was listLag rounds ago to every
// process. The settings' addresses may all be dead; then only the list leads a
// new process to the others.
func (c *cluster) publishList() {
	const listLag, listRounds = 30, 10
	var list []ListedInstance
	for _, addr := range sortedKeys(c.byAddr) {
		self := c.byAddr[addr].self
		list = append(list, ListedInstance{ID: self.ID, DataCentre: self.DataCentre, Addr: addr, Leaving: self.Leaving})
	}
	c.lists = append(c.lists, list)
	c.round++
	if c.round%listRounds != 0 || c.round <= listLag {
		return
	}
	for _, n := range c.byAddr {
		if !n.paused {
			n.list(c.now, c.lists[c.round-listLag-1])
		}
	}
}

func (c *cluster) sendAll(n *node, out []outgoing) {
	for _, o := range out {
		c.calls++
		to := c.byAddr[o.to.addr]
		if to == nil || to.paused || !c.reaches(n, to) {
			n.unanswered(c.now, o.to)
			continue
		}
		answer := to.receive(c.now, o.msg)
		if !c.reaches(to, n) {
			n.unanswered(c.now, o.to)
			continue
		}
		more := n.answered(c.now, o.to, answer)
		if !o.second {
			c.sendAll(n, more)
		}
	}
}

func (c *cluster) steps(count int) {
	for range count {
		c.step()
	}
}

// settle runs until all views agree, or says what is wrong after settleRounds.
func (c *cluster) settle() string {
	const stride = 10
	wrong := ""
	for range settleRounds / stride {
		c.steps(stride)
		if wrong = c.agree(); wrong == "" {
			break
		}
	}
	return wrong
}

// agree returns what is wrong with the views of the processes that run.
func (c *cluster) agree() string {
	for _, n := range c.byAddr {
		live := map[string]Member{}
		for _, m := range n.members(c.now) {
			live[m.ID] = m
			if other := c.byAddr[m.Addr]; other == nil || other.self.ID != m.ID || other.self.Incarnation != m.Incarnation {
				return fmt.Sprintf("%s holds %s/%d for live", nameOf(n.self), m.ID, m.Incarnation)
			}
		}
		for _, other := range c.byAddr {
			if m, ok := live[other.self.ID]; !ok || m != other.self.Member {
				return fmt.Sprintf("%s lacks %s", nameOf(n.self), nameOf(other.self))
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

// settleRounds is after which all views agree when nothing more happens: a
// lost contact is sought every 5 rounds at one address of several.
const settleRounds = 120

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
		next := 0
		draw := func(t *rapid.T) string { return rapid.SampledFrom(addrs).Draw(t, "addr") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { c.steps(rapid.IntRange(1, 20).Draw(t, "rounds")) },
			"kill": func(t *rapid.T) {
				if a := draw(t); c.byAddr[a] != nil {
					c.end(a)
				}
			},
			"replace": func(t *rapid.T) {
				a := draw(t)
				next++
				m := Member{ID: fmt.Sprintf("new-%d", next), Incarnation: 1, DataCentre: dcOf(a), Addr: a}
				if old := c.byAddr[a]; old != nil {
					c.end(a)
					if rapid.Bool().Draw(t, "same identifier") {
						m.ID, m.Incarnation = old.self.ID, old.self.Incarnation+1
					}
				}
				c.start(m, seeds...)
			},
			"pause": func(t *rapid.T) {
				if n := c.byAddr[draw(t)]; n != nil {
					n.paused = !n.paused
				}
			},
			"cut": func(t *rapid.T) {
				a, b := draw(t), draw(t)
				pair := rapid.SampledFrom([][2]string{{dcOf(a), dcOf(b)}, {a, b}}).Draw(t, "pair")
				if pair[0] != pair[1] {
					c.cut[pair] = true
					c.cut[[2]string{pair[1], pair[0]}] = rapid.Bool().Draw(t, "both ways")
				}
			},
			"heal": func(*rapid.T) { clear(c.cut) },
			"leave": func(t *rapid.T) {
				if n := c.byAddr[draw(t)]; n != nil && !n.paused {
					n.setSelf(c.now, true, true)
					c.sendAll(n, n.farewell(c.now))
				}
			},
		})
		clear(c.cut)
		for _, n := range c.byAddr {
			n.paused = false
		}
		if wrong := c.settle(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func dcOf(addr string) string {
	for i := range addr {
		if addr[i] == '-' {
			return addr[:i]
		}
	}
	return addr
}

// twoViews returns the views of two instances that know each other.
func twoViews(now time.Time) (a, b *view) {
	a = newView(member("ilala", 0), nil, rand.New(rand.NewPCG(1, 1)), now)
	b = newView(member("ilala", 1), nil, rand.New(rand.NewPCG(1, 2)), now)
	a.merge(now, b.self.encode())
	b.merge(now, a.self.encode())
	return a, b
}

func TestListedLeavingStaysUntilReplaced(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := twoViews(now)
	leaving := []ListedInstance{{ID: b.self.ID, Addr: b.self.Addr, Leaving: true}}
	a.list(now, leaving)
	assert.Assert(t, a.records[b.self.ID].Leaving)

	suspect := b.self.encode()
	suspect.State = uint32(stateSuspect)
	a.merge(now, suspect)
	assert.Assert(t, a.records[b.self.ID].Leaving)

	replacement := b.self.encode()
	replacement.Incarnation++
	a.merge(now, replacement)
	a.list(now, leaving)
	assert.Assert(t, !a.records[b.self.ID].Leaving, "the list lags and means the earlier process")
}

func TestPauseExcusesSuspects(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := twoViews(now)
	a.tick(now)
	a.unanswered(now, a.targetOf(a.records[b.self.ID]))
	now = now.Add(time.Minute)
	a.tick(now)
	assert.Equal(t, a.records[b.self.ID].state, stateSuspect)
	for range 10 {
		now = now.Add(heartbeatInterval)
		a.tick(now)
	}
	assert.Equal(t, a.records[b.self.ID].state, stateFailed)
}

func TestRestartUnderAnOldClockRaisesItsIncarnation(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := member("ilala", 1)
	old.Incarnation = 9
	a, _ := twoViews(now)
	a.merge(now, (&record{Member: old}).encode())
	young := newView(member("ilala", 1), nil, rand.New(rand.NewPCG(1, 3)), now)
	msg := young.heartbeat(now, a.targetOf(a.self))
	young.answered(now, a.targetOf(a.self), a.receive(now, msg))
	assert.Equal(t, young.self.Incarnation, uint64(10))
	assert.Equal(t, young.superseded, uint64(0))
}
