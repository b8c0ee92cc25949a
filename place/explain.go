package place

import "slices"

// Standing is how an endpoint stands towards a request: whether it may run the request now, and
// if not, why. The zero value is that of an endpoint that may run it.
type Standing uint8

// Values of Standing. The first ones are by preference: an endpoint with a later one of these
// gets the request only if there is none with an earlier one.
const (
	MayRun    Standing = iota
	Tried              // the request was sent there before
	Departing          // it has announced that it leaves, and still serves
	Unhealthy          // its connections or responses fail
	Dark               // other instances could not reach it, and this one has not lately

	// No request is sent there at present.
	HeldForOthers // waiting requests ahead could use it
	Pausing       // it has asked for a pause, or gets one request at a time after it
	Rejecting     // it has rejected a request lately
	OverLimit     // this instance's share of the limit that it names is used up
	Cold          // it is cold, and this instance's share of the rate that it bears is used up
	RampingUp     // this instance's share of its ramp-up is used up
	Brittle       // it is brittle, and this instance has no place left there

	// This request can't run there.
	Left         // it has left, or is about to end
	Replaced     // another endpoint or incarnation responds at its address
	Evacuated    // its data centre is being evacuated
	Excluded     // an attempt showed that it can't take the request, or others may have run it
	OtherVersion // it has another software version than the one that must run the request
	Unregistered // no resumable stream may begin at its software version yet
	NoWeights    // it has no weights of the model
	Loading      // it is loading weights of the model, or about to
	OldWeights   // its weights of the model are too old
	standings    // number of values
)

var standingNames = [standings]string{
	"candidate", "tried", "leaving", "unhealthy", "dark",
	"held-for-requests-ahead", "pause", "rejected-lately", "limit", "cold-without-share", "ramping-up", "brittle",
	"left", "replaced", "evacuated", "excluded", "other-software-version", "unregistered-version", "no-weights", "loading-weights", "old-weights",
}

// String returns the name of the standing, as it is in explanations.
func (s Standing) String() string {
	if s >= standings {
		return "unknown"
	}
	return standingNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Standing) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A name that is not known, such as one of a
// newer version, is an *UnknownStandingError.
func (s *Standing) UnmarshalText(text []byte) error {
	i := slices.Index(standingNames[:], string(text))
	if i < 0 {
		return &UnknownStandingError{Name: string(text)}
	}
	*s = Standing(i)
	return nil
}

// UnknownStandingError reports a name of no Standing.
type UnknownStandingError struct{ Name string }

// Error implements error.
func (e *UnknownStandingError) Error() string { return "no standing is named " + e.Name }

// Busy reports whether the endpoint could run the request but for its present state, which may
// end soon.
func (s Standing) Busy() bool { return s >= HeldForOthers && s <= Brittle }

// Terms are the terms of the cost of a placement. Those of an engine are in tokens that it
// prefills meanwhile; Cost is their sum. For an endpoint without an engine, Load is the number of
// requests per slot, and the terms are 0.
type Terms struct {
	Base           int     `json:"base,omitempty"`
	Pending        int     `json:"pending"`                // prompts that the engine still has to prefill
	Uncached       int     `json:"uncached"`               // part of this prompt that it would have to prefill
	Fetch          int     `json:"fetch"`                  // fetches of cached parts
	ExcessRequests int     `json:"excess_requests"`        // wait for a slot
	ExcessMemory   int     `json:"excess_memory"`          // wait for memory
	Slowness       float64 `json:"slowness"`               // what it costs that the engine is slower than usual
	Remote         int     `json:"remote"`                 // another data centre
	Cost           float64 `json:"cost"`                   // sum of the terms above
	Interference   float64 `json:"interference,omitempty"` // cost imposed on other streams, by which engines are compared that are in time
	Running        int     `json:"running"`
	Slots          int     `json:"slots"`
	Load           float64 `json:"load,omitempty"`
}

// Terms returns the terms of Cost and, with surroundings, the interference.
func (e *Engine) Terms(s *Surroundings) Terms {
	t := Terms{
		Base: baseCostTokens, Pending: e.PendingTokens, Uncached: e.UncachedTokens, Fetch: e.FetchCost,
		ExcessRequests: e.excessRequestCost(), ExcessMemory: e.excessMemoryCost(), Cost: e.Cost(), Running: e.Running, Slots: e.Slots,
	}
	if !e.Local {
		t.Remote = remoteCostTokens
	}
	usual := t.Base + t.Pending + t.Uncached + t.Fetch + t.ExcessRequests + t.ExcessMemory
	t.Slowness = t.Cost - float64(usual+t.Remote)
	if s != nil {
		t.Interference = e.Interference(s)
	}
	return t
}

// Terms returns the load by which LeastLoaded compares candidates.
func (c *Candidate) Terms() Terms {
	return Terms{Running: c.Running, Slots: c.Slots, Load: c.load()}
}

// Ground is why an endpoint was chosen among the candidates.
type Ground string

// Values of Ground.
const (
	OnlyCandidate    Ground = "only-candidate"
	LowestCost       Ground = "lowest-cost"
	SessionEngine    Ground = "engine-of-session"    // among those of about the lowest cost, it is the session's
	EnoughMemory     Ground = "enough-memory"        // cheaper ones lack memory for the request
	LessInterference Ground = "avoids-interference"  // ChooseEngine's choice would disturb streams
	LowestLoad       Ground = "lowest-load"          // of a service without engines
	EarlierWaiting   Ground = "others-wait-for-room" // none was chosen: it is not the request's turn
	NoCandidate      Ground = "no-candidate"         // none was chosen: no endpoint may run it now
	NotAdmitted      Ground = "prompt-not-admitted"  // none was chosen: the prompts that the best engine has take too long
	HeldByShare      Ground = "others-more-urgent"   // none was chosen: more urgent requests wait at other instances
)

// ChoiceGround returns why an engine was chosen, given whether AvoidInterference changed the
// choice.
func ChoiceGround(engines []Engine, chosen int, avoided bool) Ground {
	if len(engines) == 1 {
		return OnlyCandidate
	}
	if avoided {
		return LessInterference
	}
	cost := engines[chosen].Cost()
	ground := LowestCost
	for i := range engines {
		switch other := engines[i].Cost(); {
		case other >= cost:
		case engines[chosen].hasMemory() && !engines[i].hasMemory():
			if ground == LowestCost {
				ground = EnoughMemory
			}
		default:
			ground = SessionEngine
		}
	}
	return ground
}
