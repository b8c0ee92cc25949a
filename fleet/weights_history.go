package fleet

import (
	"slices"
	"time"
)

// maxWantedVersions bounds the number of versions of a model's weights that are kept. It is
// more than are set within the time for which outdated weights may be used.
const maxWantedVersions = 16

// wantedVersion is a version of a model's weights that was wanted, and the earliest time at
// which it can have been set.
type wantedVersion struct {
	version int64
	since   time.Time
}

// weightsHistory holds the versions of a model's weights that were wanted, by ascending
// version. A slice is never modified once it is in a Snapshot.
//
// Load pattern: new weights are set every few seconds, faster than all engines load them. An
// engine that has missed several versions is outdated since the first of them.
type weightsHistory []wantedVersion

// with returns the history with a version that is newer than all in it.
//
// If there are too many, the two oldest become one with the version of the later and the time
// of the earlier: engines that lack only the later count as outdated for longer than they
// are, never for less.
func (h weightsHistory) with(version int64, since time.Time) weightsHistory {
	next := append(slices.Clone(h), wantedVersion{version, since})
	if len(next) > maxWantedVersions {
		next[1].since = next[0].since
		next = next[1:]
	}
	return next
}

// outdatedSince returns the earliest time at which a version newer than the given one can have
// been set. It reports false if none was.
func (h weightsHistory) outdatedSince(version int64) (since time.Time, outdated bool) {
	for _, w := range h {
		if w.version > version {
			return w.since, true
		}
	}
	return time.Time{}, false
}

// OutdatedSince returns since when a version of a model's weights is outdated, that is, the
// earliest time at which the first newer version can have been set. It reports false if no
// newer version is wanted.
func (s *Snapshot) OutdatedSince(model string, version int64) (since time.Time, outdated bool) {
	if version >= s.WantedWeights[model] {
		return time.Time{}, false
	}
	return s.weightsHistory[model].outdatedSince(version)
}
