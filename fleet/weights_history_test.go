package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestVersionIsOutdatedSinceFirstNewerOne guards against a version that counts as outdated only
// since the latest of several newer ones.
func TestVersionIsOutdatedSinceFirstNewerOne(t *testing.T) {
	v := NewView()
	v.SetWantedWeights("m", 2, atMillis(0))
	before := v.Snapshot()
	v.SetWantedWeights("m", 5, atMillis(4000)) // versions may be missed
	v.SetWantedWeights("other", 2, atMillis(5000))
	for _, c := range []struct {
		model    string
		version  int64
		outdated bool
		since    time.Time
	}{
		{"m", 1, true, atMillis(0)},
		{"m", 2, true, atMillis(4000)},
		{"m", 3, true, atMillis(4000)},
		{"m", 5, false, time.Time{}},
		{"m", 6, false, time.Time{}},
		{"other", 1, true, atMillis(5000)},
		{"unknown", 1, false, time.Time{}},
	} {
		since, outdated := v.Snapshot().OutdatedSince(c.model, c.version)
		assert.Check(t, outdated == c.outdated && since.Equal(c.since), "%+v: %v %v", c, since, outdated)
	}
	_, outdated := before.OutdatedSince("m", 2)
	assert.Check(t, !outdated, "a snapshot has changed")
}

// TestVersionNeverCountsAsOutdatedTooLate guards against a time that is lost when versions are
// set in quick succession.
func TestVersionNeverCountsAsOutdatedTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		set := map[int64]int{} // time of each version in ms
		version, ms := int64(1), 0
		for range rapid.IntRange(1, 3*maxWantedVersions).Draw(t, "versions") {
			version += rapid.Int64Range(1, 3).Draw(t, "step")
			ms += rapid.IntRange(0, 5000).Draw(t, "ms")
			v.SetWantedWeights("m", version, atMillis(ms))
			set[version] = ms
		}
		assert.Check(t, len(v.Snapshot().weightsHistory["m"]) <= maxWantedVersions)
		for old := int64(0); old < version; old++ {
			next := old + 1
			for ; !hasKey(set, next); next++ {
			}
			since, outdated := v.Snapshot().OutdatedSince("m", old)
			assert.Check(t, outdated && !since.After(atMillis(set[next])), "version %d: %v", old, since)
			if old >= version-maxWantedVersions/2 {
				assert.Check(t, since.Equal(atMillis(set[next])), "version %d: %v", old, since)
			}
		}
	})
}

func hasKey(m map[int64]int, key int64) bool {
	_, ok := m[key]
	return ok
}
