package fleet

import "time"

// Notice is what a response of an endpoint says about further calls to it.
type Notice struct {
	Leaving bool          // it is about to stop
	Pause   time.Duration // it wants no calls from this instance for so long; 0 for none
	Limit   RateLimit     // how many requests it takes
	Brittle Brittleness   // how many requests it can turn away
}

// Brittleness says that an endpoint falls over if it turns away too many requests for want of
// room.
type Brittleness struct {
	Named             bool    // it is brittle
	RefusalsPerSecond float64 // how many it bears
}

// RateLimit is the rate of requests that an endpoint takes from all instances together.
type RateLimit struct {
	Named     bool // there is a limit
	PerSecond float64
}
