package datacentre

import (
	"time"

	"redwingknot/metastore"
)

// driftDivisor bounds how much faster the service's clock may run than ours:
// one part in driftDivisor of the lease.
const driftDivisor = 50

// tenure is one holding of the lead's lease. Its end is counted on the
// monotonic clock from before the request that the service acknowledged, and
// lies before the service's own by a margin.
type tenure struct {
	lease metastore.LeaseID
	fence int64
	ttl   time.Duration
	until time.Time
}

// extend counts an acknowledged request sent at sent. An end never moves back.
func (t *tenure) extend(sent time.Time, remaining, margin time.Duration) {
	ttl := min(t.ttl, remaining)
	until := sent.Add(ttl - ttl/driftDivisor - margin)
	if until.After(t.until) {
		t.until = until
	}
}

// heldAt reports whether the lease is surely in force at now.
func (t *tenure) heldAt(now time.Time) bool { return t != nil && now.Before(t.until) }
