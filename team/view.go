package team

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// teamID is the hash of a team's name, its identity in messages.
type teamID uint64

func idOf(name string) teamID { return teamID(xxhash.Sum64String(name)) }

// view is one state of the member list.
type view struct {
	members []string
	until   time.Time // when it was replaced; the current one has none
}

// home returns the team's home: the member with the highest hash.
func (v *view) home(id teamID) string {
	var home string
	var best uint64
	for _, m := range v.members {
		w := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m), uint64(id)))
		if home == "" || w > best || w == best && m < home {
			home, best = m, w
		}
	}
	return home
}

// views holds the current member list and those replaced within hold. A list
// that differs may still be in force at other members.
type views struct {
	hold   time.Duration
	recent []view // oldest first, the last is current
}

// update takes in the list as of now.
func (v *views) update(members []string, now time.Time) {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	if n := len(v.recent); n == 0 || !slices.Equal(v.recent[n-1].members, sorted) {
		if n > 0 {
			v.recent[n-1].until = now
		}
		v.recent = append(v.recent, view{members: sorted})
	}
	keep := 0
	for keep < len(v.recent)-1 && now.Sub(v.recent[keep].until) > v.hold {
		keep++
	}
	v.recent = v.recent[keep:]
}

// home returns the team's home in the current list.
func (v *views) home(id teamID) string { return v.recent[len(v.recent)-1].home(id) }

// sole reports whether self has been the team's home in all lists of the last
// hold, so that no other member can hold itself for the home, and no lease of
// an earlier home can be in use.
func (v *views) sole(id teamID, self string) bool {
	for i := range v.recent {
		if v.recent[i].home(id) != self {
			return false
		}
	}
	return true
}

// size returns the largest number of members of the last hold.
func (v *views) size() int {
	n := 1
	for i := range v.recent {
		n = max(n, len(v.recent[i].members))
	}
	return n
}
