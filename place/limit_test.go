package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

func instanceNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%03d", i))
	}
	return names
}

func TestShareHolders(t *testing.T) {
	for _, c := range []struct {
		instances   int
		perSecond   float64
		wantHolders int
	}{
		{7, 3.7, 3}, {7, 30, 7}, {7, 0.5, 1}, {7, 0, 1}, {1, 3, 1}, {380, 12, 12},
	} {
		names := instanceNames(c.instances)
		holding := 0
		for _, self := range names {
			holders, holds := ShareHolders(99, names, self, c.perSecond)
			assert.Equal(t, holders, c.wantHolders)
			if holds {
				holding++
			}
		}
		assert.Equal(t, holding, c.wantHolders, "%d instances, %v a second", c.instances, c.perSecond)
	}
	_, holds := ShareHolders(99, nil, "unregistered", 5)
	assert.Check(t, !holds)
}

// TestFuzzSharesKeepLimit has instances send whenever their shares admit it, while
// instances join and leave, which each one hears of at another time. In no window of 4 s
// may more arrive than the users allow: one and a half times the limit, and 5 more.
func TestFuzzSharesKeepLimit(t *testing.T) {
	const (
		step     = 20 * time.Millisecond
		window   = 4 * time.Second
		duration = 12 * time.Second
		maxLag   = time.Second // until an instance has heard of a change
	)
	fuzztest.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 12).Draw(t, "limit")
		all := instanceNames(rapid.IntRange(1, 80).Draw(t, "instances"))
		changeEvery := time.Duration(rapid.IntRange(500, 4000).Draw(t, "change")) * time.Millisecond
		now := time.Unix(100, 0)
		members := slices.Clone(all)
		lags, shares := map[string]time.Duration{}, map[string]*LimitShare{}
		set := func(name string) {
			holders, holds := ShareHolders(7, members, name, perSecond)
			share := 0.0
			if holds {
				share = perSecond / float64(holders)
			}
			shares[name].Set(share, now)
		}
		for _, name := range all {
			shares[name] = &LimitShare{}
			shares[name].Heard(now)
			set(name)
			lags[name] = time.Duration(rapid.IntRange(0, int(maxLag)).Draw(t, "lag"))
		}
		var sent []time.Time
		changedAt := now
		for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
			now = now.Add(step)
			if now.Sub(changedAt) >= changeEvery+maxLag {
				changedAt = now
				i := rapid.IntRange(0, len(all)-1).Draw(t, "changing")
				if at := slices.Index(members, all[i]); at >= 0 && len(members) > 1 {
					members = slices.Delete(members, at, at+1)
				} else if at < 0 {
					members = append(members, all[i])
				}
			}
			for _, name := range all {
				if now.Sub(changedAt) >= lags[name] && now.Sub(changedAt) < lags[name]+step {
					set(name)
				}
				for shares[name].Admits(now) {
					shares[name].Take(now)
					shares[name].Heard(now)
					sent = append(sent, now)
				}
			}
		}
		bound := int(1.5*perSecond*window.Seconds()) + 5
		for i := range sent {
			if i+bound < len(sent) && sent[i+bound].Sub(sent[i]) < window {
				t.Fatalf("more than %d requests in %s, limit %.2f a second, %d instances", bound, window, perSecond, len(all))
			}
		}
		if len(all) == 1 {
			assert.Check(t, float64(len(sent)) >= 0.8*perSecond*duration.Seconds()-2, "%d requests: the limit is not used", len(sent))
		}
	})
}

// TestInstanceWithoutShareTriesAfterSilence checks that an instance without a share sends
// one request when nothing has been heard of the limit for long, and not before.
func TestInstanceWithoutShareTriesAfterSilence(t *testing.T) {
	now := time.Unix(100, 0)
	var l LimitShare
	l.Set(0, now)
	l.Heard(now)
	assert.Check(t, !l.Admits(now.Add(shareTrialInterval-1)))
	now = now.Add(shareTrialInterval)
	assert.Check(t, l.Admits(now))
	l.Take(now)
	assert.Check(t, !l.Admits(now.Add(time.Second)))
}
