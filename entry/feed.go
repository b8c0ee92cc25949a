package entry

import (
	"context"
	"time"

	"redwingknot/endpoint"
	"redwingknot/engine"
	"redwingknot/metric"
	"redwingknot/note"
	"redwingknot/serve"
)

// Intervals of the feed.
const (
	feedInterval   = 100 * time.Millisecond
	eventsInterval = 500 * time.Millisecond
	eventsTimeout  = 400 * time.Millisecond
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
}

// runReports passes new reports on until ctx ends.
func (f *feed) runReports(ctx context.Context) error {
	return every(ctx, feedInterval, func() { f.reports(time.Now()) })
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
			f.services.Observe(e.Service, name, r, now)
		}
		if svc := f.services.Get(e.Service); svc != nil {
			svc.Router.SetLeaving(name, f.view.Leaving(name))
		}
	}
}

// every calls do at each interval until ctx ends.
func every(ctx context.Context, d time.Duration, do func()) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			do()
		}
	}
}

// runEvents reads the cache events of local engines until ctx ends.
func (f *feed) runEvents(ctx context.Context) error {
	return every(ctx, eventsInterval, func() { f.readEvents(ctx) })
}

func (f *feed) readEvents(ctx context.Context) {
	state := f.state()
	if state == nil {
		return
	}
	for _, e := range state.Endpoints {
		if e.DataCentre == f.local && state.Services[e.Service].Kind == note.KindModel {
			f.readEngine(ctx, e)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (f *feed) readEngine(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	batch, err := f.engine(e).Events(ctx, f.events[e.Name])
	if err != nil {
		metric.Counter("cache_events_failed_total").Inc(1)
		return
	}
	f.events[e.Name] = batch.Last
	if svc := f.services.Get(e.Service); svc != nil && (batch.Gap || len(batch.List) > 0) {
		svc.Router.CacheEvents(e.Name, batch)
	}
}
