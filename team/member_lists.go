package team

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// teamID is the hash of a team's name. It identifies the team in messages.
type teamID uint64

// hashTeamName returns the ID of the team with the given name.
func hashTeamName(name string) teamID { return teamID(xxhash.Sum64String(name)) }

// memberList is one version of the list of members.
type memberList struct {
	members    []string  // sorted names
	replacedAt time.Time // when the next version replaced it; zero for the current one
}

// home returns the team's home by rendezvous hashing: the member with the highest
// hash of its name and the team's ID, or "" if the list is empty.
func (l *memberList) home(id teamID) string {
	var home string
	var highest uint64
	for _, m := range l.members {
		hash := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m), uint64(id)))
		if home == "" || hash > highest || hash == highest && m < home {
			home, highest = m, hash
		}
	}
	return home
}

// memberLists holds the current list of members and those that were replaced within
// the retention time, because other members may still use an earlier list.
type memberLists struct {
	retention time.Duration // Config.HomeDelay
	lists     []memberList  // oldest first; the last one is current
}

// update makes members the current list, if it has changed, and removes the lists
// that were replaced longer than the retention time ago.
func (l *memberLists) update(members []string, now time.Time) {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	if n := len(l.lists); n == 0 || !slices.Equal(l.lists[n-1].members, sorted) {
		if n > 0 {
			l.lists[n-1].replacedAt = now
		}
		l.lists = append(l.lists, memberList{members: sorted})
	}
	expired := 0
	for expired < len(l.lists)-1 && now.Sub(l.lists[expired].replacedAt) > l.retention {
		expired++
	}
	l.lists = l.lists[expired:]
}

// home returns the team's home according to the current list.
func (l *memberLists) home(id teamID) string { return l.lists[len(l.lists)-1].home(id) }

// isSoleHome reports whether self is the team's home in all lists of the retention
// time. If so, no other member can consider itself the home, and no lease of an
// earlier home can be in use.
func (l *memberLists) isSoleHome(id teamID, self string) bool {
	for i := range l.lists {
		if l.lists[i].home(id) != self {
			return false
		}
	}
	return true
}

// maxSize returns the largest number of members in any list of the retention time,
// at least 1.
func (l *memberLists) maxSize() int {
	n := 1
	for i := range l.lists {
		n = max(n, len(l.lists[i].members))
	}
	return n
}
