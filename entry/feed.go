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

// Intervals and timeout of the feed.
const (
	reportInterval = 250 * time.Millisecond // between two passes over the reports
	eventInterval  = 500 * time.Millisecond // between two rounds of reading cache events
	eventTimeout   = 400 * time.Millisecond // of one read of an engine's cache events
)

// The limit on the bytes that this instance reads as cache events, and the approximate
// size of a read and of an event.
const (
	eventBytesPerSecond = 1500
	eventBurstBytes     = 256 << 10
	readOverheadBytes   = 300 // of a read, without its events
	bytesPerEvent       = 110
)

// feed passes the endpoint view's reports and the engines' cache events to the routers.
// Each of its loops is run by one goroutine.
type feed struct {
	state        func() *note.State
	view         *endpoint.View
	services     *serve.Services
	engineClient func(e note.Endpoint) engine.Engine
	dataCentre   string               // data centre of this instance
	lastReportAt map[string]time.Time // time of the last report passed on, by endpoint
	lastEventSeq map[string]uint64    // sequence number of the last event passed on, by endpoint
	byteBudget   *rate.Limiter        // bytes read as events
	engineIndex  int                  // count of reads; modulo the number of engines, the index of the last one read
}

// runReports passes new reports of endpoints to the routers until ctx ends.
func (f *feed) runReports(ctx context.Context) error {
	return timer.Every(ctx, reportInterval, func() { f.passReports(time.Now()) })
}

// passReports passes to the routers the reports of local endpoints that are newer than
// the last ones passed, and whether the endpoints are leaving.
func (f *feed) passReports(now time.Time) {
	state := f.state()
	if state == nil {
		return
	}
	for name, e := range state.Endpoints {
		if e.DataCentre != f.dataCentre {
			continue
		}
		if r, ok := f.view.Report(name); ok && r.At.After(f.lastReportAt[name]) {
			f.lastReportAt[name] = r.At
			f.services.ObserveReport(e.Service, name, r, now)
		}
		if svc := f.services.Get(e.Service); svc != nil {
			svc.Router.SetLeaving(name, f.view.Leaving(name))
		}
	}
}

// runEvents reads the cache events of local engines until ctx ends.
func (f *feed) runEvents(ctx context.Context) error {
	return timer.Every(ctx, eventInterval, func() { f.readEvents(ctx, time.Now()) })
}

// readEvents reads the events of local engines in turn until all were read or the byte
// budget is spent. With many busy engines the budget does not suffice to follow all
// caches; the routers then rely on their own record of dispatched requests.
func (f *feed) readEvents(ctx context.Context, now time.Time) {
	state := f.state()
	if state == nil {
		return
	}
	engines := f.localEngines(state)
	for range engines {
		if ctx.Err() != nil || !f.byteBudget.AllowN(now, readOverheadBytes) {
			return
		}
		f.engineIndex++
		size := f.readEngineEvents(ctx, engines[f.engineIndex%len(engines)])
		f.byteBudget.ReserveN(now, min(size, eventBurstBytes))
	}
}

// localEngines returns the endpoints of model services in this data centre, sorted by
// name.
func (f *feed) localEngines(state *note.State) []note.Endpoint {
	var list []note.Endpoint
	for _, e := range state.Endpoints {
		if e.DataCentre == f.dataCentre && state.Services[e.Service].Kind == note.KindModel {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b note.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// readEngineEvents passes an engine's new events to the router of its service. It
// returns the approximate size of the events in bytes, without the overhead of a read.
func (f *feed) readEngineEvents(ctx context.Context, e note.Endpoint) int {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	batch, err := f.engineClient(e).Events(ctx, f.lastEventSeq[e.Name])
	if err != nil {
		metric.Counter("cache_events_failed_total").Inc(1)
		return 0
	}
	f.lastEventSeq[e.Name] = batch.Last
	if svc := f.services.Get(e.Service); svc != nil {
		svc.RecordEventsRead(e.Name, time.Now())
		svc.Router.ApplyCacheEvents(e.Name, batch)
	}
	return bytesPerEvent * len(batch.List)
}
