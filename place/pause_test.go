package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

// TestNothingIsSentDuringPauses draws pauses, requests and their results, and compares
// with the longest pause that was asked for.
func TestNothingIsSentDuringPauses(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		var p Pause
		now := time.Unix(1000, 0)
		var longest time.Time
		resuming := false
		t.Repeat(map[string]func(*rapid.T){
			"pause": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				spread := time.Duration(rapid.IntRange(0, 250).Draw(t, "spread")) * time.Millisecond
				p.Extend(now, d, spread)
				if until := now.Add(d); until.After(longest) {
					longest = until
				}
				resuming = true
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"executed": func(*rapid.T) {
				p.RecordExecuted(now)
				resuming = resuming && p.Active(now)
			},
			"": func(t *rapid.T) {
				if now.Before(longest) && (p.Admits(now, 0) || p.Left(now) < longest.Sub(now)) {
					t.Fatal("a request would be sent during a pause")
				}
				if !p.Active(now) && (!p.Admits(now, 0) || p.Admits(now, 1) == resuming) {
					t.Fatal("after a pause, one request at a time may be sent until one is executed")
				}
			},
		})
	})
}

func TestEndpointReturnsGraduallyAfterPause(t *testing.T) {
	var p Pause
	now := time.Unix(1000, 0)
	p.Extend(now, time.Second, 0)
	assert.Check(t, !p.Admits(now.Add(time.Second-1), 0))
	now = now.Add(time.Second)
	assert.Check(t, p.Admits(now, 0) && !p.Admits(now, 1))
	p.RecordExecuted(now)
	assert.Check(t, p.Admits(now, 100))
}
