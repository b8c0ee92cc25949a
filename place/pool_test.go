package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// freeEngines returns how many engines cost a prompt of the given size nothing, by half
// of the ranks.
func freeEngines(s *WorkSplit, promptTokens, engines int) (lower, upper int) {
	for rank := range engines {
		switch {
		case s.PoolCost(promptTokens, rank, engines) > 0:
		case rank < engines/2:
			lower++
		default:
			upper++
		}
	}
	return lower, upper
}

func TestWorkSplitDividesEnginesByWork(t *testing.T) {
	const light, heavy, engines = 800, 9000, 100
	for _, c := range []struct {
		name                     string
		lightPrompts, prefill    int // of each ten prompts; of each heavy one
		wantLight, wantTolerance int
	}{
		{"equal work", 5, 1000, 50, 5},
		{"mostly heavy work", 5, 9000, 15, 5}, // bounded by minPoolShare
		{"mostly light work", 9, 1000, 85, 8},
	} {
		var s WorkSplit
		for i := range 3000 {
			if i%10 < c.lightPrompts {
				s.Observe(light, 800, 40)
			} else {
				s.Observe(heavy, c.prefill, 0)
			}
		}
		lower, upper := freeEngines(&s, light, engines)
		got := lower + upper
		assert.Check(t, got >= c.wantLight-c.wantTolerance && got <= c.wantLight+c.wantTolerance, "%s: %d engines for light prompts", c.name, got)
		heavyLower, heavyUpper := freeEngines(&s, heavy, engines)
		assert.Equal(t, got+heavyLower+heavyUpper, engines, c.name)
	}
}

func TestWorkSplitNeedsBothKindsAndEngines(t *testing.T) {
	var s WorkSplit
	assert.Equal(t, s.PoolCost(9000, 0, 100), 0)
	s.Observe(9000, 9000, 10)
	assert.Equal(t, s.PoolCost(9000, 0, 100), 0)
	s.Observe(800, 800, 10)
	assert.Equal(t, s.PoolCost(9000, 0, 100), outsidePoolCost)
	assert.Equal(t, s.PoolCost(9000, 0, minPooledEngines-1), 0)
}

func TestBacklog(t *testing.T) {
	var b Backlog
	now := time.Unix(100, 0)
	assert.Equal(t, b.Remaining(now), time.Duration(0))
	b.Add(300*time.Millisecond, now)
	b.Add(200*time.Millisecond, now.Add(100*time.Millisecond))
	assert.Equal(t, b.Remaining(now.Add(100*time.Millisecond)), 400*time.Millisecond)
	assert.Equal(t, b.Remaining(now.Add(time.Second)), time.Duration(0))
	b.Add(100*time.Millisecond, now.Add(time.Second))
	assert.Equal(t, b.Remaining(now.Add(time.Second)), 100*time.Millisecond)
}
