package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

var windowConfig = WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Slack: 54}

// TestWindowHoldsInEverySpan compares instances that repeat whenever they may
// with a count over every sliding span.
func TestWindowHoldsInEverySpan(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		start := time.Unix(5000, 0)
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(windowConfig, start)
		}
		type arrival struct {
			at     time.Time
			repeat bool
		}
		var seen []arrival
		now := start
		for range rapid.IntRange(50, 600).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond)
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "at")]
			w.RecordRequest(now)
			seen = append(seen, arrival{now, false})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if w.Take(now, instances) {
					seen = append(seen, arrival{now, true})
				}
			}
		}
		for i := range seen {
			requests, repeats := 0, 0
			for _, a := range seen[i:] {
				if a.at.Sub(seen[i].at) >= windowConfig.Span {
					break
				}
				if a.repeat {
					repeats++
				} else {
					requests++
				}
			}
			before := 0
			for _, a := range seen[:i] {
				if !a.repeat && seen[i].at.Sub(a.at) < windowConfig.Span {
					before++
				}
			}
			allowed := windowConfig.Ratio*float64(max(requests, before)) + windowConfig.Slack
			if float64(repeats) > allowed {
				t.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

func TestWindowSpendsNoSlackAfterAStart(t *testing.T) {
	start := time.Unix(5000, 0)
	w := NewWindow(windowConfig, start)
	assert.Check(t, !w.Take(start, 1))
	assert.Check(t, w.Take(start.Add(windowConfig.Span), 1))
}
