package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSignalSentDuringSuspension checks from when on a stop counts whose signal is noticed after
// the process was suspended.
func TestSignalSentDuringSuspension(t *testing.T) {
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	for _, c := range []struct {
		name     string
		alive    []time.Duration // times at which the process is recorded to run
		noticed  time.Duration
		wantSent time.Duration
	}{
		{"not suspended", []time.Duration{100 * time.Millisecond}, 150 * time.Millisecond, 150 * time.Millisecond},
		{"slow", nil, 400 * time.Millisecond, 400 * time.Millisecond},
		{"suspended", []time.Duration{100 * time.Millisecond}, 4 * time.Second, 100 * time.Millisecond},
		{"recorded before", []time.Duration{100 * time.Millisecond, 4 * time.Second}, 4010 * time.Millisecond, 100 * time.Millisecond},
		{"long before", []time.Duration{100 * time.Millisecond, 4 * time.Second, 4100 * time.Millisecond}, 4150 * time.Millisecond, 4150 * time.Millisecond},
	} {
		w := newSuspensionWatch(began)
		for _, d := range c.alive {
			w.record(at(d))
		}
		assert.Equal(t, w.signalSent(at(c.noticed)).Sub(began), c.wantSent, c.name)
	}
}
