package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/note"
)

func TestCacheUncertain(t *testing.T) {
	start := time.Unix(1000, 0)
	keys := []string{"first", "second"}
	for _, c := range []struct {
		name        string
		sinceRun    time.Duration // 0 if never run
		sinceEvents time.Duration // 0 if events were never read
		uncertain   bool
	}{
		{"never run, no events", 0, 0, true},
		{"just run, no events", time.Second, 0, false},
		{"run within chainTTL, events outdated", chainTTL - time.Second, time.Hour, false},
		{"run long ago, events outdated", 2 * chainTTL, time.Hour, true},
		{"run long ago, events up to date", time.Hour, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewServices(ServicesOptions{}).newService(note.Service{Name: "llm", Kind: note.KindModel}, 1)
			if c.sinceRun > 0 {
				s.recordRun(keys, "e", start.Add(-c.sinceRun))
			}
			if c.sinceEvents > 0 {
				s.RecordEventsRead("e", start.Add(-c.sinceEvents))
			}
			assert.Equal(t, s.cacheUncertain(keys, "e", start), c.uncertain)
			assert.Assert(t, c.sinceEvents == time.Second || s.cacheUncertain(keys, "other", start))
		})
	}
}
