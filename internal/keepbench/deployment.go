package keepbench

import (
	"time"

	"redwingknot/contract"
)

// Kind is a kind of prompt.
type Kind struct {
	Class     contract.Class
	Share     float64 // of the sessions
	MinPieces int
	MaxPieces int
	Grows     float64       // chance that a return is one piece longer
	Returns   float64       // chance of a return after each answer
	Gap       time.Duration // median before a return
	Spread    float64       // standard deviation of the gap's logarithm
}

// Deployment is the size of a bench.
type Deployment struct {
	Name        string
	Kinds       []Kind
	Workers     int
	Compute     time.Duration // of one piece at a worker
	PieceBytes  int64
	Stores      int
	StorePieces int   // pieces that a store holds
	LinkRate    int64 // bytes a second of a store's link
	LiveShare   float64
	Answer      time.Duration // from the first token to the end
	Warm        time.Duration
	Span        time.Duration // after the warm-up
}

// Authority returns long files that return after minutes to hours.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Workers: 10, Compute: 200 * time.Millisecond, PieceBytes: 160 << 20,
		Kinds: []Kind{
			{Class: contract.Class{Name: "scenario", Worth: 3, FirstIn: 6 * time.Second}, Share: 0.3, MinPieces: 15, MaxPieces: 40, Grows: 0.5, Returns: 0.8, Gap: 30 * time.Minute, Spread: 0.8},
			{Class: contract.Class{Name: "verdict", Worth: 10, FirstIn: 2 * time.Second}, Share: 0.3, MinPieces: 4, MaxPieces: 10, Grows: 0.5, Returns: 0.7, Gap: 10 * time.Minute, Spread: 0.6},
			{Class: contract.Class{Name: "question", Worth: 1, FirstIn: 3 * time.Second}, Share: 0.4, MinPieces: 6, MaxPieces: 20, Grows: 0.3, Returns: 0.25, Gap: 5 * time.Minute, Spread: 1},
		},
		Stores: 2, StorePieces: 20_000, LinkRate: 3_125_000_000, LiveShare: 0.1,
		Answer: 5 * time.Second, Warm: time.Hour, Span: time.Hour,
	}
}

// Coop returns short prompts that return after minutes.
func Coop() Deployment {
	return Deployment{
		Name: "co-op", Workers: 20, Compute: 200 * time.Millisecond, PieceBytes: 160 << 20,
		Kinds: []Kind{
			{Class: contract.Class{Name: "waiver", Worth: 2, FirstIn: time.Second}, Share: 0.5, MinPieces: 2, MaxPieces: 5, Grows: 0.3, Returns: 0.75, Gap: 4 * time.Minute, Spread: 0.7},
			{Class: contract.Class{Name: "clause", Worth: 1, FirstIn: time.Second}, Share: 0.5, MinPieces: 2, MaxPieces: 5, Grows: 0.3, Returns: 0.3, Gap: 2 * time.Minute, Spread: 0.7},
		},
		Stores: 2, StorePieces: 4_000, LinkRate: 3_125_000_000, LiveShare: 0.1,
		Answer: 3 * time.Second, Warm: 15 * time.Minute, Span: 15 * time.Minute,
	}
}

// returningPieces is the mean number of pieces that the returns of a session
// have together.
func (d Deployment) returningPieces() float64 {
	sum := 0.0
	for _, k := range d.Kinds {
		sum += k.Share * k.Returns / (1 - k.Returns) * float64(k.MinPieces+k.MaxPieces) / 2
	}
	return sum
}

// sessionRate is the number of new sessions a second for which the returning
// pieces are load times what the links carry.
func (d Deployment) sessionRate(load float64) float64 {
	carried := float64(d.LinkRate) * (1 - d.LiveShare) * float64(d.Stores) / float64(d.PieceBytes)
	return load * carried / d.returningPieces()
}

// Fault is what goes wrong after the warm-up, at store 0.
type Fault string

// The faults of the bench.
const (
	Calm      Fault = "calm"
	StoreLost Fault = "store lost" // empty, and out of reach for an eighth of the span
	StoreFull Fault = "store full" // a tenth of its room, from the beginning
	LinkTenth Fault = "link tenth" // a tenth of its rate
)

// Policy is a way to decide.
type Policy struct {
	Name  string
	Keep  bool // blocks are kept at all
	Plan  bool // bring back only what saves time, under the links' budget
	Evict bool // place, export and free by what is saved a byte; otherwise everything, and the least recently used goes
}

// Policies returns the plan behind its rivals.
func Policies() []Policy {
	return []Policy{
		{Name: "recompute"},
		{Name: "bring back", Keep: true},
		{Name: "lru", Keep: true, Plan: true},
		{Name: "plan", Keep: true, Plan: true, Evict: true},
	}
}
