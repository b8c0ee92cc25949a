package link

import "time"

// leaseAhead is how much of the recent use a holder asks for beyond the need of
// the moment, so that one exchange covers many transfers.
const leaseAhead = time.Second

// LeaseHolder is one instance's hold on a link: the leases it got from the link's
// home and, while the home is out of reach, its part of the local share. Not
// safe for concurrent use.
type LeaseHolder struct {
	held   [classes]holding
	at     time.Time
	local  LocalShare
	level  float64 // bytes of the local share that may begin now
	isCut  bool    // the home did not answer the last request
	recent [classes]float64
}

// LocalShare is an instance's part of a link's local share.
type LocalShare struct {
	Rate int64 // bytes a second
}

// holding is what is left of the leases of a class.
type holding struct {
	bytes   int64
	rate    int64
	starts  time.Time
	expires time.Time
}

// Permit is the right to begin one transfer.
type Permit struct {
	StartIn time.Duration
	Rate    int64 // bytes a second
}

// NewLeaseHolder returns a holder that may use the share while it can't reach the
// link's home.
func NewLeaseHolder(now time.Time, local LocalShare) *LeaseHolder {
	return &LeaseHolder{at: now, local: local}
}

// Take uses bytes of a lease. If it reports false, nothing is used and Want says
// what to ask the home for. Exports have no part of the local share.
func (h *LeaseHolder) Take(now time.Time, class Class, bytes int64) (Permit, bool) {
	h.accrue(now)
	l := &h.held[class]
	if now.Before(l.expires) && l.bytes >= bytes {
		l.bytes -= bytes
		h.recent[class] += float64(bytes)
		return Permit{StartIn: max(l.starts.Sub(now), 0), Rate: l.rate}, true
	}
	if h.isCut && class == BringBack && h.level >= float64(bytes) {
		h.level -= float64(bytes)
		return Permit{Rate: h.local.Rate}, true
	}
	return Permit{}, false
}

// BytesToRequest returns the bytes to ask for so that bytes can be taken, and half of
// what was lately taken in the time of a lease.
func (h *LeaseHolder) BytesToRequest(now time.Time, class Class, bytes int64) int64 {
	h.accrue(now)
	missing := bytes
	if now.Before(h.held[class].expires) {
		missing = max(bytes-h.held[class].bytes, 0)
	}
	return missing + int64(h.recent[class]/2)
}

// Add puts a new lease to what is held. The whole begins with the later and
// expires with the earlier of both, so that no byte is used outside its lease;
// where they don't overlap the older is given up.
func (h *LeaseHolder) Add(now time.Time, l Lease) {
	h.isCut = false
	if l.Bytes <= 0 {
		return
	}
	fresh := holding{bytes: l.Bytes, rate: l.Rate, starts: now.Add(l.StartIn), expires: l.Expires}
	old := h.held[l.Class]
	overlap := fresh.starts.Before(old.expires) && old.starts.Before(fresh.expires)
	if now.Before(old.expires) && old.bytes > 0 && overlap {
		fresh.bytes += old.bytes
		if old.starts.After(fresh.starts) {
			fresh.starts = old.starts
		}
		if old.expires.Before(fresh.expires) {
			fresh.expires = old.expires
		}
	}
	h.held[l.Class] = fresh
}

// MarkHomeUnreachable records that the home did not answer.
func (h *LeaseHolder) MarkHomeUnreachable() { h.isCut = true }

// accrue fills the local share, at most one second of it, and forgets old use.
func (h *LeaseHolder) accrue(now time.Time) {
	elapsed := now.Sub(h.at).Seconds()
	if elapsed <= 0 {
		return
	}
	h.at = now
	rate := float64(h.local.Rate)
	h.level = min(h.level+rate*elapsed, rate)
	for c := range h.recent {
		h.recent[c] /= 1 + elapsed/leaseAhead.Seconds()
	}
}
