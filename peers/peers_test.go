package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTableSumsTheLastReports(t *testing.T) {
	table, now := NewTable(), time.Unix(100, 0)
	table.Put("a", map[uint64]Load{1: {Running: 2, Pending: 100}}, now)
	table.Put("b", map[uint64]Load{1: {Running: 1, Pending: 50}, 2: {Held: 7}}, now)
	assert.Equal(t, table.Others(1), Load{Running: 3, Pending: 150})
	table.Put("a", map[uint64]Load{1: {Running: 1}}, now.Add(reportTTL))
	assert.Equal(t, table.Others(1), Load{Running: 2, Pending: 50})
	table.Expire(now.Add(reportTTL + 1))
	assert.Equal(t, table.Others(1), Load{Running: 1})
	assert.Equal(t, table.Others(2), Load{})
	table.SetScale(4)
	assert.Equal(t, table.Others(1), Load{Running: 4})
}

func TestGroupsAreMutualAndBounded(t *testing.T) {
	for _, n := range []int{1, 2, 7, 11, 12, 88} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i%02d", i))
		}
		for _, self := range names {
			peers := group(self, names)
			assert.Equal(t, len(peers), min(n-1, maxGroup))
			assert.Check(t, !slices.Contains(peers, self))
			for _, p := range peers {
				assert.Check(t, slices.Contains(group(p, names), self))
			}
		}
	}
}
