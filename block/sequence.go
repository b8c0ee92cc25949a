package block

import (
	"slices"
	"time"
)

// sequence follows the change numbers of one partition at one store. Numbers
// may arrive out of order; one that stays away is a change not heard of, and
// the partition has to be listed.
type sequence struct {
	last     uint64    // all changes up to here are known
	ahead    []uint64  // known changes beyond a gap, ascending
	gapSince time.Time // when the oldest gap was first seen, zero without a gap
	listFor  bool      // a listing is wanted whether or not there is a gap
}

// seen records a change number.
func (s *sequence) seen(now time.Time, seq uint64) {
	if seq <= s.last {
		return
	}
	if i, found := slices.BinarySearch(s.ahead, seq); !found {
		s.ahead = slices.Insert(s.ahead, i, seq)
	}
	s.advance(now)
}

// listed records that all changes up to seq are known from a listing.
func (s *sequence) listed(now time.Time, seq uint64) {
	s.listFor = false
	s.last = max(s.last, seq)
	s.gapSince = time.Time{}
	s.advance(now)
}

func (s *sequence) advance(now time.Time) {
	n := 0
	for n < len(s.ahead) && s.ahead[n] <= s.last+1 {
		s.last = max(s.last, s.ahead[n])
		n++
	}
	s.ahead = slices.Delete(s.ahead, 0, n)
	switch {
	case len(s.ahead) == 0:
		s.ahead, s.gapSince = nil, time.Time{}
	case s.gapSince.IsZero() || n > 0:
		s.gapSince = now
	}
}

// wantsListing reports whether a gap has lasted for grace.
func (s *sequence) wantsListing(now time.Time, grace time.Duration) bool {
	return s.listFor || (!s.gapSince.IsZero() && now.Sub(s.gapSince) >= grace)
}

// highest returns the highest change number known.
func (s *sequence) highest() uint64 {
	if n := len(s.ahead); n > 0 {
		return s.ahead[n-1]
	}
	return s.last
}
