package block

import (
	"slices"
	"time"
)

// sequence tracks the change numbers of one partition at one store. A change is the seal
// or the free of a block; the store numbers the changes of each partition from 1.
// Numbers may arrive out of order. A number that stays missing is a change that the
// directory doesn't know, and the partition has to be listed.
type sequence struct {
	contiguousUpTo   uint64    // all changes up to this number are known
	beyondGap        []uint64  // numbers of known changes beyond the first gap, ascending
	gapSince         time.Time // when the first gap was noticed, zero without a gap
	listingRequested bool      // a listing is requested even without a gap
}

// recordChange records that the change with the given number is known.
func (s *sequence) recordChange(now time.Time, seq uint64) {
	if seq <= s.contiguousUpTo {
		return
	}
	if i, found := slices.BinarySearch(s.beyondGap, seq); !found {
		s.beyondGap = slices.Insert(s.beyondGap, i, seq)
	}
	s.advance(now)
}

// recordListing records that all changes up to seq are known from a listing, and that
// the requested listing is done.
func (s *sequence) recordListing(now time.Time, seq uint64) {
	s.listingRequested = false
	s.contiguousUpTo = max(s.contiguousUpTo, seq)
	s.gapSince = time.Time{}
	s.advance(now)
}

// advance moves contiguousUpTo over the numbers that now follow without a gap and
// updates the start of the remaining gap.
func (s *sequence) advance(now time.Time) {
	n := 0
	for n < len(s.beyondGap) && s.beyondGap[n] <= s.contiguousUpTo+1 {
		s.contiguousUpTo = max(s.contiguousUpTo, s.beyondGap[n])
		n++
	}
	s.beyondGap = slices.Delete(s.beyondGap, 0, n)
	switch {
	case len(s.beyondGap) == 0:
		s.beyondGap, s.gapSince = nil, time.Time{}
	case s.gapSince.IsZero() || n > 0:
		s.gapSince = now
	}
}

// wantsListing reports whether a listing was requested or a gap has lasted for at least
// grace.
func (s *sequence) wantsListing(now time.Time, grace time.Duration) bool {
	return s.listingRequested || (!s.gapSince.IsZero() && now.Sub(s.gapSince) >= grace)
}

// highest returns the highest known change number.
func (s *sequence) highest() uint64 {
	if n := len(s.beyondGap); n > 0 {
		return s.beyondGap[n-1]
	}
	return s.contiguousUpTo
}
