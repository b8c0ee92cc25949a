package keepbench

import (
	"time"

	"redwingknot/contract"
)

// PromptKind describes a kind of prompt, and how often and when it returns, which means
// that it is sent again.
type PromptKind struct {
	Class        contract.Class
	Share        float64 // share of the sessions
	MinPieces    int
	MaxPieces    int
	GrowChance   float64       // chance that a returning prompt is one piece longer
	ReturnChance float64       // chance that the prompt returns after an answer
	MedianGap    time.Duration // median time from an answer to the return
	GapLogStdDev float64       // standard deviation of the natural logarithm of the gap
}

// Deployment describes the workers, stores and prompts of a run.
type Deployment struct {
	Name             string
	Kinds            []PromptKind
	Workers          int
	PieceComputeTime time.Duration // time that a worker needs to compute one piece
	PieceBytes       int64
	Stores           int
	StorePieces      int           // capacity of each store in pieces
	LinkRate         int64         // rate of each store's link in bytes a second
	LiveShare        float64       // share of the links that is reserved for live traffic
	AnswerTime       time.Duration // time from the first token to the end of the answer
	WarmUp           time.Duration // warm-up time, which is not measured
	MeasuredTime     time.Duration // measured time, after the warm-up
}

// Authority returns the deployment of an authority, whose prompts are long files that
// return after minutes to hours.
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

// CoOp returns the deployment of a co-op, whose prompts are short and return after
// minutes.
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

// returningPieces returns the mean number of pieces that all returns of a session have
// together, as long as prompts do not grow.
func (d Deployment) returningPieces() float64 {
	sum := 0.0
	for _, k := range d.Kinds {
		sum += k.Share * k.ReturnChance / (1 - k.ReturnChance) * float64(k.MinPieces+k.MaxPieces) / 2
	}
	return sum
}

// sessionRate returns the number of new sessions a second with which the returning
// pieces are load times what the links can carry.
func (d Deployment) sessionRate(load float64) float64 {
	linkCapacity := float64(d.LinkRate) * (1 - d.LiveShare) * float64(d.Stores) / float64(d.PieceBytes)
	return load * linkCapacity / d.returningPieces()
}

// Fault names a failure of store 0. It begins after the warm-up unless its comment
// says otherwise.
type Fault string

// The faults.
const (
	NoFault   Fault = "calm"       // no failure
	StoreLost Fault = "store lost" // loses its blocks and is unreachable for an eighth of the measured time
	StoreFull Fault = "store full" // has a tenth of its capacity from the start of the run
	SlowLink  Fault = "link tenth" // its link keeps a tenth of its rate
)

// Policy says which decisions about stored blocks are made, and how.
type Policy struct {
	Name          string
	UseStores     bool // export blocks to stores and bring them back; otherwise prompts are computed in full
	PlanTransfers bool // bring back only what saves time, and transfer only within the links' budgets
	ScoreBySaving bool // choose what to export, where to and what to evict by the saving per byte; otherwise export everything and evict the least recently used
}

// Policies returns the baseline policies, followed by the production policy "plan".
func Policies() []Policy {
	return []Policy{
		{Name: "recompute"},
		{Name: "bring back", UseStores: true},
		{Name: "lru", UseStores: true, PlanTransfers: true},
		{Name: "plan", UseStores: true, PlanTransfers: true, ScoreBySaving: true},
	}
}
