package place

import "github.com/cespare/xxhash/v2"

// Candidate is an endpoint that may run the request.
type Candidate struct {
	Hash     uint64  // of its identifier
	Running  int     // requests there of all instances
	Slots    int     // requests that it runs at once
	Local    bool    // in the instance's data centre
	Slowness float64 // its time for a request relative to the service's, 1 is usual
}

// remotePenalty is how many more requests a local endpoint may run before one
// of another data centre is preferred: crossing costs a few milliseconds of
// the usual tens that a request takes.
const remotePenalty = 2

// Hash returns the hash of an identifier.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// weight is the rendezvous weight of an endpoint for a session.
func weight(session, endpoint uint64) uint64 {
	x := session ^ endpoint
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// LeastLoaded chooses the endpoint with the fewest requests for each of its
// slots.
//
// Load pattern: short requests of about equal cost, where any endpoint will do.
// Ties are broken by a hash of the request, so that instances with the same
// view choose differently.
func LeastLoaded(list []Candidate, request uint64) int {
	best, bestLoad, bestTie := -1, 0.0, uint64(0)
	for i := range list {
		c := &list[i]
		load := float64(c.Running)
		if !c.Local {
			load += remotePenalty
		}
		load = (load + 1) * max(c.Slowness, 1) / float64(max(c.Slots, 1))
		tie := weight(request, c.Hash)
		if best < 0 || load < bestLoad || load == bestLoad && tie > bestTie {
			best, bestLoad, bestTie = i, load, tie
		}
	}
	return best
}
