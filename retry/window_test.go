package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

var windowConfig = WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Slack: 54}

// TestWindowBoundsRetriesInEverySpan lets several instances retry whenever Take
// allows it, and checks the number of their retries in every sliding span against
// the number of requests.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		start := time.Unix(5000, 0)
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(windowConfig, start)
		}
		type event struct {
			at      time.Time
			isRetry bool
		}
		var events []event
		now := start
		for range rapid.IntRange(50, 600).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond)
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "at")]
			w.RecordRequest(now)
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if w.Take(now, instances) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			requests, retries := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) >= windowConfig.Span {
					break
				}
				if e.isRetry {
					retries++
				} else {
					requests++
				}
			}
			// A retry is allowed by the requests of the span that ends with it, so the
			// first retries of this span may be due to requests of the span before it.
			requestsBefore := 0
			for _, e := range events[:i] {
				if !e.isRetry && events[i].at.Sub(e.at) < windowConfig.Span {
					requestsBefore++
				}
			}
			allowed := windowConfig.Ratio*float64(max(requests, requestsBefore)) + windowConfig.Slack
			if float64(retries) > allowed {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestWindowWithholdsSlackInFirstSpan(t *testing.T) {
	start := time.Unix(5000, 0)
	w := NewWindow(windowConfig, start)
	assert.Check(t, !w.Take(start, 1))
	assert.Check(t, w.Take(start.Add(windowConfig.Span), 1))
}
