package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// StepKind names what a step does.
type StepKind string

// The kinds of steps. Those on gateways send signals; those on links change the
// loopback proxies. Most last until the end of the step.
const (
	GatewayKill   StepKind = "gateway-kill"   // SIGKILL, and a restart at the end of the step
	GatewayStop   StepKind = "gateway-stop"   // SIGTERM, and a restart after the process has exited
	GatewayPause  StepKind = "gateway-pause"  // SIGSTOP, and SIGCONT at the end of the step
	GatewayReload StepKind = "gateway-reload" // SIGHUP
	GatewaysKill  StepKind = "gateways-kill"  // SIGKILL to all at once, and restarts at the end of the step

	// GatewaysRoll stops gateways one after the other, each before the last one has exited.
	GatewaysRoll      StepKind = "gateways-roll"
	GatewayStopTwice  StepKind = "gateway-stop-twice"  // SIGTERM, and another one after the step's duration
	GatewayStopReload StepKind = "gateway-stop-reload" // SIGTERM between SIGHUPs
	GatewayStopEarly  StepKind = "gateway-stop-early"  // SIGTERM, and another one shortly after the restart

	StoreBusy         StepKind = "store-busy"      // the store answers 503
	StoreSilent       StepKind = "store-silent"    // the store does not answer
	StoreSlow         StepKind = "store-slow"      // the store answers after storeDelay
	StoreLosesAnswers StepKind = "store-loses"     // writes take effect but are not answered
	StoreLateWrites   StepKind = "store-late"      // writes take effect after storeDelay and are not answered
	StoreDropsHistory StepKind = "store-forgets"   // the store drops its history
	StoreRestored     StepKind = "store-restored"  // at the end of the step the store comes back from a copy of its beginning
	StoreLeasesExpire StepKind = "store-leases"    // all leases expire
	StoreLinkCut      StepKind = "store-link-cut"  // bytes between one gateway and the store are held in both directions
	StoreLinkHoldOut  StepKind = "store-link-out"  // bytes from the gateway to the store are held
	StoreLinkHoldBack StepKind = "store-link-back" // bytes from the store to the gateway are held
	StoreLinkSilent   StepKind = "store-link-mute" // the gateway's open connections pass no more bytes

	EndpointCrash    StepKind = "endpoint-crash"     // the endpoint stops, and restarts under a new ID at the end of the step
	EndpointSlow     StepKind = "endpoint-slow"      // its work takes slowFactor times as long
	EndpointLeave    StepKind = "endpoint-leave"     // the endpoint announces that it leaves, stops and restarts under a new ID
	EndpointUpgrade  StepKind = "endpoint-upgrade"   // the same, and restarts with another software version
	EndpointStalls   StepKind = "endpoint-stalls"    // bytes to and from the endpoint are held for stallTime
	EndpointsBrittle StepKind = "endpoints-brittle"  // the endpoints of a service are brittle and overloaded
	PartitionHangs   StepKind = "partition-hangs"    // a gateway's connections to all endpoints hang, new ones too
	PartitionResets  StepKind = "partition-resets"   // they are reset, new ones refused
	PartitionRefuses StepKind = "partition-refuses"  // they live on, new ones are refused
	EndpointReset    StepKind = "endpoint-reset"     // its open connections are reset
	EndpointCut      StepKind = "endpoint-cut"       // bytes to and from the endpoint are held
	EndpointHoldBack StepKind = "endpoint-back"      // bytes from the endpoint are held
	EndpointSilent   StepKind = "endpoint-mute"      // its open connections pass no more bytes
	EndpointDelay    StepKind = "endpoint-delay"     // bytes to and from the endpoint are delayed by linkDelay
	EndpointPause    StepKind = "endpoint-pause"     // the endpoint refuses all requests and asks for a pause
	EndpointBadPause StepKind = "endpoint-bad-pause" // the same, with a value that means nothing

	EndpointLimit    StepKind = "endpoint-limit"     // its responses name a limit, limitTime longer than the step
	EndpointBadLimit StepKind = "endpoint-bad-limit" // the same, with a value that means nothing
	EndlessHead      StepKind = "endless-head"       // its responses are a head without end
	EndlessBody      StepKind = "endless-body"       // its responses are a body without end

	// RequestCrashes sends the run's crashing request, again and again, at any gateway.
	RequestCrashes StepKind = "request-crashes"

	// RequestCrashWaves sends copies of it at the same time, and again when all endpoints are
	// back.
	RequestCrashWaves StepKind = "request-crash-waves"
	// PartCrashes sends prompts with a part that crashes engines, no two alike.
	PartCrashes      StepKind = "part-crashes"
	EndpointFails    StepKind = "endpoint-fails"    // it reports a failure for each request, and runs none
	EndpointUnframed StepKind = "endpoint-unframed" // its responses have neither a length nor chunks
	EntryFlaps       StepKind = "entry-flaps"       // its entry vanishes, and comes back at the end of the step

	// The faults of streams are those of fleetworker, while streams break off. Engines that
	// write streams with StreamBreaks alone are sound otherwise.
	StreamSkips          = StepKind(fleetworker.StreamSkips)
	StreamRestarts       = StepKind(fleetworker.StreamRestarts)
	StreamRepeats        = StepKind(fleetworker.StreamRepeats)
	StreamRepeatsLater   = StepKind(fleetworker.StreamRepeatsLater)
	StreamEmpty          = StepKind(fleetworker.StreamEmpty)
	StreamErrorText      = StepKind(fleetworker.StreamErrorText)
	StreamErrorEvent     = StepKind(fleetworker.StreamErrorEvent)
	StreamBreaks         = StepKind(fleetworker.StreamBreaks)
	StreamPieces         = StepKind(fleetworker.StreamPieces)
	StreamSecondResponse = StepKind(fleetworker.StreamSecondResponse)

	// The faults of heads are those of fleetworker, at some endpoints.
	HeadBreaks = StepKind(fleetworker.HeadBreaks)
	HeadAlone  = StepKind(fleetworker.HeadAlone)
	HeadJoins  = StepKind(fleetworker.HeadJoins)

	// The faults of orders are those of fleetworker, for orderFaultTime longer than the step.
	OrdersLate = StepKind(fleetworker.OrderLate)
	OrdersLost = StepKind(fleetworker.OrderLost)

	// RunsPreempted has the engines preempt their streams, again and again.
	RunsPreempted  StepKind = "runs-preempted"
	CacheStoreLost StepKind = "cache-store-lost" // the cache store restarts and holds nothing

	EndpointKilled     StepKind = "endpoint-killed"      // its process is killed, and the next one listens at once
	EndpointKilledAway StepKind = "endpoint-killed-away" // the next one listens after awayTime
	EndpointLeftKilled StepKind = "endpoint-left-killed" // the same, when its time to leave is over

	ConfigMove     StepKind = "config-move"      // a route moves to another service
	ConfigMoveLate StepKind = "config-move-late" // the routes of late calls move to another service
	ConfigGrow     StepKind = "config-grow"      // many routes are added
	ConfigRevoke   StepKind = "config-revoke"    // a token is revoked
	WeightsNamed   StepKind = "weights-named"    // a new weight version is named
	CallersReset   StepKind = "callers-reset"    // open connections of callers to one gateway are reset
	CallersSilent  StepKind = "callers-silent"   // open connections of callers to one gateway pass no more bytes
)

// plannedKinds are the steps that an operator plans. No caller may lose an answer
// because of them.
var plannedKinds = []StepKind{GatewayStop, GatewayReload, ConfigMove, ConfigRevoke, WeightsNamed, EndpointLeave}

// storeKinds are the disruptions of the metadata store alone. Calls that may be
// repeated and need no token may not lose an answer because of them.
var storeKinds = []StepKind{StoreBusy, StoreSilent, StoreSlow, StoreLosesAnswers, StoreLateWrites, StoreDropsHistory}

// addedPlannedKinds and addedUnplannedKinds came later. They are drawn apart, so that a
// seed that has failed before still gives the steps that it gave then.
var (
	addedPlannedKinds   = []StepKind{ConfigGrow}
	addedStoreKinds     = []StepKind{StoreRestored}
	addedUnplannedKinds = []StepKind{EndpointPause, EndpointBadPause}
	// laterUnplannedKinds came after these, and are drawn apart from them.
	laterUnplannedKinds = []StepKind{EndpointLimit, EndpointBadLimit, EndlessHead, EndlessBody, RequestCrashes}
	// latestUnplannedKinds came after these, in the same way.
	latestUnplannedKinds = []StepKind{RequestCrashWaves, PartCrashes, EndpointFails, EndpointUnframed, EntryFlaps}
	// newestPlannedKinds came after these, in the same way.
	newestPlannedKinds = []StepKind{EndpointUpgrade, EndpointStalls}
	// newestUnplannedKinds came after these, in the same way.
	newestUnplannedKinds = []StepKind{PartitionHangs, PartitionResets, PartitionRefuses, EndpointsBrittle}
	// fleetKinds came after these, in the same way. They end all gateways.
	fleetKinds = []StepKind{GatewaysKill}
	// streamKinds came after these, in the same way.
	streamKinds = []StepKind{
		StreamSkips, StreamRestarts, StreamRepeats, StreamRepeatsLater, StreamEmpty, StreamErrorText, StreamErrorEvent, StreamBreaks,
		StreamPieces, StreamSecondResponse, EndpointKilled, EndpointKilled, EndpointKilledAway, EndpointLeftKilled,
	}
	// stopKinds came after these. They are drawn in the seeds with hasStopSteps only, and an
	// operator plans them.
	stopKinds = []StepKind{GatewaysRoll, GatewaysRoll, GatewaysRoll, GatewayStopTwice, GatewayStopReload, GatewayStopEarly, ConfigMoveLate}
	// weightKinds came after these. They are drawn in the seeds with hasWeightSteps only.
	weightKinds = []StepKind{WeightsNamed, WeightsNamed, WeightsNamed, OrdersLate, OrdersLost, OrdersLost, EndpointSlow, GatewayKill}
	// cacheKinds came after these. They are drawn with Options.CacheSteps only.
	cacheKinds = []StepKind{RunsPreempted, RunsPreempted, RunsPreempted, CacheStoreLost}
	// headKinds came after these, in the same way as streamKinds.
	headKinds = []StepKind{HeadBreaks, HeadAlone, HeadJoins}
)

// isPlanned reports whether an operator plans the steps of a kind.
func isPlanned(k StepKind) bool {
	return slices.Contains(plannedKinds, k) || slices.Contains(addedPlannedKinds, k) || slices.Contains(newestPlannedKinds, k) || slices.Contains(stopKinds, k)
}

// pauseKinds are the steps in which endpoints ask for pauses.
var pauseKinds = []StepKind{EndpointPause, EndpointBadPause}

// unplannedKinds are all other disruptions.
var unplannedKinds = []StepKind{
	GatewayKill, GatewayPause, StoreLeasesExpire, StoreLinkCut, StoreLinkHoldOut, StoreLinkHoldBack, StoreLinkSilent,
	EndpointCrash, EndpointSlow, EndpointReset, EndpointCut, EndpointHoldBack, EndpointSilent, EndpointDelay,
	CallersReset, CallersSilent,
}

// Step is one step of a plan: a disruption or an action of the operator.
type Step struct {
	At       time.Duration // from the start of the plan
	Duration time.Duration // time until the step ends its fault; some kinds ignore it
	Kind     StepKind
	Target   int // index of the gateway or endpoint, taken modulo their number
}

// String implements fmt.Stringer.
func (s Step) String() string {
	return fmt.Sprintf("%s %s for %s, target %d", s.At.Round(time.Millisecond), s.Kind, s.Duration.Round(time.Millisecond), s.Target)
}

// variant reports whether a step has variant n, from 0 to 2.
func (s Step) variant(n int) bool { return s.Target>>(7+n)&1 == 1 }

// Parameters of a plan.
const (
	firstStep        = 500 * time.Millisecond // time before the first step
	meanStepInterval = 700 * time.Millisecond // on average; short enough for steps to overlap
	minStepDuration  = 100 * time.Millisecond // shortest step
	maxStepDuration  = 2 * time.Second        // longest step
	seriesLength     = 3                      // steps in a series of the same kind
	seriesInterval   = 150 * time.Millisecond // between the steps of a series
	seriesOneIn      = 5                      // one step in seriesOneIn begins a series
	addedInterval    = 2 * time.Second        // between steps of the added kinds, on average
	streamInterval   = 1 * time.Second        // between steps of streamKinds, on average
	stopInterval     = 2 * time.Second        // between steps of stopKinds, on average
	headInterval     = 2 * time.Second        // between steps of headKinds, on average
	weightInterval   = 1 * time.Second        // between steps of weightKinds, on average
	cacheInterval    = 1 * time.Second        // between steps of cacheKinds, on average
	fleetInterval    = 4 * time.Second        // between steps that end all gateways, on average
	firstFleetStep   = 2 * time.Second        // before it, hardly any stream has begun
)

// NewPlan returns the steps that a seed gives for a run of the given duration, in
// order of time. A third of all seeds has planned steps only, and a third planned
// steps and disruptions of the store, so that the invariants that hold during these
// can be checked.
func NewPlan(seed uint64, duration time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds, addedKinds := slices.Clone(plannedKinds), slices.Clone(addedPlannedKinds)
	var laterKinds, latestKinds, newestKinds, endingKinds, ofStreams, ofHeads []StepKind
	switch rng.IntN(3) {
	case 1:
		kinds = append(kinds, storeKinds...)
		addedKinds = append(addedKinds, addedStoreKinds...)
	case 2:
		kinds = append(append(kinds, storeKinds...), unplannedKinds...)
		addedKinds = append(append(addedKinds, addedStoreKinds...), addedUnplannedKinds...)
		laterKinds, latestKinds, newestKinds, endingKinds = laterUnplannedKinds, latestUnplannedKinds, newestUnplannedKinds, fleetKinds
		ofStreams, ofHeads = streamKinds, headKinds
	}
	var steps []Step
	for at := firstStep; at < duration; at += meanStepInterval/2 + randDuration(rng, meanStepInterval) {
		s := Step{At: at, Duration: minStepDuration + randDuration(rng, maxStepDuration-minStepDuration), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 10)}
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
	steps = append(steps, stepsOfStream(seed, 1, duration, addedInterval, addedKinds)...)
	steps = append(steps, stepsOfStream(seed, 2, duration, addedInterval, laterKinds)...)
	steps = append(steps, stepsOfStream(seed, 3, duration, addedInterval, latestKinds)...)
	steps = append(steps, stepsOfStream(seed, 4, duration, addedInterval, newestPlannedKinds)...)
	steps = append(steps, stepsOfStream(seed, 5, duration, addedInterval, newestKinds)...)
	for _, s := range stepsOfStream(seed, 6, duration, fleetInterval, endingKinds) {
		if s.At >= firstFleetStep {
			steps = append(steps, s)
		}
	}
	steps = append(steps, stepsOfStream(seed, 7, duration, streamInterval, ofStreams)...)
	if hasStopSteps(seed) {
		steps = append(steps, stepsOfStream(seed, 8, duration, stopInterval, stopKinds)...)
	}
	steps = append(steps, stepsOfStream(seed, 10, duration, headInterval, ofHeads)...)
	if hasWeightSteps(seed) {
		return withWeightSteps(steps, seed, duration)
	}
	return inOrder(steps)
}

// inOrder sorts steps by time.
func inOrder(steps []Step) []Step {
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// withWeightSteps returns steps and those of weightKinds, in order of time.
func withWeightSteps(steps []Step, seed uint64, duration time.Duration) []Step {
	return inOrder(append(steps, stepsOfStream(seed, 11, duration, weightInterval, weightKinds)...))
}

// withCacheSteps returns steps and those of cacheKinds, in order of time.
func withCacheSteps(steps []Step, seed uint64, duration time.Duration) []Step {
	return inOrder(append(steps, stepsOfStream(seed, 13, duration, cacheInterval, cacheKinds)...))
}

// hasCacheStore reports whether a run with CacheSteps has a cache store. Half of them do: without
// one, engines fetch from each other.
func hasCacheStore(seed uint64) bool { return rand.New(rand.NewPCG(seed, 14)).IntN(2) == 0 }

// hasStopSteps reports whether the run of a seed has steps of stopKinds, and late callers. Half of
// all runs do, so that the others go on as before these kinds came.
func hasStopSteps(seed uint64) bool { return rand.New(rand.NewPCG(seed, 9)).IntN(2) == 0 }

// hasWeightSteps reports whether the run of a seed has steps of weightKinds. A quarter of all runs
// do.
func hasWeightSteps(seed uint64) bool { return rand.New(rand.NewPCG(seed, 12)).IntN(4) == 0 }

// stepsOfStream returns steps of the given kinds at the mean interval, drawn from a stream of
// random numbers of its own.
func stepsOfStream(seed, stream uint64, duration, interval time.Duration, kinds []StepKind) []Step {
	if len(kinds) == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, stream))
	var steps []Step
	for at := firstStep; at < duration; at += interval/2 + randDuration(rng, interval) {
		steps = append(steps, Step{
			At: at, Duration: minStepDuration + randDuration(rng, maxStepDuration-minStepDuration),
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 10),
		})
	}
	return steps
}

// randDuration draws a duration of at least 0 and less than d.
func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
