package origin

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/origin/originpb"
)

// Set is the set of software versions of a service at which resumable streams may be in
// progress, as all instances share it through the metadata store. A version is added before
// a resumable stream begins at it.
type Set struct {
	Versions []Version // at which streams may begin, in ascending order, without repetition
	// Retired holds versions at which no stream may begin any more, likewise. They were in
	// Versions before.
	Retired  []Version
	Complete bool // no stream in progress began at another version
	// Era is that of the metadata store in which the set was written. In a later era, the
	// set may be an older copy that lacks versions.
	Era int64
}

// maxSetVersions bounds the size of a set that is accepted. A service has one version, or
// two during a release.
const maxSetVersions = 64

// InvalidError reports a value of the metadata store that can't be used.
type InvalidError struct{ Detail string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid value: " + e.Detail }

// EncodeSet returns the value that holds a set.
func EncodeSet(s Set) ([]byte, error) {
	m := &originpb.Set{Complete: s.Complete, Era: s.Era}
	for _, v := range s.Versions {
		m.Versions = append(m.Versions, uint64(v))
	}
	for _, v := range s.Retired {
		m.Retired = append(m.Retired, uint64(v))
	}
	return proto.Marshal(m)
}

// DecodeSet returns the set that a value holds.
func DecodeSet(value []byte) (Set, error) {
	var m originpb.Set
	if err := proto.Unmarshal(value, &m); err != nil {
		return Set{}, &InvalidError{Detail: err.Error()}
	}
	if n := len(m.Versions) + len(m.Retired); n == 0 || n > maxSetVersions {
		return Set{}, &InvalidError{Detail: fmt.Sprintf("%d software versions", n)}
	}
	s := Set{Complete: m.Complete, Era: m.Era}
	for _, v := range m.Versions {
		s.Versions = append(s.Versions, Version(v))
	}
	for _, v := range m.Retired {
		s.Retired = append(s.Retired, Version(v))
	}
	return s.normalised(), nil
}

// normalised returns the set with its versions in order. One that is in both lists is not
// retired.
func (s Set) normalised() Set {
	s.Versions = ascending(s.Versions)
	s.Retired = slices.DeleteFunc(ascending(s.Retired), func(v Version) bool { return slices.Contains(s.Versions, v) })
	return s
}

// ascending returns the versions in ascending order, without repetition.
func ascending(versions []Version) []Version {
	versions = slices.Clone(versions)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Equal reports whether two sets are the same.
func (s Set) Equal(o Set) bool {
	return s.Complete == o.Complete && s.Era == o.Era && slices.Equal(s.Versions, o.Versions) && slices.Equal(s.Retired, o.Retired)
}

// All returns the versions at which streams may be in progress.
func (s Set) All() []Version { return slices.Concat(s.Versions, s.Retired) }

// Sole returns the version at which every resumable stream in progress has begun, and
// whether that follows from a set that was read after the request for the stream had
// arrived, in the given era of the store. seen holds the versions that the instance has seen
// among the endpoints of late: if one of them is not registered, streams may have begun at
// it while no endpoint had a registered version.
//
// Load pattern: all instances end at once, and callers take up streams of which no record is
// left. That only one version is listed then says nothing, because the endpoints of another
// may have left a moment ago.
func (s Set) Sole(era int64, seen []Version) (Version, bool) {
	all := s.All()
	if !s.Complete || s.Era != era || len(all) != 1 || all[0] == 0 {
		return 0, false
	}
	for _, v := range seen {
		if v != all[0] {
			return 0, false
		}
	}
	return all[0], true
}

// Observation is what an instance knows about the endpoints of a service.
type Observation struct {
	Seen []Seen // versions, and when the endpoints were last seen to have them
	// Registered holds since when this instance knows that the versions of the set are in
	// it, or that they are retired. Another one may have seen endpoints of which this one has
	// not heard yet.
	Registered map[Version]time.Time
	// KnownSince is from when on all versions are known: this instance, or one that has
	// told it, has been in touch with the metadata store without a break.
	KnownSince time.Time
	// Lifetime is the time after which no caller takes up a stream any more.
	Lifetime time.Duration
}

// NextSet returns what the set that is registered for a service should be in the given era
// of the store, and whether that differs from what it is. Versions that endpoints have had
// within half the lifetime of a stream are in it. Others are retired, then removed after the
// whole lifetime, and the set is complete, only if this instance knows of all versions within
// the lifetime.
//
// Load pattern: releases replace the endpoints one by one, and are taken back. Instances hear
// of that, and of what others have registered, at different times, up to half the lifetime.
// Without the step between, one could remove a version while another one, which has just
// heard of a new endpoint with it, lets a stream begin there.
func NextSet(old Set, era int64, o Observation, now time.Time) (next Set, changed bool) {
	from, half := now.Add(-o.Lifetime), now.Add(-o.Lifetime/2)
	knowsAll := !o.KnownSince.After(from)
	next = Set{Era: era, Complete: knowsAll || old.Complete && old.Era == era}
	for _, seen := range o.Seen {
		switch {
		case !seen.At.Before(half):
			next.Versions = append(next.Versions, seen.Version)
		case !seen.At.Before(from):
			next.Retired = append(next.Retired, seen.Version)
		}
	}
	if len(next.All()) == 0 {
		return old, false // a service without endpoints
	}
	for _, v := range old.Versions {
		if !knowsAll || o.Registered[v].After(half) {
			next.Versions = append(next.Versions, v)
		} else {
			next.Retired = append(next.Retired, v)
		}
	}
	for _, v := range old.Retired {
		if !knowsAll || o.Registered[v].After(from) {
			next.Retired = append(next.Retired, v)
		}
	}
	next = next.normalised()
	return next, !next.Equal(old)
}
