package fleet

import (
	"sync"
	"time"
)

// Freshness bounds the age of this instance's copy of a range of the metadata
// store's keys. The bound comes from reads of the store by this instance and from
// those by other instances whose copy has the same digest. It is safe for concurrent
// use.
//
// Load pattern: hundreds of instances that must know within seconds that a token was
// withdrawn. If each read the store as often as that takes, the store's load would
// grow with the fleet; a few readers are enough if they pass on what they confirmed.
//
// Invariant: at confirmedAt or a later time the store held the content with the
// copy's digest.
type Freshness struct {
	mu          sync.Mutex
	digest      uint64
	changedAt   time.Time // when the copy last changed
	confirmedAt time.Time // zero before the first read
	outdatedAt  time.Time // when the copy was first seen to be outdated, zero if it is not
	outdated    chan struct{}
}

// NewFreshness returns the Freshness of a copy that was not read yet.
func NewFreshness() *Freshness { return &Freshness{outdated: make(chan struct{}, 1)} }

// RecordChange records that the copy has the digest since now.
func (f *Freshness) RecordChange(digest uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordChange(digest, now)
}

func (f *Freshness) recordChange(digest uint64, now time.Time) {
	if digest != f.digest {
		f.digest, f.changedAt, f.outdatedAt = digest, now, time.Time{}
	}
}

// RecordRead records that a read of the whole range, sent at sentAt, was applied to
// the copy, which has the digest since now.
func (f *Freshness) RecordRead(digest uint64, sentAt, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordChange(digest, now)
	f.confirm(sentAt)
	f.outdatedAt = time.Time{}
}

func (f *Freshness) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Observe records that the store held the content with the digest at the given time
// or later, as another instance confirmed; now is the present. It reports whether that
// content is the copy's. If the store held other content after the copy last changed,
// the copy is outdated.
func (f *Freshness) Observe(digest uint64, at, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return false
	}
	if digest == f.digest {
		f.confirm(at)
		return true
	}
	if at.After(f.changedAt) && at.After(f.confirmedAt) {
		f.markOutdated(now)
	}
	return false
}

// MarkOutdated records that the store holds other content than the copy. It reports
// whether that was not known.
func (f *Freshness) MarkOutdated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.markOutdated(now)
}

// markOutdated is MarkOutdated for callers that hold mu.
func (f *Freshness) markOutdated(now time.Time) bool {
	if !f.outdatedAt.IsZero() {
		return false
	}
	f.outdatedAt = now
	select {
	case f.outdated <- struct{}{}:
	default: // the signal is already pending
	}
	return true
}

// Outdated returns a channel that receives a value when the copy is found to be
// outdated.
func (f *Freshness) Outdated() <-chan struct{} { return f.outdated }

// NextRead returns when this instance should read the range itself: once the copy was
// confirmed longer than maxAge ago, or has been outdated for as long as outdatedGrace,
// within which a watch usually reports the change.
func (f *Freshness) NextRead(maxAge, outdatedGrace time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.confirmedAt.Add(maxAge)
	if f.outdatedAt.IsZero() || at.Before(f.outdatedAt.Add(outdatedGrace)) {
		return at
	}
	return f.outdatedAt.Add(outdatedGrace)
}

// Confirmation returns the digest of the copy and the time at which, or after which,
// the store held that content; the zero time before the first read.
func (f *Freshness) Confirmation() (digest uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digest, f.confirmedAt
}
