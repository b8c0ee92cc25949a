package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/note"
)

const (
	spillInterval = time.Second            // between two rounds of polls
	spillTimeout  = 500 * time.Millisecond // of one poll
	// maxSpillPolls bounds the endpoints of other data centres that are polled for one
	// service in each round.
	maxSpillPolls = 8
)

// runSpill polls the reports of endpoints in other data centres while a model service has
// no usable endpoint in this one. The router can then send the service's requests to those
// endpoints instead of refusing them.
func (f *feed) runSpill(ctx context.Context) error {
	return timer.Every(ctx, spillInterval, func() { f.pollForSpill(ctx) })
}

// pollForSpill does one round of polls for all model services without a usable local
// endpoint.
func (f *feed) pollForSpill(ctx context.Context) {
	state := f.state()
	if state == nil {
		return
	}
	for name, svc := range state.Services {
		if svc.Kind == note.KindModel && !f.hasUsableLocalEndpoint(state, name) {
			f.pollRemoteEndpoints(ctx, state, name)
		}
	}
}

// hasUsableLocalEndpoint reports whether a service has a usable endpoint in this data
// centre.
func (f *feed) hasUsableLocalEndpoint(state *note.State, service string) bool {
	for name, e := range state.Endpoints {
		if e.Service == service && e.DataCentre == f.dataCentre && f.view.Usable(name) {
			return true
		}
	}
	return false
}

// pollRemoteEndpoints polls up to maxSpillPolls random endpoints of the service in other
// data centres.
func (f *feed) pollRemoteEndpoints(ctx context.Context, state *note.State, service string) {
	var remote []note.Endpoint
	for _, e := range state.Endpoints {
		if e.Service == service && e.DataCentre != f.dataCentre {
			remote = append(remote, e)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	for _, e := range remote[:min(maxSpillPolls, len(remote))] {
		f.pollEndpoint(ctx, e)
	}
}

// pollEndpoint passes an endpoint's report to its router. A failed poll is ignored.
func (f *feed) pollEndpoint(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, spillTimeout)
	defer cancel()
	metric.Counter("spill_polls_total").Inc(1)
	if r, err := f.engineClient(e).Report(ctx); err == nil {
		f.services.ObserveReport(e.Service, e.Name, r, time.Now())
	}
}
