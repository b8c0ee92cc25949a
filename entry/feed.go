package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"redwingknot/endpoint"
	"redwingknot/engine"
	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/note"
	"redwingknot/serve"
)

// Intervals of the feed.
const (
	feedInterval   = 250 * time.Millisecond
	eventsInterval = 500 * time.Millisecond
	eventsTimeout  = 400 * time.Millisecond
)

// The bytes that cache events may take, and about what they take.
const (
	eventBytesPerSecond = 1500
	eventBurstBytes     = 256 << 10
	eventOverheadBytes  = 300
	eventBytes          = 110
)

// feed passes what the view knows of endpoints, and the cache events of
// engines, to the routers. One goroutine runs each of its loops.
type feed struct {
	state    func() *note.State
	view     *endpoint.View
	services *serve.Services
	engine   func(e note.Endpoint) engine.Engine
	local    string               // own data centre
	seen     map[string]time.Time // of the last report passed on
	events   map[string]uint64    // last event passed on
	budget   *rate.Limiter        // bytes of events
	turn     int                  // engine whose events were read last
}

// runReports passes new reports on until ctx ends.
func (f *feed) runReports(ctx context.Context) error {
	return timer.Every(ctx, feedInterval, func() { f.reports(time.Now()) })
}

func (f *feed) reports(now time.Time) {
	state := f.state()
	if state == nil {
		return
	}
	for name, e := range state.Endpoints {
		if e.DataCentre != f.local {
			continue
		}
		if r, ok := f.view.Report(name); ok && r.At.After(f.seen[name]) {
			f.seen[name] = r.At
			f.services.ObserveReport(e.Service, name, r, now)
		}
		if svc := f.services.Get(e.Service); svc != nil {
			svc.Router.SetLeaving(name, f.view.Leaving(name))
		}
	}
}

// runEvents reads the cache events of local engines until ctx ends.
func (f *feed) runEvents(ctx context.Context) error {
	return timer.Every(ctx, eventsInterval, func() { f.readEvents(ctx, time.Now()) })
}

// readEvents reads the events of local engines in turn, as far as the byte
// budget goes. With many busy engines the routers rely on their own dispatches.
func (f *feed) readEvents(ctx context.Context, now time.Time) {
	state := f.state()
	if state == nil {
		return
	}
	engines := f.localEngines(state)
	for range engines {
		if ctx.Err() != nil || !f.budget.AllowN(now, eventOverheadBytes) {
			return
		}
		f.turn++
		size := f.readEngine(ctx, engines[f.turn%len(engines)])
		f.budget.ReserveN(now, min(size, eventBurstBytes))
	}
}

func (f *feed) localEngines(state *note.State) []note.Endpoint {
	var list []note.Endpoint
	for _, e := range state.Endpoints {
		if e.DataCentre == f.local && state.Services[e.Service].Kind == note.KindModel {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b note.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// readEngine passes an engine's new events on and returns about how many bytes
// they took, beyond the overhead of a read.
func (f *feed) readEngine(ctx context.Context, e note.Endpoint) int {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	batch, err := f.engine(e).Events(ctx, f.events[e.Name])
	if err != nil {
		metric.Counter("cache_events_failed_total").Inc(1)
		return 0
	}
	f.events[e.Name] = batch.Last
	if svc := f.services.Get(e.Service); svc != nil {
		svc.RecordEventsRead(e.Name, time.Now())
		svc.Router.ApplyCacheEvents(e.Name, batch)
	}
	return eventBytes * len(batch.List)
}
