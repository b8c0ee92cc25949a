package slots

import (
	"cmp"
	"slices"
	"strconv"

	"redwingknot/place"
)

const (
	// maxGroupSlots bounds the slots that one coordinator grants, and so its processor time: 48
	// slots of calls of 60 ms make 800 calls a second, below maxCallsPerSecond.
	maxGroupSlots = 48
	// maxGroups bounds the groups that other instances may name.
	maxGroups = 64
)

// Group is a part of the endpoints of a service whose slots one coordinator grants.
type Group struct {
	Service string
	Index   int // from 0 on
	Count   int // groups of the service, at least 1
}

// valid reports whether a group that another instance names can exist.
func (g Group) valid() bool {
	return g.Service != "" && g.Count >= 1 && g.Count <= maxGroups && g.Index >= 0 && g.Index < g.Count
}

// GroupCount returns into how many groups the endpoints of a service with the given number of
// slots are split.
func GroupCount(slots int) int {
	return min(max((slots+maxGroupSlots-1)/maxGroupSlots, 1), maxGroups)
}

// GroupOf returns the index of the group, of count, that the endpoint or request with the given hash belongs
// to. Rendezvous hashing moves few endpoints when count changes.
func GroupOf(hash uint64, count int) int {
	best := 0
	for i := 1; i < count; i++ {
		if groupWeight(hash, i) > groupWeight(hash, best) {
			best = i
		}
	}
	return best
}

func groupWeight(hash uint64, index int) uint64 {
	return place.RendezvousWeight(hash, place.Hash("group\x00"+strconv.Itoa(index)))
}

// maxCandidates is the number of instances that are asked to coordinate a group, one after
// the other.
const maxCandidates = 3

// Coordinators returns the instances that may coordinate a group, in the order in which they are
// asked: those with more processor time go before others. All instances that know of the same
// ones return the same ones.
func Coordinators(g Group, instances, preferred []string) []string {
	key := place.Hash("slots\x00" + g.Service + "\x00" + strconv.Itoa(g.Index))
	weights := make(map[string]uint64, len(instances))
	for _, name := range instances {
		weights[name] = place.RendezvousWeight(key, place.Hash(name))
	}
	isPreferred := func(name string) bool { return slices.Contains(preferred, name) }
	order := slices.Clone(instances)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(compareBool(isPreferred(b), isPreferred(a)), cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return order[:min(len(order), maxCandidates)]
}

// compareBool compares two values, of which false is the lower one.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
