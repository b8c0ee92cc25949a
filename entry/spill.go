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
	spillInterval = time.Second
	spillTimeout  = 500 * time.Millisecond
	// spillPolls bounds the endpoints of other data centres that are asked at
	// each interval for one service.
	spillPolls = 8
)

// runSpill asks endpoints of other data centres for their reports while a
// model service has no usable endpoint in the own one, so that its requests go
// there instead of being refused.
func (f *feed) runSpill(ctx context.Context) error {
	return timer.Every(ctx, spillInterval, func() { f.spill(ctx) })
}

func (f *feed) spill(ctx context.Context) {
	state := f.state()
	if state == nil {
		return
	}
	for name, svc := range state.Services {
		if svc.Kind == note.KindModel && !f.servesLocally(state, name) {
			f.pollRemote(ctx, state, name)
		}
	}
}

// servesLocally reports whether a service has a usable endpoint in the own data
// centre.
func (f *feed) servesLocally(state *note.State, service string) bool {
	for name, e := range state.Endpoints {
		if e.Service == service && e.DataCentre == f.local && f.view.Usable(name) {
			return true
		}
	}
	return false
}

func (f *feed) pollRemote(ctx context.Context, state *note.State, service string) {
	var remote []note.Endpoint
	for _, e := range state.Endpoints {
		if e.Service == service && e.DataCentre != f.local {
			remote = append(remote, e)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	for _, e := range remote[:min(spillPolls, len(remote))] {
		f.pollOne(ctx, e)
	}
}

func (f *feed) pollOne(ctx context.Context, e note.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, spillTimeout)
	defer cancel()
	metric.Counter("spill_polls_total").Inc(1)
	if r, err := f.engine(e).Report(ctx); err == nil {
		f.services.ObserveReport(e.Service, e.Name, r, time.Now())
	}
}
