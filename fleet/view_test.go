package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// atMillis returns the time that is ms milliseconds after a fixed start.
func atMillis(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestConfigAndWeightVersionsNeverDecrease(t *testing.T) {
	v := NewView()
	assert.Check(t, v.ApplyConfig(NewConfig(7, nil)))
	assert.Check(t, !v.ApplyConfig(NewConfig(5, nil)))
	assert.Check(t, !v.ApplyConfig(NewConfig(7, nil)))
	assert.Equal(t, v.Snapshot().Config.Version, int64(7))
	assert.Check(t, v.SetWantedWeights("m", 2, atMillis(0)))
	assert.Check(t, !v.SetWantedWeights("m", 1, atMillis(1)))
	since, outdated := v.Snapshot().OutdatedSince("m", 1)
	assert.Check(t, outdated && since.Equal(atMillis(0)), "%v", since)
}

func TestEntriesLapsedDuringStoreOutageGetGracePeriod(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	v.PutEndpoint(&Endpoint{ID: "b", Service: "s"})
	v.MarkStoreUnreachable()
	assert.Check(t, v.MarkStoreReachable(atMillis(1000)))
	v.RemoveEndpoint("a", atMillis(1001))
	v.RemoveEndpoint("b", atMillis(1001))
	v.ExpireLapsed(atMillis(2000))
	assert.Equal(t, len(v.Snapshot().ByService["s"]), 2)
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s", StartMillis: 5})
	v.ExpireLapsed(atMillis(1000).Add(LapseGracePeriod))
	assert.Equal(t, len(v.Snapshot().ByService["s"]), 1)
	assert.Equal(t, v.Snapshot().Endpoints["a"].StartMillis, int64(5))
}

func TestEntryIsRemovedAtOnceWhileStoreIsReachable(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	v.RemoveEndpoint("a", atMillis(0))
	assert.Equal(t, len(v.Snapshot().Endpoints), 0)
}

func TestConfirmedAgeCountsFromSendTime(t *testing.T) {
	v := NewView()
	assert.Check(t, v.ConfirmedAge(atMillis(0)) > time.Hour)
	v.Confirm(atMillis(500))
	v.Confirm(atMillis(100)) // answer to an older read that arrives late
	assert.Equal(t, v.ConfirmedAge(atMillis(700)), 200*time.Millisecond)
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	c := NewConfig(1, []*Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "g", PathPrefix: "/"},
	})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/bc": "short"} {
		assert.Equal(t, c.Match("h", path).Name, want)
	}
	assert.Check(t, c.Match("h", "/x") == nil)
	assert.Check(t, c.Match("none", "/a/x") == nil)
}

// TestLeavingEndpointGoesOnLeaving checks that an entry which comes back from an older copy
// of the metadata store does not make a leaving endpoint ready again, and that a new
// incarnation does.
func TestLeavingEndpointGoesOnLeaving(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s", StartMillis: 5, Leaving: true})
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s", StartMillis: 5})
	assert.Check(t, v.Snapshot().Endpoints["a"].Leaving)
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s", StartMillis: 6})
	assert.Check(t, !v.Snapshot().Endpoints["a"].Leaving)
}

func TestHasLeftUntilItRegisters(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	assert.Check(t, !v.HasLeft("a"))
	v.RemoveEndpoint("a", atMillis(0))
	assert.Check(t, v.HasLeft("a") && !v.HasLeft("b"))
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	assert.Check(t, !v.HasLeft("a"))
}

// TestEntriesMissingInRestoredStoreGetGracePeriod checks that endpoints which an older copy
// of the metadata store lacks are kept until they can have registered again.
func TestEntriesMissingInRestoredStoreGetGracePeriod(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	v.MarkStoreRestored(atMillis(1000))
	v.RemoveEndpoint("a", atMillis(1000))
	v.ExpireLapsed(atMillis(2000))
	assert.Equal(t, len(v.Snapshot().Endpoints), 1)
	v.ExpireLapsed(atMillis(1000).Add(LapseGracePeriod))
	assert.Equal(t, len(v.Snapshot().Endpoints), 0)
}
