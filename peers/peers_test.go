package peers

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTableSumsLatestReports(t *testing.T) {
	table, now := NewTable(), time.Unix(100, 0)
	table.SetReport("a", map[uint64]Load{1: {Running: 2, PendingTokens: 100}}, now)
	table.SetReport("b", map[uint64]Load{1: {Running: 1, PendingTokens: 50}, 2: {HeldTokens: 7}}, now)
	assert.Equal(t, table.Load(1), Load{Running: 3, PendingTokens: 150})
	table.SetReport("a", map[uint64]Load{1: {Running: 1}}, now.Add(minReportTTL))
	assert.Equal(t, table.Load(1), Load{Running: 2, PendingTokens: 50})
	table.Expire(now.Add(minReportTTL+1), minReportTTL)
	assert.Equal(t, table.Load(1), Load{Running: 1})
	assert.Equal(t, table.Load(2), Load{})
	table.SetReport("c", map[uint64]Load{1: {HeldTokens: 3}}, now)
	assert.DeepEqual(t, table.Sum([]string{"a", "c", "absent"}), map[uint64]Load{1: {Running: 1, HeldTokens: 3}})
}

// instanceNames returns the names of n instances.
func instanceNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%03d", i))
	}
	return names
}

func TestGridPeersAreMutualAndFew(t *testing.T) {
	for _, n := range []int{1, 2, 11, 12, 37, 88, 380} {
		names := instanceNames(n)
		limit := 4 * math.Sqrt(float64(n))
		for _, self := range names {
			g := newGrid(self, names)
			assert.Check(t, float64(len(g.row)+len(g.column)) <= max(limit, maxSingleRow-1), "%d peers in a fleet of %d", len(g.row)+len(g.column), n)
			for _, p := range g.row {
				assert.Check(t, slices.Contains(newGrid(p, names).row, self))
			}
			for _, p := range g.column {
				assert.Check(t, slices.Contains(newGrid(p, names).column, self))
			}
		}
	}
}

// source is the Source of an instance with one request at a target of its own
// and one at target 0, which all instances use.
type source struct {
	ownTarget    uint64
	placedCounts map[uint64]int // number of placements received, by part
}

func (s *source) Loads() map[uint64]Load {
	return map[uint64]Load{0: {Running: 1, PendingTokens: 10, HeldTokens: 100}, s.ownTarget: {Running: 1}}
}

func (s *source) RecordPlacements(placements []Placement) {
	for _, p := range placements {
		s.placedCounts[p.Part]++
	}
}

// TestEveryInstanceLearnsLoadOfAll exchanges reports between all peers of
// fleets, most of them too large for every instance to call every other. Each
// instance must learn the load of all others and the placements of large parts.
func TestEveryInstanceLearnsLoadOfAll(t *testing.T) {
	for _, n := range []int{3, 12, 37, 88} {
		names := instanceNames(n)
		exchanges, sources := map[string]*Exchange{}, map[string]*source{}
		now := func() time.Time { return time.Unix(100, 0) }
		for i, self := range names {
			sources[self] = &source{ownTarget: uint64(i + 1), placedCounts: map[uint64]int{}}
			e := New(Options{Self: self, Source: sources[self], Table: NewTable(), Now: now})
			e.grid = newGrid(self, names)
			for _, p := range e.grid.row {
				e.peers[p] = &peer{name: p}
			}
			for _, p := range e.grid.column {
				e.peers[p] = &peer{name: p, inColumn: true}
			}
			exchanges[self] = e
		}
		largePart, smallPart := uint64(7), uint64(8)
		exchanges[names[0]].QueuePlacements([]Placement{{Part: largePart, Tokens: minLargePartTokens}, {Part: smallPart, Tokens: minLargePartTokens - 1}})
		// Two rounds: what is reported within the rows in the first round is passed
		// on between the rows in the second.
		for range 2 {
			for _, self := range names {
				for _, p := range exchanges[self].peers {
					exchanges[p.name].applyReport(exchanges[self].buildReport(p), exchanges[p.name].peers[self])
				}
			}
		}
		for i, self := range names {
			table := exchanges[self].opts.Table
			assert.Equal(t, table.Load(0), Load{Running: n - 1, PendingTokens: 10 * (n - 1), HeldTokens: 100 * (n - 1)}, "instance %s of %d", self, n)
			otherTarget := uint64(i+1)%uint64(n) + 1
			assert.Equal(t, table.Load(otherTarget).Running, 1, "instance %s of %d", self, n)
			if i > 0 {
				assert.Check(t, sources[self].placedCounts[largePart] >= 1, "instance %s of %d", self, n)
			}
			assert.Check(t, sources[self].placedCounts[smallPart] <= 1, "instance %s of %d", self, n)
		}
	}
}

// TestReportTTLCoversTwoIntervals checks that a report stays valid until the
// next one is due, with one to spare, in fleets of today's sizes and of the
// target size.
func TestReportTTLCoversTwoIntervals(t *testing.T) {
	for _, n := range []int{7, 88, 380} {
		names := instanceNames(n)
		e := New(Options{Self: names[0], Table: NewTable()})
		g := newGrid(names[0], names)
		for _, p := range g.row {
			e.peers[p] = &peer{name: p}
		}
		for _, p := range g.column {
			e.peers[p] = &peer{name: p, inColumn: true}
		}
		assert.Check(t, e.currentReportTTL() >= minReportTTL)
		for _, p := range e.peers {
			assert.Check(t, e.currentReportTTL() >= 2*e.interval(p), "%d instances", n)
		}
	}
}
