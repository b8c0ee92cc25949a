package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/note"
)

func TestDoubtsCache(t *testing.T) {
	start := time.Unix(1000, 0)
	keys := []string{"first", "second"}
	for _, c := range []struct {
		name    string
		ran     time.Duration // before now; 0 for never
		events  time.Duration // before now; 0 for never
		doubted bool
	}{
		{"never run, no events", 0, 0, true},
		{"just run, no events", time.Second, 0, false},
		{"run within the time, events behind", chainTTL - time.Second, time.Hour, false},
		{"run long ago, events behind", 2 * chainTTL, time.Hour, true},
		{"run long ago, events current", time.Hour, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewServices(ServicesOptions{}).newService(note.Service{Name: "llm", Kind: note.KindModel}, 1)
			if c.ran > 0 {
				s.ran(keys, "e", start.Add(-c.ran))
			}
			if c.events > 0 {
				s.RecordEventsRead("e", start.Add(-c.events))
			}
			assert.Equal(t, s.doubtsCache(keys, "e", start), c.doubted)
			assert.Assert(t, c.events == time.Second || s.doubtsCache(keys, "other", start))
		})
	}
}
