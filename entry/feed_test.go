package entry

import (
	"context"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/note"
	"redwingknot/serve"
)

// fakeEngine is an engine that returns eventsPerRead events on each read and counts the
// reads.
type fakeEngine struct {
	engine.Engine
	eventsPerRead int
	reads         *int
}

func (e fakeEngine) Events(_ context.Context, after uint64) (engine.Events, error) {
	*e.reads++
	return engine.Events{Epoch: "1", Last: after + uint64(e.eventsPerRead), List: make([]engine.Event, e.eventsPerRead)}, nil
}

// TestEventsStayWithinTheByteRate checks that reading cache events for ten minutes
// stays within the byte rate. The largest number of engines is that of the largest data
// centre. Without the budget the bytes read would grow with the engines and their
// events.
func TestEventsStayWithinTheByteRate(t *testing.T) {
	const window = 10 * time.Minute
	for _, c := range []struct{ engines, events int }{{4, 0}, {77, 0}, {77, 100}, {154, 4096}} {
		reads := 0
		state := &note.State{
			Services:  map[string]note.Service{"llm": {Name: "llm", Kind: note.KindModel}},
			Endpoints: map[string]note.Endpoint{},
		}
		for i := range c.engines {
			name := string(rune('a'+i%26)) + string(rune('a'+i/26))
			state.Endpoints[name] = note.Endpoint{Name: name, DataCentre: "dc", Service: "llm"}
		}
		f := &feed{
			state: func() *note.State { return state }, services: serve.NewServices(serve.ServicesOptions{}), dataCentre: "dc",
			engineClient: func(note.Endpoint) engine.Engine { return fakeEngine{eventsPerRead: c.events, reads: &reads} },
			lastEventSeq: map[string]uint64{}, byteBudget: rate.NewLimiter(eventBytesPerSecond, eventBurstBytes),
		}
		start := time.Unix(0, 0)
		for now := start; now.Before(start.Add(window)); now = now.Add(eventInterval) {
			f.readEvents(t.Context(), now)
		}
		size := readOverheadBytes + min(c.events*bytesPerEvent, eventBurstBytes)
		allowed := eventBurstBytes + size + eventBytesPerSecond*int(window.Seconds())
		assert.Assert(t, reads*size <= allowed, "%d engines, %d events: %d reads", c.engines, c.events, reads)
		assert.Assert(t, reads > 0)
	}
}
