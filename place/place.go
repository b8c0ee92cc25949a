package place

import "github.com/cespare/xxhash/v2"

// Candidate is an endpoint that may run a request.
type Candidate struct {
	Hash     uint64  // Hash of the endpoint's identifier
	Running  int     // requests that it is running, from all instances
	Slots    int     // requests that it can run at once
	Local    bool    // whether it is in this instance's data centre
	Slowness float64 // its time per request relative to the usual time of the service, 1 being usual
}

// remotePenalty is the number of requests added to the load of an endpoint in
// another data centre. A local endpoint may run that many more before a remote
// one is preferred: reaching another data centre takes a few milliseconds, while
// a request usually takes some tens of milliseconds.
const remotePenalty = 2

// Hash returns the 64-bit xxHash of an identifier.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// RendezvousWeight returns the rendezvous hashing weight of an endpoint for a
// key, which is the hash of a session or of a request.
func RendezvousWeight(key, endpoint uint64) uint64 {
	x := key ^ endpoint
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// load returns the requests per slot that LeastLoaded compares, the new request included.
func (c *Candidate) load() float64 {
	load := float64(c.Running)
	if !c.Local {
		load += remotePenalty
	}
	return (load + 1) * max(c.Slowness, 1) / float64(max(c.Slots, 1))
}

// LeastLoaded returns the index of the candidate with the fewest requests per
// slot, the new request included, or -1 if there are no candidates. It takes the
// candidates' slowness and data centres into account.
//
// Load pattern: short requests of about equal cost that any endpoint can run.
// Ties are broken by a hash of the request, so that instances that know the same
// loads choose different endpoints.
func LeastLoaded(candidates []Candidate, requestHash uint64) int {
	best, bestLoad, bestTie := -1, 0.0, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		load := c.load()
		tie := RendezvousWeight(requestHash, c.Hash)
		if best < 0 || load < bestLoad || load == bestLoad && tie > bestTie {
			best, bestLoad, bestTie = i, load, tie
		}
	}
	return best
}
