package team

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

const (
	step         = 50 * time.Millisecond // simulated time between two deliveries
	maxListDelay = 4 * time.Second       // time in which a changed list reaches every member
	maxNodes     = 6
)

// limitMachine runs a simulation with faults and checks the bound on the admitted
// requests of a team. In any window of T seconds there are at most
//
//	(T*Rate + Burst) * (1-Floor + Floor*sum(1/N)) + spareTokens*members + starts * (spareTokens + Floor*Burst/N)
//
// where the sum is over the live instances, N is the length of the longest member
// list that each has seen within Config.HomeDelay, and starts is the number of
// instances that started in the window. For the term of Burst, the largest such sum
// in the window applies.
type limitMachine struct {
	sim           *simulation
	rate          float64     // the team's limit in requests per second
	burst         float64     // the team's limit for requests at once
	admitted      leakyBucket // level of the admitted requests, compared with the bound
	listChangedAt time.Time   // first change of the platform's list since it was propagated
	listStale     bool        // whether the platform's list has changed since it was propagated
	maxFactor     float64     // largest 1-Floor + Floor*sum(1/N) since the level of admitted was 0
}

// advance runs the simulation for the given time while the given nodes get more
// requests than the limit admits. A changed list is propagated after maxListDelay.
func (m *limitMachine) advance(t *rapid.T, d time.Duration, loaded ...*node) {
	for end := m.sim.now.Add(d); m.sim.now.Before(end); {
		before := m.sim.floorFractionSum()
		m.sim.now = m.sim.now.Add(step)
		f := m.sim.cfg.Floor
		factor := 1 - f + f*max(before, m.sim.floorFractionSum())
		m.admitted.drain(m.rate*factor, step)
		m.maxFactor = max(m.maxFactor, factor)
		if m.admitted.level == 0 {
			m.maxFactor = factor
		}
		m.sim.deliver()
		if m.sim.now.UnixMilli()%1000 == 0 {
			m.sim.tick()
		}
		for _, n := range loaded {
			m.overload(n)
		}
		m.checkBound(t)
		if m.listStale && m.sim.now.Sub(m.listChangedAt) >= maxListDelay {
			m.sim.propagateMembers()
			m.listStale = false
		}
	}
}

// memberListChanged records a change of the platform's list.
func (m *limitMachine) memberListChanged() {
	if !m.listStale {
		m.listStale, m.listChangedAt = true, m.sim.now
	}
}

// checkBound fails if more requests were admitted than the bound allows.
func (m *limitMachine) checkBound(t *rapid.T) {
	if bound := m.burst*m.maxFactor + spareTokens*maxNodes; m.admitted.level > bound+1e-6 {
		t.Fatalf("level of admitted requests %.2f exceeds the bound %.2f", m.admitted.level, bound)
	}
}

// start starts a node and allows for the requests that a new node may admit.
func (m *limitMachine) start() {
	m.sim.start()
	n := float64(len(m.sim.platformMembers))
	m.admitted.drain(spareTokens+m.sim.cfg.Floor*m.burst/n, time.Second)
	m.memberListChanged()
}

// overload sends twice the team's rate to one node for one step.
func (m *limitMachine) overload(n *node) {
	const overload = 2
	for range int(overload*m.rate*step.Seconds()) + 1 {
		if ok, _ := n.limiter.Allow("ilala", teamLimit(m.rate, m.burst)); ok {
			m.admitted.admit()
		}
	}
}

// TestFuzzLimit checks the bound of limitMachine under message loss, duplication and
// delay, isolated nodes, and nodes that start and stop.
func TestFuzzLimit(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		m := &limitMachine{
			sim:   newSimulation(Config{}, rapid.Uint64().Draw(t, "seed")),
			rate:  rapid.SampledFrom([]float64{5, 400}).Draw(t, "rate"),
			burst: rapid.SampledFrom([]float64{1, 10, 50}).Draw(t, "burst"),
		}
		m.sim.lose = func() bool { return m.sim.cfg.Rand() < 0.1 }
		m.sim.duplicate = func() bool { return m.sim.cfg.Rand() < 0.1 }
		m.sim.delay = func() time.Duration {
			return time.Duration(m.sim.cfg.Rand() * m.sim.cfg.Rand() * float64(2*time.Second))
		}
		for range rapid.IntRange(2, maxNodes).Draw(t, "nodes") {
			m.start()
		}
		m.sim.propagateMembers()
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "node") }
		seconds := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"load one": func(t *rapid.T) { m.advance(t, seconds(t), m.sim.nodes[pick(t)]) },
			"load all": func(t *rapid.T) { m.advance(t, seconds(t), m.sim.nodes...) },
			"rest":     func(t *rapid.T) { m.advance(t, seconds(t)) },
			"cut":      func(t *rapid.T) { m.sim.nodes[pick(t)].isolated = true },
			"rejoin":   func(t *rapid.T) { m.sim.nodes[pick(t)].isolated = false },
			"start": func(t *rapid.T) {
				if len(m.sim.nodes) < maxNodes {
					m.start()
				}
			},
			"kill": func(t *rapid.T) {
				if len(m.sim.nodes) > 1 {
					m.sim.stop(pick(t))
					m.sim.unlistStopped()
					m.memberListChanged()
				}
			},
			"one learns the list": func(t *rapid.T) { m.sim.nodes[pick(t)].memberList = m.sim.platformMembers },
		})
	})
}
