package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names what a step does.
type Kind string

// The kinds of steps. Those on gateways send signals; those on links change the
// loopback proxies. Most last until the end of the step.
const (
	GatewayKill   Kind = "gateway-kill"   // SIGKILL, and a restart at the end of the step
	GatewayStop   Kind = "gateway-stop"   // SIGTERM, and a restart after the process has exited
	GatewayPause  Kind = "gateway-pause"  // SIGSTOP, and SIGCONT at the end of the step
	GatewayReload Kind = "gateway-reload" // SIGHUP

	StoreBusy     Kind = "store-busy"      // the store answers 503
	StoreSilent   Kind = "store-silent"    // the store does not answer
	StoreSlow     Kind = "store-slow"      // the store answers after storeDelay
	StoreLoses    Kind = "store-loses"     // writes take effect but are not answered
	StoreLate     Kind = "store-late"      // writes take effect after storeDelay and are not answered
	StoreForgets  Kind = "store-forgets"   // the store drops its history
	StoreLeases   Kind = "store-leases"    // all leases expire
	StoreLinkCut  Kind = "store-link-cut"  // bytes between one gateway and the store are held in both directions
	StoreLinkOut  Kind = "store-link-out"  // bytes from the gateway to the store are held
	StoreLinkBack Kind = "store-link-back" // bytes from the store to the gateway are held
	StoreLinkMute Kind = "store-link-mute" // the gateway's open connections pass no more bytes

	EndpointCrash Kind = "endpoint-crash" // the endpoint stops, and restarts under a new ID at the end of the step
	EndpointSlow  Kind = "endpoint-slow"  // its work takes slowFactor times as long
	EndpointLeave Kind = "endpoint-leave" // the endpoint announces that it leaves, stops and restarts under a new ID
	EndpointReset Kind = "endpoint-reset" // its open connections are reset
	EndpointCut   Kind = "endpoint-cut"   // bytes to and from the endpoint are held
	EndpointBack  Kind = "endpoint-back"  // bytes from the endpoint are held
	EndpointMute  Kind = "endpoint-mute"  // its open connections pass no more bytes
	EndpointDelay Kind = "endpoint-delay" // bytes to and from the endpoint are delayed by linkDelay

	ConfigMove    Kind = "config-move"    // a route moves to another service
	ConfigRevoke  Kind = "config-revoke"  // a token is revoked
	WeightsNamed  Kind = "weights-named"  // a new weight version is named
	CallersReset  Kind = "callers-reset"  // open connections of callers to one gateway are reset
	CallersSilent Kind = "callers-silent" // open connections of callers to one gateway pass no more bytes
)

// plannedKinds are the steps that an operator plans. No caller may lose an answer
// because of them.
var plannedKinds = []Kind{GatewayStop, GatewayReload, ConfigMove, ConfigRevoke, WeightsNamed, EndpointLeave}

// storeKinds are the disruptions of the metadata store alone. Calls that may be
// repeated and need no token may not lose an answer because of them.
var storeKinds = []Kind{StoreBusy, StoreSilent, StoreSlow, StoreLoses, StoreLate, StoreForgets}

// unplannedKinds are all other disruptions.
var unplannedKinds = []Kind{
	GatewayKill, GatewayPause, StoreLeases, StoreLinkCut, StoreLinkOut, StoreLinkBack, StoreLinkMute,
	EndpointCrash, EndpointSlow, EndpointReset, EndpointCut, EndpointBack, EndpointMute, EndpointDelay,
	CallersReset, CallersSilent,
}

// Step is one step of a plan: a disruption or an action of the operator.
type Step struct {
	At     time.Duration // from the start of the plan
	For    time.Duration // duration, for kinds that last
	Kind   Kind
	Target int // index of the gateway or endpoint, taken modulo their number
}

// String implements fmt.Stringer.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %s of %d", s.At.Round(time.Millisecond), s.Kind, s.For.Round(time.Millisecond), s.Target)
}

// Parameters of a plan.
const (
	firstStep        = 500 * time.Millisecond // time before the first step
	meanStepInterval = 700 * time.Millisecond // on average; short enough for steps to overlap
	minStepDuration  = 100 * time.Millisecond // shortest step
	maxStepDuration  = 2 * time.Second        // longest step
	seriesLength     = 3                      // steps in a series of the same kind
	seriesInterval   = 150 * time.Millisecond // between the steps of a series
	seriesOneIn      = 5                      // one step in seriesOneIn begins a series
)

// NewPlan returns the steps that a seed gives for a run of the given duration, in
// order of time. A third of all seeds has planned steps only, and a third planned
// steps and disruptions of the store, so that the promises that hold during these
// can be checked.
func NewPlan(seed uint64, duration time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Clone(plannedKinds)
	switch rng.IntN(3) {
	case 1:
		kinds = append(kinds, storeKinds...)
	case 2:
		kinds = append(append(kinds, storeKinds...), unplannedKinds...)
	}
	var steps []Step
	for at := firstStep; at < duration; at += meanStepInterval/2 + randDuration(rng, meanStepInterval) {
		s := Step{At: at, For: minStepDuration + randDuration(rng, maxStepDuration-minStepDuration), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 10)}
		steps = append(steps, s)
		if rng.IntN(seriesOneIn) != 0 {
			continue
		}
		for range seriesLength - 1 {
			s.At += seriesInterval
			s.Target++
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// randDuration draws a duration of at least 0 and less than d.
func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
