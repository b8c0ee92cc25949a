package fleet

import "time"

// Notice is what a response of an endpoint says about further calls to it.
type Notice struct {
	Leaving bool          // it is about to stop
	Pause   time.Duration // it wants no calls from this instance for so long; 0 for none
}
