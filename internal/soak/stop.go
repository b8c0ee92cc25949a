package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"redwingknot/internal/timer"
)

// stopPeriod is a planned stop of a gateway's process.
type stopPeriod struct {
	began time.Time // just after the first SIGTERM
	ended time.Time // exit of the process, zero until then
}

// recordStop records that the process has got SIGTERM. The caller holds mu.
func (g *gateway) recordStop() {
	if n := len(g.stops); n == 0 || !g.stops[n-1].ended.IsZero() {
		g.stops = append(g.stops, stopPeriod{began: time.Now()})
	}
}

// recordExit records that the process has exited. The caller holds mu.
func (g *gateway) recordExit() {
	if n := len(g.stops); n > 0 && g.stops[n-1].ended.IsZero() {
		g.stops[n-1].ended = time.Now()
	}
}

// stopping reports whether the gateway's process is stopping, and since when, and whether it had
// been ready before.
func (g *gateway) stopping() (since time.Time, wasReady, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.stops); n > 0 && g.stops[n-1].ended.IsZero() {
		return g.stops[n-1].began, g.wasReady, true
	}
	return time.Time{}, false, false
}

// stopBetween returns the first planned stop that was in progress at some moment between from
// and to.
func (g *gateway) stopBetween(from, to time.Time) (stopPeriod, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.stops {
		if !p.began.After(to) && (p.ended.IsZero() || !p.ended.Before(from)) {
			return p, true
		}
	}
	return stopPeriod{}, false
}

// stopAndRestart stops a gateway, calls during in the stop unless it is nil, and starts the
// gateway again when its process has exited. The argument of during sends a signal to that
// process.
func (r *run) stopAndRestart(g *gateway, during func(send func(syscall.Signal))) {
	exited := closedIfNil(g.signal(syscall.SIGTERM))
	killAt := time.Now().Add(graceTime)
	if during != nil {
		during(func(s syscall.Signal) { g.signalProcess(exited, s) })
	}
	select {
	case <-exited:
	case <-time.After(time.Until(killAt)):
		g.signalProcess(exited, syscall.SIGKILL)
		<-exited
	}
	r.restart(g)
}

const (
	// mostRolled bounds the gateways that one roll stops.
	mostRolled = 12
	// rollFraction is the fraction of a step's duration between the stops of a roll.
	rollFraction = 0.5
	// earlyFraction is the fraction of a step's duration after which a gateway that has just
	// started is stopped.
	earlyFraction = 0.25
)

// stopGateways carries out a step of stopKinds that stops gateways.
func (r *run) stopGateways(ctx context.Context, s Step) {
	g := r.gateways[s.Target%len(r.gateways)]
	wait := func(fraction float64) func() {
		return func() { timer.Sleep(ctx, time.Duration(fraction*float64(s.Duration))) }
	}
	switch s.Kind {
	case GatewaysRoll:
		r.rollGateways(s.Target, wait(rollFraction))
	case GatewayStopTwice:
		r.stopAndRestart(g, func(send func(syscall.Signal)) {
			wait(1)()
			send(syscall.SIGTERM)
		})
	case GatewayStopReload:
		if s.variant(0) {
			g.signal(syscall.SIGHUP)
		}
		r.stopAndRestart(g, func(send func(syscall.Signal)) {
			send(syscall.SIGHUP)
			wait(1)()
			send(syscall.SIGHUP)
		})
	case GatewayStopEarly:
		r.stopAndRestart(g, nil)
		wait(earlyFraction)()
		r.stopAndRestart(g, nil)
	}
}

// rollGateways stops gateways from first on one after the other, and leaves one. It returns when
// all have been started again, at once if another roll is in progress.
func (r *run) rollGateways(first int, between func()) {
	if !r.rollMu.TryLock() {
		return
	}
	defer r.rollMu.Unlock()
	var stops sync.WaitGroup
	defer stops.Wait()
	for n := range min(len(r.gateways)-1, mostRolled) {
		stops.Go(func() { r.stopAndRestart(r.gateways[(first+n)%len(r.gateways)], nil) })
		between()
	}
}
