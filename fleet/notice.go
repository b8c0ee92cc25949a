package fleet

import "time"

// Notice is what a response of an endpoint says about further calls to it.
type Notice struct {
	Leaving bool          // it is about to stop
	Pause   time.Duration // it wants no calls from this instance for so long; 0 for none
	Limit   RateLimit     // how many requests it takes
}

// RateLimit is the rate of requests that an endpoint takes from all instances together.
type RateLimit struct {
	Named     bool // there is a limit
	PerSecond float64
}
