package block

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/link"
)

func TestPlan(t *testing.T) {
	forecasts := map[string]link.Forecast{
		"fast": {Rate: 1000}, "slow": {Rate: 10}, "busy": {Rate: 1000, Wait: 10 * time.Second},
	}
	forecast := func(url string) (link.Forecast, bool) {
		f, ok := forecasts[url]
		return f, ok
	}
	blocks := func(urls ...string) []BlockLocation {
		var all []BlockLocation
		for _, u := range urls {
			all = append(all, BlockLocation{Store: u, Length: 100})
		}
		return all
	}
	for _, c := range []struct {
		name  string
		found []BlockLocation
		queue time.Duration
		bring int
		want  time.Duration
	}{
		{"nothing found", nil, 0, 0, 4 * time.Second},
		{"fast link", blocks("fast", "fast", "fast"), 0, 3, 1300 * time.Millisecond},
		{"slow link", blocks("slow", "slow", "slow"), 0, 0, 4 * time.Second},
		{"only the blocks on the fast link", blocks("fast", "fast", "slow"), 0, 2, 2200 * time.Millisecond},
		{"link wait is longer than the prefill", blocks("busy", "busy", "busy"), 0, 0, 4 * time.Second},
		{"waits while the engine is busy", blocks("busy", "busy", "busy"), 20 * time.Second, 3, 21 * time.Second},
		{"store is down", blocks("down"), 0, 0, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := PlanRequest{Pieces: 4, Found: c.found, PieceTime: time.Second, QueueTime: c.queue}
			got := NewPlanner(PlannerOptions{}).Plan(q, forecast)
			assert.Equal(t, got.BringBackCount, c.bring)
			assert.Equal(t, got.ExpectedTime, c.want)
			assert.Equal(t, got.RecomputeTime, c.queue+4*time.Second)
		})
	}
}

func TestRankOmitsStoresThatWouldEvictSoon(t *testing.T) {
	p := NewPlanner(PlannerOptions{})
	forecast := func(string) (link.Forecast, bool) { return link.Forecast{Rate: 1000}, true }
	stores := []StoreView{
		{URL: "full", Used: 95, Total: 100, Price: 2}, {URL: "half", Used: 50, Total: 100},
		{URL: "empty", Total: 100}, {URL: "down", Total: 100, Down: true},
	}
	assert.DeepEqual(t, p.Rank(1, stores, forecast), []string{"empty", "half"})
	assert.DeepEqual(t, p.Rank(3, stores, forecast), []string{"empty", "half", "full"})
}

func TestScoreWeighsWorthSizeAndSaving(t *testing.T) {
	p := NewPlanner(PlannerOptions{})
	v := BlockValue{Class: contract.Class{Name: "chat", Worth: 1}, SavedTime: time.Second, Bytes: 100}
	valuable, large, useless := v, v, v
	valuable.Class.Worth = 2
	large.Bytes = 200
	useless.BringBackTime = time.Minute
	base := p.Score(0.5, v)
	assert.Assert(t, p.Score(0.5, valuable) > base)
	assert.Assert(t, p.Score(0.5, large) < base)
	assert.Equal(t, p.Score(0.5, useless), 0.0)
}

func TestExportPriceAcceptsHighestScores(t *testing.T) {
	var p ExportPrice
	for range 3000 {
		p.Refused(1)
	}
	assert.Assert(t, !p.Accepts(1))
	assert.Assert(t, p.Accepts(5))
	for range 1000 {
		p.Exported()
	}
	assert.Assert(t, p.Accepts(1))
}

// BenchmarkPlan plans a prompt of 50 pieces whose blocks are all in one store.
func BenchmarkPlan(b *testing.B) {
	p := NewPlanner(PlannerOptions{})
	found := make([]BlockLocation, benchPieces)
	for i := range found {
		found[i] = BlockLocation{Store: "s", Length: 160 << 20}
	}
	forecast := func(string) (link.Forecast, bool) { return link.Forecast{Rate: 3e9}, true }
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(PlanRequest{Pieces: benchPieces, Found: found, PieceTime: 200 * time.Millisecond}, forecast)
	}
}
