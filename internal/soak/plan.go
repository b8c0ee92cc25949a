package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does.
type Kind string

// The kinds of steps. Those on gateways are signals, those on links act on the
// loopback proxies.
const (
	GatewayKill   Kind = "gateway-kill"
	GatewayStop   Kind = "gateway-stop"   // SIGTERM, and a start after its end
	GatewayPause  Kind = "gateway-pause"  // SIGSTOP and SIGCONT
	GatewayReload Kind = "gateway-reload" // SIGHUP

	StoreBusy     Kind = "store-busy"     // answers 503
	StoreSilent   Kind = "store-silent"   // answers nothing
	StoreSlow     Kind = "store-slow"     // answers late
	StoreLoses    Kind = "store-loses"    // writes take effect and are not answered
	StoreLate     Kind = "store-late"     // the same, some time later
	StoreForgets  Kind = "store-forgets"  // its history is dropped
	StoreLeases   Kind = "store-leases"   // all leases end
	StoreLinkCut  Kind = "store-link-cut" // of one gateway
	StoreLinkOut  Kind = "store-link-out" // one way
	StoreLinkBack Kind = "store-link-back"
	StoreLinkMute Kind = "store-link-mute" // open connections go silent

	EndpointCrash Kind = "endpoint-crash" // and a start under a new identifier
	EndpointSlow  Kind = "endpoint-slow"
	EndpointLeave Kind = "endpoint-leave" // announced, then a start under a new identifier
	EndpointReset Kind = "endpoint-reset" // of its connections
	EndpointCut   Kind = "endpoint-cut"
	EndpointBack  Kind = "endpoint-back" // its answers are held up
	EndpointMute  Kind = "endpoint-mute" // open connections go silent
	EndpointDelay Kind = "endpoint-delay"

	ConfigMove    Kind = "config-move"    // a route moves to another service
	ConfigRevoke  Kind = "config-revoke"  // a token is withdrawn
	WeightsNamed  Kind = "weights-named"  // a new version
	CallersReset  Kind = "callers-reset"  // of one gateway
	CallersSilent Kind = "callers-silent" // their open connections go silent
)

// planned are the steps of an operator, which must cost no caller an answer.
var planned = []Kind{GatewayStop, GatewayReload, ConfigMove, ConfigRevoke, WeightsNamed, EndpointLeave}

// ofStore are the disruptions of the metadata store, which must cost no answer
// to a call that may be repeated and needs no token.
var ofStore = []Kind{StoreBusy, StoreSilent, StoreSlow, StoreLoses, StoreLate, StoreForgets}

// unplanned are all others.
var unplanned = []Kind{
	GatewayKill, GatewayPause, StoreLeases, StoreLinkCut, StoreLinkOut, StoreLinkBack, StoreLinkMute,
	EndpointCrash, EndpointSlow, EndpointReset, EndpointCut, EndpointBack, EndpointMute, EndpointDelay,
	CallersReset, CallersSilent,
}

// Step is a disruption.
type Step struct {
	At     time.Duration // from the start
	For    time.Duration // until it ends, where it lasts
	Kind   Kind
	Target int // of the gateway or endpoint, taken modulo their number
}

// String implements fmt.Stringer.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %s of %d", s.At.Round(time.Millisecond), s.Kind, s.For.Round(time.Millisecond), s.Target)
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
		s := Step{At: at, For: stepLeast + rand64(rng, stepMost-stepLeast), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 10)}
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
