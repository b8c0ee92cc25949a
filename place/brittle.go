package place

import (
	"strconv"
	"time"
)

// PlaceShare returns how many requests an instance may have at a brittle endpoint at a time:
// its part of the endpoint's slots, so that all instances together never send one that finds
// no room. What cannot be divided goes to the instances with the highest rendezvous weights.
// endpoint is the hash of the endpoint's incarnation.
//
// Load pattern: an endpoint falls over if it turns away more than a few requests in a second.
// Instances that each look for room as they know it, a moment late, turn up together, and the
// load of one that has fallen over fells the next.
func PlaceShare(endpoint uint64, instances []string, self string, slots int) int {
	n := max(len(instances), 1)
	share := slots / n
	key := strconv.FormatUint(endpoint, 16) + "\x00"
	own, rank := Hash(key+self), 0
	for _, name := range instances {
		if Hash(key+name) > own {
			rank++
		}
	}
	if rank < slots%n {
		share++
	}
	return share
}

const (
	minRefusalPause = time.Second
	maxRefusalPause = 10 * time.Second
)

// RefusalPause returns how long an instance leaves a brittle endpoint alone that has turned a
// request away, so that all instances together do not have more requests turned away than
// the endpoint bears.
func RefusalPause(instances int, refusalsPerSecond float64) time.Duration {
	if refusalsPerSecond <= 0 {
		return maxRefusalPause
	}
	pause := Duration(float64(max(instances, 1)) / refusalsPerSecond)
	return min(max(pause, minRefusalPause), maxRefusalPause)
}
