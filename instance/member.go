package instance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is what other components see of one instance.
type Member struct {
	ID          string // unique among the instances that run at the same time
	Incarnation uint64 // increases with each start under the same ID
	DataCentre  string
	Addr        string // address of the instance's wire server
	Ready       bool   // the instance has a configuration and serves
	Leaving     bool   // the instance takes no new work
}

// ListedInstance is an instance in the platform's list, which may be out of date.
// Incarnation is zero if the platform doesn't know it.
type ListedInstance struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	Addr        string
	Leaving     bool
}

// RendezvousScore returns the rendezvous score of the member id for key. Of a set of
// members, the one with the highest score owns the key.
func RendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(id)
	d.Write([]byte{0})
	d.WriteString(key)
	return d.Sum64()
}

// RankByScore returns a copy of members sorted by descending rendezvous score for key.
func RankByScore(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		sa, sb := RendezvousScore(key, a.ID), RendezvousScore(key, b.ID)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return ranked
}

// Owner returns the member with the highest rendezvous score for key, or the
// zero Member if members is empty.
func Owner(key string, members []Member) Member {
	var best Member
	var bestScore uint64
	for _, m := range members {
		s := RendezvousScore(key, m.ID)
		if best.ID == "" || s > bestScore || s == bestScore && m.ID < best.ID {
			best, bestScore = m, s
		}
	}
	return best
}
