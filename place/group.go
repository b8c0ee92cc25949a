package place

import "math"

// enginesPerGroup is the number of engines from which a service has one more placement
// group. An owner that chooses among that many hardly ever finds all of them busy while
// those of other groups are idle.
const enginesPerGroup = 16

// GroupCount returns the number of placement groups of a service, at least 1. Each group
// is a part of the service's sessions and of its engines; the instance that owns it
// places the heavy prompts of these sessions at these engines.
//
// Load pattern: many instances that each place a few heavy prompts a second. What they
// hear of each other's placements is as old as an engine takes to prefill such a prompt,
// so that two prompts often meet at one engine while others are idle. The instance that
// places all heavy prompts of a group knows which engines are busy, and also that a
// session's prompt is being prefilled.
func GroupCount(engines int) int {
	return max(int(math.Round(float64(engines)/enginesPerGroup)), 1)
}

// GroupOf returns the placement group of a session, from 0 on.
func GroupOf(sessionHash uint64, groups int) int {
	return int(rendezvousWeight(sessionHash, groupSeed) % uint64(groups))
}

// InGroup reports whether an engine belongs to a placement group. rank is the engine's rank, from
// 0 on, in an order of the service's engines that all instances share. Engines of
// neighbouring ranks belong to different groups, so that each group has its part of both
// pools of a WorkSplit.
func InGroup(rank, group, groups int) bool { return rank%groups == group }

// GroupOwner returns the index of the instance that owns a placement group of a service, by
// rendezvous hashing; instances holds the hashes of their names and is not empty.
func GroupOwner(serviceHash uint64, group int, instances []uint64) int {
	key := rendezvousWeight(serviceHash, uint64(group)+groupSeed)
	best, bestWeight := 0, uint64(0)
	for i, h := range instances {
		if w := rendezvousWeight(key, h); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// groupSeed keeps the hashes of groups apart from those of engines.
const groupSeed = 0x9e3779b97f4a7c15
