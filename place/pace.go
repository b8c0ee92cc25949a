package place

import "time"

// Figures of Pace.
const (
	// paceWeight smooths over about eight answers.
	paceWeight = 0.12
	// fewWeight smooths over three.
	fewWeight = 0.35
	// maxSlow bounds what one outlier can do.
	maxSlow = 20
	// paceFade halves a deviation when nothing is sent.
	paceFade = 4 * time.Second
)

// Pace is how long an endpoint's requests take relative to the usual of its
// service. It is pure state and not safe for concurrent use.
//
// Load pattern: an endpoint that answers its checks but works many times
// slower than the others collects requests unless it counts as more loaded.
type Pace struct {
	slow float64 // less 1
	seen time.Time
}

// Observe takes the time of a request relative to the usual one.
func (p *Pace) Observe(ratio float64, now time.Time) { p.observe(ratio, paceWeight, now) }

// ObserveSparse is Observe for something that few requests use, each of which
// counts for more.
func (p *Pace) ObserveSparse(ratio float64, now time.Time) { p.observe(ratio, fewWeight, now) }

func (p *Pace) observe(ratio, weight float64, now time.Time) {
	ratio = min(ratio, maxSlow)
	p.slow = (1-weight)*(p.Slowness(now)-1) + weight*(ratio-1)
	p.seen = now
}

// Slowness returns the relative time of a request, 1 is usual.
func (p *Pace) Slowness(now time.Time) float64 {
	age := max(now.Sub(p.seen), 0)
	return 1 + p.slow/(1+float64(age)/float64(paceFade))
}
