package datacentre

import (
	"time"

	"redwingknot/metastore"
)

// driftDivisor bounds how much faster the clock of the key-value service may
// run than the local clock: by one part in driftDivisor of the leader lease's TTL.
const driftDivisor = 50

// term is a period in which an instance is the leader; it lasts as long as the
// instance's leader lease.
// validUntil is counted on the monotonic clock from the time before the
// acknowledged request was sent. It lies before the time at which the lease
// expires at the service, by a safety margin and the allowed clock drift.
type term struct {
	leaseID      metastore.LeaseID
	fencingToken int64
	ttl          time.Duration
	validUntil   time.Time
}

// extend moves validUntil forward after the service has acknowledged a grant or
// keep-alive request that was sent at sentAt and left the lease with the
// remaining time. It never moves validUntil back.
func (t *term) extend(sentAt time.Time, remaining, margin time.Duration) {
	ttl := min(t.ttl, remaining)
	validUntil := sentAt.Add(ttl - ttl/driftDivisor - margin)
	if validUntil.After(t.validUntil) {
		t.validUntil = validUntil
	}
}

// validAt reports whether the lease is certain to be in force at now; it is false
// for a nil term.
func (t *term) validAt(now time.Time) bool { return t != nil && now.Before(t.validUntil) }
