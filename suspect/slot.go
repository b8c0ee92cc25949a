package suspect

import "time"

// Slots lets one suspect run at a time in each data centre. It is kept by the
// data centre's slot home. Pure, and not safe for concurrent use.
type Slots struct {
	held map[string]hold
}

type hold struct {
	run     string
	expires time.Time
}

// NewSlots returns slots that are all free.
func NewSlots() *Slots { return &Slots{held: map[string]hold{}} }

// Acquire takes the slot of a data centre for a run until now+ttl. Acquiring
// again by the same run extends the time. If another run holds the slot, free
// says after how long it ends at the latest.
func (s *Slots) Acquire(dataCentre, run string, ttl time.Duration, now time.Time) (ok bool, free time.Duration) {
	h, held := s.held[dataCentre]
	if held && h.run != run && now.Before(h.expires) {
		return false, h.expires.Sub(now)
	}
	s.held[dataCentre] = hold{run: run, expires: now.Add(ttl)}
	return true, 0
}

// Release frees the slot if the run still holds it.
func (s *Slots) Release(dataCentre, run string) {
	if s.held[dataCentre].run == run {
		delete(s.held, dataCentre)
	}
}
