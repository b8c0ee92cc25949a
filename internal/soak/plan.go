package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is what a step does.
type StepKind string

// The kinds of steps. Those on gateways are signals, those on links act on the
// loopback proxies.
const (
	GatewayKill   StepKind = "gateway-kill"
	GatewayStop   StepKind = "gateway-stop"   // SIGTERM, and a start after its end
	GatewayPause  StepKind = "gateway-pause"  // SIGSTOP and SIGCONT
	GatewayReload StepKind = "gateway-reload" // SIGHUP

	StoreBusy         StepKind = "store-busy"     // answers 503
	StoreSilent       StepKind = "store-silent"   // answers nothing
	StoreSlow         StepKind = "store-slow"     // answers late
	StoreLosesAnswers StepKind = "store-loses"    // writes take effect and are not answered
	StoreLateWrites   StepKind = "store-late"     // the same, some time later
	StoreDropsHistory StepKind = "store-forgets"  // its history is dropped
	StoreLeasesExpire StepKind = "store-leases"   // all leases end
	StoreLinkCut      StepKind = "store-link-cut" // of one gateway
	StoreLinkHoldOut  StepKind = "store-link-out" // one way
	StoreLinkHoldBack StepKind = "store-link-back"
	StoreLinkSilent   StepKind = "store-link-mute" // open connections go silent

	EndpointCrash    StepKind = "endpoint-crash" // and a start under a new identifier
	EndpointSlow     StepKind = "endpoint-slow"
	EndpointLeave    StepKind = "endpoint-leave" // announced, then a start under a new identifier
	EndpointReset    StepKind = "endpoint-reset" // of its connections
	EndpointCut      StepKind = "endpoint-cut"
	EndpointHoldBack StepKind = "endpoint-back" // its answers are held up
	EndpointSilent   StepKind = "endpoint-mute" // open connections go silent
	EndpointDelay    StepKind = "endpoint-delay"

	ConfigMove    StepKind = "config-move"    // a route moves to another service
	ConfigRevoke  StepKind = "config-revoke"  // a token is withdrawn
	WeightsNamed  StepKind = "weights-named"  // a new version
	CallersReset  StepKind = "callers-reset"  // of one gateway
	CallersSilent StepKind = "callers-silent" // their open connections go silent
)

// planned are the steps of an operator, which must cost no caller an answer.
var planned = []StepKind{GatewayStop, GatewayReload, ConfigMove, ConfigRevoke, WeightsNamed, EndpointLeave}

// ofStore are the disruptions of the metadata store, which must cost no answer
// to a call that may be repeated and needs no token.
var ofStore = []StepKind{StoreBusy, StoreSilent, StoreSlow, StoreLosesAnswers, StoreLateWrites, StoreDropsHistory}

// unplanned are all others.
var unplanned = []StepKind{
	GatewayKill, GatewayPause, StoreLeasesExpire, StoreLinkCut, StoreLinkHoldOut, StoreLinkHoldBack, StoreLinkSilent,
	EndpointCrash, EndpointSlow, EndpointReset, EndpointCut, EndpointHoldBack, EndpointSilent, EndpointDelay,
	CallersReset, CallersSilent,
}

// Step is a disruption.
type Step struct {
	At       time.Duration // from the start
	Duration time.Duration // until it ends, where it lasts
	Kind     StepKind
	Target   int // of the gateway or endpoint, taken modulo their number
}

// String implements fmt.Stringer.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %s of %d", s.At.Round(time.Millisecond), s.Kind, s.Duration.Round(time.Millisecond), s.Target)
}

// Bounds of a plan.
const (
	firstStep  = 500 * time.Millisecond // of calm before
	stepEvery  = 700 * time.Millisecond // on the average: steps overlap
	stepLeast  = 100 * time.Millisecond // that a step lasts
	stepMost   = 2 * time.Second
	seriesOf   = 3 // steps of a series
	seriesGap  = 150 * time.Millisecond
	seriesOdds = 5 // one step in so many begins a series
)

// NewPlan returns the steps of a seed within a duration, in order of time. A
// third of all seeds has the steps of an operator only, and a third those and
// disruptions of the store, so that what these must not cost can be checked.
func NewPlan(seed uint64, duration time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Clone(planned)
	switch rng.IntN(3) {
	case 1:
		kinds = append(kinds, ofStore...)
	case 2:
		kinds = append(append(kinds, ofStore...), unplanned...)
	}
	var steps []Step
	for at := firstStep; at < duration; at += stepEvery/2 + rand64(rng, stepEvery) {
		s := Step{At: at, Duration: stepLeast + rand64(rng, stepMost-stepLeast), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 10)}
		steps = append(steps, s)
		if rng.IntN(seriesOdds) != 0 {
			continue
		}
		for range seriesOf - 1 {
			s.At += seriesGap
			s.Target++
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func rand64(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
