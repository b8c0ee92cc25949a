package suspect

import "time"

// Slots holds one slot for each data centre, so that only one suspect request at a
// time runs there. Each instance has Slots, but clients acquire a data centre's slot
// only from the one instance there that owns it. The time is an argument of each
// call. Slots is not safe for concurrent use.
type Slots struct {
	leases map[string]slotLease // by data centre
}

// slotLease is the right of a run to a slot until it expires.
type slotLease struct {
	runID   string
	expires time.Time
}

// NewSlots returns Slots that are all free.
func NewSlots() *Slots { return &Slots{leases: map[string]slotLease{}} }

// Acquire acquires the slot of a data centre for a run until now+ttl. If the run
// already holds the slot, the lease is renewed. If another run holds it, Acquire
// returns false and the time until that run's lease expires.
func (s *Slots) Acquire(dataCentre, runID string, ttl time.Duration, now time.Time) (acquired bool, freeIn time.Duration) {
	lease, held := s.leases[dataCentre]
	if held && lease.runID != runID && now.Before(lease.expires) {
		return false, lease.expires.Sub(now)
	}
	s.leases[dataCentre] = slotLease{runID: runID, expires: now.Add(ttl)}
	return true, 0
}

// Release releases the slot of a data centre if the run still holds it.
func (s *Slots) Release(dataCentre, runID string) {
	if s.leases[dataCentre].runID == runID {
		delete(s.leases, dataCentre)
	}
}
