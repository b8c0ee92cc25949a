package keepbench

import (
	"slices"
	"time"
)

// wire is a link that its transfers share evenly, each up to its own limit.
type wire struct {
	rate    float64 // bytes a second
	flows   []*flow
	at      time.Time
	version int // of the flows, to drop completions scheduled for older ones
}

// flow is a transfer under way.
type flow struct {
	left  float64
	limit float64 // bytes a second, 0 for none
	speed float64
	done  func()
}

// advance moves all flows on to now.
func (w *wire) advance(now time.Time) {
	elapsed := now.Sub(w.at).Seconds()
	w.at = now
	for _, f := range w.flows {
		f.left -= f.speed * elapsed
	}
}

// share gives each flow its speed: what slow ones leave goes to the others.
func (w *wire) share() {
	for _, f := range w.flows {
		f.speed = 0
	}
	open, left := len(w.flows), w.rate
	for open > 0 {
		even, before := left/float64(open), open
		for _, f := range w.flows {
			if f.speed == 0 && f.limit > 0 && f.limit <= even {
				f.speed = f.limit
				left -= f.limit
				open--
			}
		}
		if open < before {
			continue
		}
		for _, f := range w.flows {
			if f.speed == 0 {
				f.speed = even
			}
		}
		return
	}
}

// start adds a flow.
func (b *Simulation) start(w *wire, f *flow) {
	w.advance(b.now)
	w.flows = append(w.flows, f)
	b.reschedule(w)
}

// reschedule plans the next completion after a change.
func (b *Simulation) reschedule(w *wire) {
	w.version++
	w.share()
	var first *flow
	for _, f := range w.flows {
		if first == nil || f.left/f.speed < first.left/first.speed {
			first = f
		}
	}
	if first == nil {
		return
	}
	version := w.version
	b.schedule(b.now.Add(max(seconds(first.left/first.speed), 0)), func() {
		if w.version == version {
			b.complete(w, first)
		}
	})
}

func (b *Simulation) complete(w *wire, f *flow) {
	w.advance(b.now)
	w.flows = slices.DeleteFunc(w.flows, func(o *flow) bool { return o == f })
	b.reschedule(w)
	f.done()
}

// abort ends a flow early if it is still under way.
func (b *Simulation) abort(w *wire, f *flow) {
	if slices.Contains(w.flows, f) {
		b.complete(w, f)
	}
}
