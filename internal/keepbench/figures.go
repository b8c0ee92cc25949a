package keepbench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures holds the measurements of a run after its warm-up.
type Figures struct {
	P50, P95, P99 time.Duration // time to first token of returning prompts
	Recomputed    float64       // share of the pieces of returning prompts that were computed
	LinkUse       float64       // bytes moved as a share of what the links could carry
	Worth         float64       // share of the worth of returning prompts whose first token was in time
	Prompts       int64         // number of returning prompts answered
}

// String returns the figures as a table row.
func (f Figures) String() string {
	return fmt.Sprintf("%7.2f %7.2f %7.2f  %5.1f%%  %5.1f%%  %5.1f%%  %6d",
		f.P50.Seconds(), f.P95.Seconds(), f.P99.Seconds(), 100*f.Recomputed, 100*f.LinkUse, 100*f.Worth, f.Prompts)
}

// recorder accumulates the measurements of returning prompts that arrive after the
// warm-up, and the bytes moved after it.
type recorder struct {
	firstTokenTimes             *hdrhistogram.Histogram
	promptPieces, broughtPieces int
	offeredWorth, servedWorth   float64
	movedBytes                  float64
}

// recordPieces records how many pieces of the prompt were brought back.
func (r *recorder) recordPieces(sim *simulation, s *session, began time.Time, brought int) {
	if s.answers == 0 || began.Before(epoch.Add(sim.deployment.WarmUp)) {
		return
	}
	r.promptPieces += s.pieces
	r.broughtPieces += brought
}

// recordFirstToken records the time to first token of a prompt sent at began.
func (r *recorder) recordFirstToken(sim *simulation, s *session, began time.Time) {
	if s.answers == 0 || began.Before(epoch.Add(sim.deployment.WarmUp)) {
		return
	}
	if r.firstTokenTimes == nil {
		r.firstTokenTimes = hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3)
	}
	took := sim.now.Sub(began)
	// No error is possible: every time within a run is inside the histogram's bounds.
	_ = r.firstTokenTimes.RecordValue(max(took.Milliseconds(), 1))
	r.offeredWorth += s.kind.Class.Worth
	if took <= s.kind.Class.FirstIn {
		r.servedWorth += s.kind.Class.Worth
	}
}

// figures returns the measurements so far, or zero Figures if there are none.
func (sim *simulation) figures() Figures {
	r := &sim.recorder
	if r.firstTokenTimes == nil {
		return Figures{}
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.firstTokenTimes.ValueAtQuantile(q)) * time.Millisecond
	}
	linkCapacity := float64(sim.deployment.LinkRate) * (1 - sim.deployment.LiveShare) * float64(sim.deployment.Stores) * sim.deployment.MeasuredTime.Seconds()
	return Figures{
		P50: quantile(50), P95: quantile(95), P99: quantile(99),
		Recomputed: 1 - float64(r.broughtPieces)/float64(max(r.promptPieces, 1)),
		LinkUse:    r.movedBytes / linkCapacity,
		Worth:      r.servedWorth / max(r.offeredWorth, 1),
		Prompts:    r.firstTokenTimes.TotalCount(),
	}
}
