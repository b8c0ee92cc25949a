package peers

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTableSumsTheLastReports(t *testing.T) {
	table, now := NewTable(), time.Unix(100, 0)
	table.SetReport("a", map[uint64]Load{1: {Running: 2, PendingTokens: 100}}, now)
	table.SetReport("b", map[uint64]Load{1: {Running: 1, PendingTokens: 50}, 2: {HeldTokens: 7}}, now)
	assert.Equal(t, table.Load(1), Load{Running: 3, PendingTokens: 150})
	table.SetReport("a", map[uint64]Load{1: {Running: 1}}, now.Add(reportTTL))
	assert.Equal(t, table.Load(1), Load{Running: 2, PendingTokens: 50})
	table.Expire(now.Add(reportTTL+1), reportTTL)
	assert.Equal(t, table.Load(1), Load{Running: 1})
	assert.Equal(t, table.Load(2), Load{})
	table.SetReport("c", map[uint64]Load{1: {HeldTokens: 3}}, now)
	assert.DeepEqual(t, table.Sum([]string{"a", "c", "absent"}), map[uint64]Load{1: {Running: 1, HeldTokens: 3}})
}

func fleetOf(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%03d", i))
	}
	return names
}

func TestGridsAreMutualAndSmall(t *testing.T) {
	for _, n := range []int{1, 2, 11, 12, 37, 88, 380} {
		names := fleetOf(n)
		most := 4 * math.Sqrt(float64(n))
		for _, self := range names {
			g := newGrid(self, names)
			assert.Check(t, float64(len(g.row)+len(g.column)) <= max(most, maxRow-1), "%d of %d", len(g.row)+len(g.column), n)
			for _, p := range g.row {
				assert.Check(t, slices.Contains(newGrid(p, names).row, self))
			}
			for _, p := range g.column {
				assert.Check(t, slices.Contains(newGrid(p, names).column, self))
			}
		}
	}
}

// source is an instance with one request at an endpoint of its own and one at a
// common endpoint.
type source struct {
	own    uint64
	placed map[uint64]int // by part
}

func (s *source) Loads() map[uint64]Load {
	return map[uint64]Load{0: {Running: 1, PendingTokens: 10, HeldTokens: 100}, s.own: {Running: 1}}
}

func (s *source) RecordPlacements(list []Placement) {
	for _, p := range list {
		s.placed[p.Part]++
	}
}

// TestEveryInstanceLearnsTheWorkOfAll plays exchanges between all peers of
// fleets that are too large for everyone to call everyone.
func TestEveryInstanceLearnsTheWorkOfAll(t *testing.T) {
	for _, n := range []int{3, 12, 37, 88} {
		names := fleetOf(n)
		exchanges, sources := map[string]*Exchange{}, map[string]*source{}
		now := func() time.Time { return time.Unix(100, 0) }
		for i, self := range names {
			sources[self] = &source{own: uint64(i + 1), placed: map[uint64]int{}}
			e := New(Options{Self: self, Source: sources[self], Table: NewTable(), Now: now})
			e.grid = newGrid(self, names)
			for _, p := range e.grid.row {
				e.peers[p] = &peer{name: p}
			}
			for _, p := range e.grid.column {
				e.peers[p] = &peer{name: p, column: true}
			}
			exchanges[self] = e
		}
		large, small := uint64(7), uint64(8)
		exchanges[names[0]].QueuePlacements([]Placement{{Part: large, Tokens: largePart}, {Part: small, Tokens: largePart - 1}})
		// Twice: what the rows told in the first round crosses in the second.
		for range 2 {
			for _, self := range names {
				for _, p := range exchanges[self].peers {
					exchanges[p.name].take(exchanges[self].report(p))
				}
			}
		}
		for i, self := range names {
			table := exchanges[self].o.Table
			assert.Equal(t, table.Load(0), Load{Running: n - 1, PendingTokens: 10 * (n - 1), HeldTokens: 100 * (n - 1)}, "%s of %d", self, n)
			other := uint64(i+1)%uint64(n) + 1
			assert.Equal(t, table.Load(other).Running, 1, "%s of %d", self, n)
			if i > 0 {
				assert.Check(t, sources[self].placed[large] >= 1, "%s of %d", self, n)
			}
			assert.Check(t, sources[self].placed[small] <= 1, "%s of %d", self, n)
		}
	}
}

// TestReportsCountUntilTheNextIsDue checks the time that reports count in fleets
// of today's sizes and of the stated target.
func TestReportsCountUntilTheNextIsDue(t *testing.T) {
	for _, n := range []int{7, 88, 380} {
		names := fleetOf(n)
		e := New(Options{Self: names[0], Table: NewTable()})
		g := newGrid(names[0], names)
		for _, p := range g.row {
			e.peers[p] = &peer{name: p}
		}
		for _, p := range g.column {
			e.peers[p] = &peer{name: p, column: true}
		}
		assert.Check(t, e.ttl() >= reportTTL)
		for _, p := range e.peers {
			assert.Check(t, e.ttl() >= 2*e.interval(p), "%d instances", n)
		}
	}
}
