package place

import "math"

// enginesPerShard is the number of engines from which a service has one more shard. An
// owner that chooses among that many hardly ever finds all of them busy while those of
// other shards are idle.
const enginesPerShard = 16

// ShardCount returns the number of shards of a service, at least 1.
//
// Load pattern: many instances that each place a few heavy prompts a second. What they
// hear of each other's placements is as old as an engine takes to prefill such a prompt,
// so that two prompts often meet at one engine while others are idle. The instance that
// places all heavy prompts of a shard knows which engines are busy, and also that a
// session's prompt is being prefilled.
func ShardCount(engines int) int {
	return max(int(math.Round(float64(engines)/enginesPerShard)), 1)
}

// ShardOf returns the shard of a session, from 0 on.
func ShardOf(sessionHash uint64, shards int) int {
	return int(rendezvousWeight(sessionHash, shardSeed) % uint64(shards))
}

// InShard reports whether an engine belongs to a shard. rank is the engine's rank, from
// 0 on, in an order of the service's engines that all instances share. Engines of
// neighbouring ranks belong to different shards, so that each shard has its part of both
// pools of a WorkSplit.
func InShard(rank, shard, shards int) bool { return rank%shards == shard }

// ShardOwner returns the index of the instance that owns a shard of a service, by
// rendezvous hashing; instances holds the hashes of their names and is not empty.
func ShardOwner(serviceHash uint64, shard int, instances []uint64) int {
	key := rendezvousWeight(serviceHash, uint64(shard)+shardSeed)
	best, bestWeight := 0, uint64(0)
	for i, h := range instances {
		if w := rendezvousWeight(key, h); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// shardSeed keeps the hashes of shards apart from those of engines.
const shardSeed = 0x9e3779b97f4a7c15
