package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestConfigurationsNeverGoBack(t *testing.T) {
	v := NewView()
	assert.Check(t, v.ApplyConfig(NewConfig(7, nil)))
	assert.Check(t, !v.ApplyConfig(NewConfig(5, nil)))
	assert.Check(t, !v.ApplyConfig(NewConfig(7, nil)))
	assert.Equal(t, v.Snapshot().Config.Version, int64(7))
	assert.Check(t, v.SetWantedWeights("m", 2, at(0)))
	assert.Check(t, !v.SetWantedWeights("m", 1, at(1)))
	assert.Equal(t, v.Snapshot().WantedSince["m"], at(0))
}

func TestEntriesThatLapsedWithTheStoreHaveTimeToReturn(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	v.PutEndpoint(&Endpoint{ID: "b", Service: "s"})
	v.MarkStoreUnreachable()
	assert.Check(t, v.MarkStoreReachable(at(1000)))
	v.RemoveEndpoint("a", at(1001))
	v.RemoveEndpoint("b", at(1001))
	v.ExpireLapsed(at(2000))
	assert.Equal(t, len(v.Snapshot().ByService["s"]), 2)
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s", StartMillis: 5})
	v.ExpireLapsed(at(1000).Add(lapseGrace))
	assert.Equal(t, len(v.Snapshot().ByService["s"]), 1)
	assert.Equal(t, v.Snapshot().Endpoints["a"].StartMillis, int64(5))
}

func TestAnEntryRemovedWhileTheStoreIsThereIsGoneAtOnce(t *testing.T) {
	v := NewView()
	v.PutEndpoint(&Endpoint{ID: "a", Service: "s"})
	v.RemoveEndpoint("a", at(0))
	assert.Equal(t, len(v.Snapshot().Endpoints), 0)
}

func TestConfirmationsCountFromTheirSending(t *testing.T) {
	v := NewView()
	assert.Check(t, v.ConfirmedAge(at(0)) > time.Hour)
	v.Confirm(at(500))
	v.Confirm(at(100)) // an answer that was overtaken
	assert.Equal(t, v.ConfirmedAge(at(700)), 200*time.Millisecond)
}

func TestMatchTakesTheLongestPrefixOfItsHost(t *testing.T) {
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
