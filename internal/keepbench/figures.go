package keepbench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the outcome of a run after the warm-up.
type Figures struct {
	P50, P95, P99 time.Duration // time to first token of returning prompts
	Recomputed    float64       // share of the pieces of returning prompts that were computed
	LinkUse       float64       // bytes moved over what the links could carry
	Worth         float64       // share of the worth of returning prompts that was served in time
	Prompts       int64         // returning prompts answered
}

// String returns a line of the table.
func (f Figures) String() string {
	return fmt.Sprintf("%7.2f %7.2f %7.2f  %5.1f%%  %5.1f%%  %5.1f%%  %6d",
		f.P50.Seconds(), f.P95.Seconds(), f.P99.Seconds(), 100*f.Recomputed, 100*f.LinkUse, 100*f.Worth, f.Prompts)
}

// recorder counts the returning prompts that arrive after the warm-up.
type recorder struct {
	times            *hdrhistogram.Histogram
	asked, brought   int
	worth, worthHeld float64
	moved            float64
}

func (r *recorder) pieces(b *Simulation, s *session, began time.Time, brought int) {
	if s.visits == 0 || began.Before(epoch.Add(b.d.WarmUp)) {
		return
	}
	r.asked += s.pieces
	r.brought += brought
}

func (r *recorder) first(b *Simulation, s *session, began time.Time) {
	if s.visits == 0 || began.Before(epoch.Add(b.d.WarmUp)) {
		return
	}
	if r.times == nil {
		r.times = hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3)
	}
	took := b.now.Sub(began)
	// The bounds hold any time within a run.
	_ = r.times.RecordValue(max(took.Milliseconds(), 1))
	r.worth += s.kind.Class.Worth
	if took <= s.kind.Class.FirstIn {
		r.worthHeld += s.kind.Class.Worth
	}
}

func (b *Simulation) figures() Figures {
	r := &b.result
	if r.times == nil {
		return Figures{}
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.times.ValueAtQuantile(q)) * time.Millisecond
	}
	carried := float64(b.d.LinkRate) * (1 - b.d.LiveShare) * float64(b.d.Stores) * b.d.MeasuredTime.Seconds()
	return Figures{
		P50: quantile(50), P95: quantile(95), P99: quantile(99),
		Recomputed: 1 - float64(r.brought)/float64(max(r.asked, 1)),
		LinkUse:    r.moved / carried,
		Worth:      r.worthHeld / max(r.worth, 1),
		Prompts:    r.times.TotalCount(),
	}
}
