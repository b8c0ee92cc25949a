package place

import (
	"slices"
	"strconv"
	"time"
)

const (
	// SettleTime is how long an instance must have seen itself as the holder of a share
	// before it uses it. It is above MaxMemberAge, so that an instance that held the share
	// before has learnt of the change by then or has given up its shares.
	SettleTime = 5 * time.Second
	// MaxMemberAge is the age of the last confirmation of the list of live instances above
	// which an instance uses no share.
	MaxMemberAge = 4 * time.Second
	// maxMemberViews bounds the lists that are kept. If there are more changes in
	// SettleTime, no share is used until they end.
	maxMemberViews = 16
)

// Members holds the lists of live instances that were in force at an instance within the
// last SettleTime. It does no I/O; callers pass in the time. It is not safe for concurrent
// use.
//
// Load pattern: 90 instances before an endpoint that takes 9.5 requests a second. They learn
// at different times that instances have come or gone, and some are out of contact with the
// store. Were each to send by its latest list, two instances could use the same share, and
// all of a fleet that starts could take themselves for one of a few.
//
// Invariant: an instance uses a share only if it follows from each of the lists, the first of
// which was in force SettleTime ago. Shares shrink at once and grow after SettleTime.
type Members struct {
	views   []memberView // the oldest first
	changes int          // of views
}

// memberView is a list of live instances, in force from a time until that of the next one.
type memberView struct {
	names []string
	since time.Time
}

// Set records the names of the live instances from now on.
func (m *Members) Set(names []string, now time.Time) {
	m.changes++
	m.views = append(m.views, memberView{names: slices.Clone(names), since: now})
	if len(m.views) > maxMemberViews {
		m.views = slices.Delete(m.views, 0, 1)
	}
}

// settled returns the lists that were in force within the last SettleTime, nil if the first
// of them has been in force for less.
func (m *Members) settled(now time.Time) []memberView {
	begin := now.Add(-SettleTime)
	for len(m.views) > 1 && !m.views[1].since.After(begin) {
		m.changes++
		m.views = slices.Delete(m.views, 0, 1)
	}
	if len(m.views) == 0 || m.views[0].since.After(begin) {
		return nil
	}
	return m.views
}

// Epoch returns a number that changes when the shares that follow from the lists may change.
func (m *Members) Epoch(now time.Time) int {
	settled := 0
	if m.settled(now) != nil {
		settled = 1
	}
	return 2*m.changes + settled
}

// holderRank returns the position of self among the instances by their rendezvous weights
// for an endpoint, from 0 on, and whether self is one of them.
func holderRank(endpoint uint64, instances []string, self string) (rank int, known bool) {
	key := strconv.FormatUint(endpoint, 16) + "\x00"
	own := Hash(key + self)
	for _, name := range instances {
		known = known || name == self
		if Hash(key+name) > own {
			rank++
		}
	}
	return rank, known
}
