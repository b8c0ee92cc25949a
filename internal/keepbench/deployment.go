package keepbench

import (
	"time"

	"redwingknot/contract"
)

// PromptKind is a kind of prompt.
type PromptKind struct {
	Class        contract.Class
	Share        float64 // of the sessions
	MinPieces    int
	MaxPieces    int
	GrowChance   float64       // chance that a return is one piece longer
	ReturnChance float64       // chance of a return after each answer
	MedianGap    time.Duration // median before a return
	GapLogStdDev float64       // standard deviation of the gap's logarithm
}

// Deployment is the size of a bench.
type Deployment struct {
	Name             string
	Kinds            []PromptKind
	Workers          int
	PieceComputeTime time.Duration // of one piece at a worker
	PieceBytes       int64
	Stores           int
	StorePieces      int   // pieces that a store holds
	LinkRate         int64 // bytes a second of a store's link
	LiveShare        float64
	AnswerTime       time.Duration // from the first token to the end
	WarmUp           time.Duration
	MeasuredTime     time.Duration // after the warm-up
}

// Authority returns long files that return after minutes to hours.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Workers: 10, PieceComputeTime: 200 * time.Millisecond, PieceBytes: 160 << 20,
		Kinds: []PromptKind{
			{Class: contract.Class{Name: "scenario", Worth: 3, FirstIn: 6 * time.Second}, Share: 0.3, MinPieces: 15, MaxPieces: 40, GrowChance: 0.5, ReturnChance: 0.8, MedianGap: 30 * time.Minute, GapLogStdDev: 0.8},
			{Class: contract.Class{Name: "verdict", Worth: 10, FirstIn: 2 * time.Second}, Share: 0.3, MinPieces: 4, MaxPieces: 10, GrowChance: 0.5, ReturnChance: 0.7, MedianGap: 10 * time.Minute, GapLogStdDev: 0.6},
			{Class: contract.Class{Name: "question", Worth: 1, FirstIn: 3 * time.Second}, Share: 0.4, MinPieces: 6, MaxPieces: 20, GrowChance: 0.3, ReturnChance: 0.25, MedianGap: 5 * time.Minute, GapLogStdDev: 1},
		},
		Stores: 2, StorePieces: 20_000, LinkRate: 3_125_000_000, LiveShare: 0.1,
		AnswerTime: 5 * time.Second, WarmUp: time.Hour, MeasuredTime: time.Hour,
	}
}

// CoOp returns short prompts that return after minutes.
func CoOp() Deployment {
	return Deployment{
		Name: "co-op", Workers: 20, PieceComputeTime: 200 * time.Millisecond, PieceBytes: 160 << 20,
		Kinds: []PromptKind{
			{Class: contract.Class{Name: "waiver", Worth: 2, FirstIn: time.Second}, Share: 0.5, MinPieces: 2, MaxPieces: 5, GrowChance: 0.3, ReturnChance: 0.75, MedianGap: 4 * time.Minute, GapLogStdDev: 0.7},
			{Class: contract.Class{Name: "clause", Worth: 1, FirstIn: time.Second}, Share: 0.5, MinPieces: 2, MaxPieces: 5, GrowChance: 0.3, ReturnChance: 0.3, MedianGap: 2 * time.Minute, GapLogStdDev: 0.7},
		},
		Stores: 2, StorePieces: 4_000, LinkRate: 3_125_000_000, LiveShare: 0.1,
		AnswerTime: 3 * time.Second, WarmUp: 15 * time.Minute, MeasuredTime: 15 * time.Minute,
	}
}

// returningPieces is the mean number of pieces that the returns of a session
// have together.
func (d Deployment) returningPieces() float64 {
	sum := 0.0
	for _, k := range d.Kinds {
		sum += k.Share * k.ReturnChance / (1 - k.ReturnChance) * float64(k.MinPieces+k.MaxPieces) / 2
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
	NoFault   Fault = "calm"
	StoreLost Fault = "store lost" // empty, and out of reach for an eighth of the span
	StoreFull Fault = "store full" // a tenth of its room, from the beginning
	SlowLink  Fault = "link tenth" // a tenth of its rate
)

// Policy is a way to decide.
type Policy struct {
	Name          string
	UseStores     bool // blocks are kept at all
	PlanTransfers bool // bring back only what saves time, under the links' budget
	ScoreBySaving bool // place, export and free by what is saved a byte; otherwise everything, and the least recently used goes
}

// Policies returns the plan behind its rivals.
func Policies() []Policy {
	return []Policy{
		{Name: "recompute"},
		{Name: "bring back", UseStores: true},
		{Name: "lru", UseStores: true, PlanTransfers: true},
		{Name: "plan", UseStores: true, PlanTransfers: true, ScoreBySaving: true},
	}
}
