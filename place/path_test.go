package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPathDetour(t *testing.T) {
	now := time.Unix(100, 0)
	var p Path
	assert.Check(t, !p.RecordDirect(), "no detour to end")
	assert.Check(t, p.RecordDetour(now) && p.Detour())
	assert.Check(t, !p.RecordDetour(now), "it has begun before")
	assert.Check(t, !p.TrialDue(now))
	now = now.Add(directTrialInterval)
	assert.Check(t, p.TrialDue(now))
	assert.Check(t, !p.TrialDue(now), "one trial an interval")
	assert.Check(t, p.RecordDirect() && !p.Detour())
	assert.Check(t, !p.TrialDue(now.Add(time.Hour)), "no trial without a detour")
}
