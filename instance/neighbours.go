package instance

import (
	"cmp"
	"slices"
	"time"

	"redwingknot/instance/instancepb"
)

// ring returns the instances of the own data centre that have not failed, in
// the order of their position. Callers must not change it.
func (v *view) ring() []*record {
	if v.ringOf == v.generation && v.ringCache != nil {
		return v.ringCache
	}
	var list []*record
	for _, r := range v.records {
		if v.isLocal(r) && r.state != stateFailed {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		if c := cmp.Compare(a.position, b.position); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	v.ringCache, v.ringOf = list, v.generation
	return list
}

func (v *view) targetOf(r *record) target {
	return target{id: r.ID, incarnation: r.Incarnation, addr: r.Addr, local: v.isLocal(r)}
}

// targets returns whom to probe in this round.
func (v *view) targets(now time.Time) []target {
	ring := v.ring()
	list := v.successors(ring)
	if v.round%fingerRounds == 0 {
		list = v.addFinger(list, ring)
	}
	list = append(list, v.links(now, ring)...)
	if v.round%rejoinRounds == 0 || !v.announced {
		list = v.addLost(list)
	}
	return list
}

// successors returns the next instance on the ring, and with it the suspects
// before it, so that a run of failed neighbours leaves nobody unwatched.
func (v *view) successors(ring []*record) []target {
	at := slices.Index(ring, v.self)
	var list []target
	for i := 1; i < len(ring) && i <= maxProbes; i++ {
		next := ring[(at+i)%len(ring)]
		list = append(list, v.targetOf(next))
		if next.state == stateAlive {
			break
		}
	}
	return list
}

// addFinger adds one of the instances at distances 2, 4, 8, … in turn: they
// keep the hops of an update logarithmic.
func (v *view) addFinger(list []target, ring []*record) []target {
	count := 0
	for d := 2; d < len(ring); d *= 2 {
		count++
	}
	if count == 0 {
		return list
	}
	distance := 2 << (v.round / fingerRounds % count)
	finger := ring[(slices.Index(ring, v.self)+distance)%len(ring)]
	return append(list, v.targetOf(finger))
}

// links returns the probes of other data centres. A fixed number of instances
// of this data centre probes each other one, whatever the sizes.
func (v *view) links(now time.Time, ring []*record) []target {
	var list []target
	for dc, remotes := range v.remotes() {
		if (v.round+int(RendezvousScore("phase", dc)%linkRounds))%linkRounds != 0 || !v.isLinker(dc, ring) {
			continue
		}
		list = append(list, v.targetOf(v.linkTarget(now, dc, remotes)))
	}
	slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	return list
}

// remotes groups the instances of other data centres.
func (v *view) remotes() map[string][]*record {
	groups := map[string][]*record{}
	for _, r := range v.records {
		if !v.isLocal(r) && r.state != stateFailed {
			groups[r.DataCentre] = append(groups[r.DataCentre], r)
		}
	}
	return groups
}

// isLinker reports whether this instance is among those that probe dc.
func (v *view) isLinker(dc string, ring []*record) bool {
	mine := RendezvousScore(dc, v.self.ID)
	above := 0
	for _, r := range ring {
		if RendezvousScore(dc, r.ID) > mine && r.state == stateAlive {
			above++
		}
	}
	return above < linksPerDataCentre
}

// linkTarget returns a fixed instance of dc while dc is in contact, and a
// random one otherwise.
func (v *view) linkTarget(now time.Time, dc string, remotes []*record) *record {
	slices.SortFunc(remotes, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	if now.Sub(v.contacts[dc]) > 2*linkRounds*heartbeatInterval {
		return remotes[v.rand.IntN(len(remotes))]
	}
	return slices.MaxFunc(remotes, func(a, b *record) int {
		return cmp.Compare(RendezvousScore(v.self.ID, a.ID), RendezvousScore(v.self.ID, b.ID))
	})
}

// addLost adds an address at which a lost or not yet known instance may be:
// after a cut nobody else leads the parts together.
func (v *view) addLost(list []target) []target {
	var lost []target
	known := map[string]bool{v.self.Addr: true}
	for _, r := range v.records {
		if r.state != stateFailed {
			known[r.Addr] = true
		}
	}
	for _, addr := range v.seeds {
		if !known[addr] {
			lost = append(lost, target{addr: addr, local: true})
			known[addr] = true
		}
	}
	for _, r := range v.records {
		if r.state == stateFailed && !known[r.Addr] {
			lost = append(lost, v.targetOf(r))
		}
	}
	if len(lost) == 0 {
		return list
	}
	slices.SortFunc(lost, func(a, b target) int { return cmp.Compare(a.addr+a.id, b.addr+b.id) })
	return append(list, lost[v.rand.IntN(len(lost))])
}

// bucketDigests returns the digests of the parts of the view.
func (v *view) bucketDigests() []uint64 {
	sums := make([]uint64, bucketCount)
	for _, r := range v.records {
		if r.state != stateFailed {
			sums[r.bucket] ^= r.sum
		}
	}
	return sums
}

// digest returns the digest of the whole view.
func (v *view) digest() uint64 {
	var sum uint64
	for _, r := range v.records {
		if r.state != stateFailed {
			sum ^= r.sum
		}
	}
	return sum
}

// differing returns the records of the parts in which the digests differ.
func (v *view) differing(theirs []uint64) []*instancepb.Record {
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
