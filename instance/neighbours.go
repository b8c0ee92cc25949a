package instance

import (
	"cmp"
	"slices"
	"time"

	"redwingknot/instance/instancepb"
)

// ring returns the instances of this data centre that have not failed, sorted by
// their position on the ring. The slice is cached; callers must not modify it.
func (v *view) ring() []*record {
	if v.ringGeneration == v.generation && v.ringCache != nil {
		return v.ringCache
	}
	var list []*record
	for _, r := range v.records {
		if v.isLocal(r) && r.state != stateFailed {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		if c := cmp.Compare(a.ringPosition, b.ringPosition); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	v.ringCache, v.ringGeneration = list, v.generation
	return list
}

// targetOf returns the target for a heartbeat to the instance of r.
func (v *view) targetOf(r *record) target {
	return target{id: r.ID, incarnation: r.Incarnation, addr: r.Addr, local: v.isLocal(r)}
}

// probeTargets returns the targets to probe in this round.
func (v *view) probeTargets(now time.Time) []target {
	ring := v.ring()
	list := v.successors(ring)
	if v.round%fingerProbeRounds == 0 {
		list = v.addFinger(list, ring)
	}
	list = append(list, v.remoteTargets(now, ring)...)
	if v.round%rejoinProbeRounds == 0 || !v.announced {
		list = v.addRejoinTarget(list)
	}
	return list
}

// successors returns the next instance on the ring that is alive and the suspects
// before it, at most maxSuccessorProbes in all. Probing on beyond suspects makes
// sure that every instance is probed, even behind several that have failed in a
// row.
func (v *view) successors(ring []*record) []target {
	selfIndex := slices.Index(ring, v.self)
	var list []target
	for i := 1; i < len(ring) && i <= maxSuccessorProbes; i++ {
		next := ring[(selfIndex+i)%len(ring)]
		list = append(list, v.targetOf(next))
		if next.state == stateAlive {
			break
		}
	}
	return list
}

// addFinger adds one of the instances at distances 2, 4, 8, … on the ring, a
// different one each time in turn. These probes keep the number of hops that an
// update takes logarithmic in the size of the ring.
func (v *view) addFinger(list []target, ring []*record) []target {
	fingerCount := 0
	for d := 2; d < len(ring); d *= 2 {
		fingerCount++
	}
	if fingerCount == 0 {
		return list
	}
	distance := 2 << (v.round / fingerProbeRounds % fingerCount)
	finger := ring[(slices.Index(ring, v.self)+distance)%len(ring)]
	return append(list, v.targetOf(finger))
}

// remoteTargets returns the targets in other data centres. Each other data centre
// is probed by a fixed number of instances of this one, remoteProbersPerDataCentre,
// whatever the sizes of the two.
func (v *view) remoteTargets(now time.Time, ring []*record) []target {
	var list []target
	for dc, remotes := range v.remoteRecords() {
		if (v.round+int(RendezvousScore("phase", dc)%remoteProbeRounds))%remoteProbeRounds != 0 || !v.isRemoteProber(dc, ring) {
			continue
		}
		list = append(list, v.targetOf(v.remoteTarget(now, dc, remotes)))
	}
	slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	return list
}

// remoteRecords returns the instances of other data centres that have not
// failed, by data centre.
func (v *view) remoteRecords() map[string][]*record {
	groups := map[string][]*record{}
	for _, r := range v.records {
		if !v.isLocal(r) && r.state != stateFailed {
			groups[r.DataCentre] = append(groups[r.DataCentre], r)
		}
	}
	return groups
}

// isRemoteProber reports whether this instance is among those that probe dc.
func (v *view) isRemoteProber(dc string, ring []*record) bool {
	ownScore := RendezvousScore(dc, v.self.ID)
	higherScores := 0
	for _, r := range ring {
		if RendezvousScore(dc, r.ID) > ownScore && r.state == stateAlive {
			higherScores++
		}
	}
	return higherScores < remoteProbersPerDataCentre
}

// remoteTarget returns the instance of dc to probe: always the same one if dc was
// heard from in the last two probe intervals, and a random one otherwise.
func (v *view) remoteTarget(now time.Time, dc string, remotes []*record) *record {
	slices.SortFunc(remotes, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	if now.Sub(v.lastContact[dc]) > 2*remoteProbeRounds*heartbeatInterval {
		return remotes[v.rand.IntN(len(remotes))]
	}
	return slices.MaxFunc(remotes, func(a, b *record) int {
		return cmp.Compare(RendezvousScore(v.self.ID, a.ID), RendezvousScore(v.self.ID, b.ID))
	})
}

// addRejoinTarget adds a random address at which a failed or not yet known
// instance may run. After a network partition only these probes bring the parts
// together again.
func (v *view) addRejoinTarget(list []target) []target {
	var candidates []target
	knownAddrs := map[string]bool{v.self.Addr: true}
	for _, r := range v.records {
		if r.state != stateFailed {
			knownAddrs[r.Addr] = true
		}
	}
	for _, addr := range v.seeds {
		if !knownAddrs[addr] {
			candidates = append(candidates, target{addr: addr, local: true})
			knownAddrs[addr] = true
		}
	}
	for _, r := range v.records {
		if r.state == stateFailed && !knownAddrs[r.Addr] {
			candidates = append(candidates, v.targetOf(r))
		}
	}
	if len(candidates) == 0 {
		return list
	}
	slices.SortFunc(candidates, func(a, b target) int { return cmp.Compare(a.addr+a.id, b.addr+b.id) })
	return append(list, candidates[v.rand.IntN(len(candidates))])
}

// bucketDigests returns the digest of each bucket of the view. Failed instances
// are left out.
func (v *view) bucketDigests() []uint64 {
	sums := make([]uint64, bucketCount)
	for _, r := range v.records {
		if r.state != stateFailed {
			sums[r.bucket] ^= r.contentDigest
		}
	}
	return sums
}

// digest returns the digest of the whole view. Failed instances are left out.
func (v *view) digest() uint64 {
	var sum uint64
	for _, r := range v.records {
		if r.state != stateFailed {
			sum ^= r.contentDigest
		}
	}
	return sum
}

// differingRecords returns the records of the buckets whose digests differ from
// theirs; none if theirs has another number of buckets.
func (v *view) differingRecords(theirs []uint64) []*instancepb.Record {
	if len(theirs) != bucketCount {
		return nil
	}
	mine := v.bucketDigests()
	var list []*instancepb.Record
	for _, r := range v.records {
		if mine[r.bucket] != theirs[r.bucket] {
			list = append(list, r.encode())
		}
	}
	return list
}
