package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewWeightsAreLoadedAfterDelay sets versions faster than the delay passes: each is loadable in
// its turn, and none before.
func TestNewWeightsAreLoadedAfterDelay(t *testing.T) {
	const delay = 2 * time.Second
	k, start := NewKnownVersions(), time.Unix(100, 0)
	for second, want := range []int64{0, 0, 1, 2, 3, 4, 5} {
		wanted := newSnapshot(int64(second + 1))
		s := k.Loadable(wanted, delay, start.Add(time.Duration(second)*time.Second))
		assert.Equal(t, s.WantedWeights["m"], want)
		assert.Equal(t, wanted.WantedWeights["m"], int64(second+1), "the snapshot itself stays as it is")
	}
	assert.Equal(t, k.Loadable(newSnapshot(7), delay, start.Add(time.Minute)).WantedWeights["m"], int64(7))
	assert.Equal(t, len(k.byModel["m"]), 1)
}

// TestKnownVersionsAreObservedBeforeLead has an instance know a version before it leads: it does not
// wait for the delay once more.
func TestKnownVersionsAreObservedBeforeLead(t *testing.T) {
	k, now := NewKnownVersions(), time.Unix(100, 0)
	k.Observe(newSnapshot(2), now)
	k.Observe(newSnapshot(2), now.Add(time.Second))
	assert.Equal(t, k.Loadable(newSnapshot(2), 2*time.Second, now.Add(2*time.Second)).WantedWeights["m"], int64(2))
}

// TestKnownVersionsAreBounded has an instance that does not lead observe many versions.
func TestKnownVersionsAreBounded(t *testing.T) {
	k, now := NewKnownVersions(), time.Unix(100, 0)
	for version := range int64(100) {
		k.Observe(newSnapshot(version+1), now)
	}
	assert.Equal(t, len(k.byModel["m"]), maxKnownVersions)
	assert.Equal(t, k.Loadable(newSnapshot(100), time.Second, now.Add(time.Second)).WantedWeights["m"], int64(100))
}
