package link

import "time"

// recentUseWindow is the time constant with which the recent use of a class decays.
// A holder requests half of the recent use in addition to the bytes that it needs
// now, so that one call to the home covers many transfers.
const recentUseWindow = time.Second

// LeaseHolder is what one instance may use of a link: the leases that it got from the
// link's home and, while the home is unreachable, its part of the local share. It
// is not safe for concurrent use.
type LeaseHolder struct {
	leases          [numClasses]heldLease
	accruedAt       time.Time
	localShare      InstanceShare
	localBytes      float64             // bytes of the local share that may start now
	homeUnreachable bool                // the home didn't answer the last request
	recentBytes     [numClasses]float64 // recently taken, decaying with recentUseWindow
}

// InstanceShare is an instance's part of a link's local share, which it may use while the
// link's home is unreachable.
type InstanceShare struct {
	Rate int64 // bytes per second
}

// heldLease is the unused part of the leases of a class, joined into one.
type heldLease struct {
	bytes   int64
	rate    int64 // bytes per second
	starts  time.Time
	expires time.Time
}

// Permit permits one transfer at Rate that starts after StartIn.
type Permit struct {
	StartIn time.Duration
	Rate    int64 // bytes per second
}

// NewLeaseHolder returns a holder without leases that may use localShare while the
// link's home is unreachable.
func NewLeaseHolder(now time.Time, localShare InstanceShare) *LeaseHolder {
	return &LeaseHolder{accruedAt: now, localShare: localShare}
}

// Take takes bytes from a lease of the class or, for a bring-back while the home is
// unreachable, from the local share. If it reports false, it has taken nothing, and
// BytesToRequest returns how many bytes to request from the home. Exports get nothing of the
// local share.
func (h *LeaseHolder) Take(now time.Time, class Class, bytes int64) (Permit, bool) {
	h.accrue(now)
	l := &h.leases[class]
	if now.Before(l.expires) && l.bytes >= bytes {
		l.bytes -= bytes
		h.recentBytes[class] += float64(bytes)
		return Permit{StartIn: max(l.starts.Sub(now), 0), Rate: l.rate}, true
	}
	if h.homeUnreachable && class == BringBack && h.localBytes >= float64(bytes) {
		h.localBytes -= float64(bytes)
		return Permit{Rate: h.localShare.Rate}, true
	}
	return Permit{}, false
}

// BytesToRequest returns how many bytes to request from the home: those that are missing to
// take the given bytes, plus half of those recently taken.
func (h *LeaseHolder) BytesToRequest(now time.Time, class Class, bytes int64) int64 {
	h.accrue(now)
	missing := bytes
	if now.Before(h.leases[class].expires) {
		missing = max(bytes-h.leases[class].bytes, 0)
	}
	return missing + int64(h.recentBytes[class]/2)
}

// Add joins a new lease with what is held of its class. The result starts with the
// later of both and expires with the earlier, so that no byte is used outside its
// lease. If they don't overlap, the older one is dropped. Add also records that the
// home is reachable.
func (h *LeaseHolder) Add(now time.Time, l Lease) {
	h.homeUnreachable = false
	if l.Bytes <= 0 {
		return
	}
	joined := heldLease{bytes: l.Bytes, rate: l.Rate, starts: now.Add(l.StartIn), expires: l.Expires}
	old := h.leases[l.Class]
	overlap := joined.starts.Before(old.expires) && old.starts.Before(joined.expires)
	if now.Before(old.expires) && old.bytes > 0 && overlap {
		joined.bytes += old.bytes
		if old.starts.After(joined.starts) {
			joined.starts = old.starts
		}
		if old.expires.Before(joined.expires) {
			joined.expires = old.expires
		}
	}
	h.leases[l.Class] = joined
}

// MarkHomeUnreachable records that the home didn't answer.
func (h *LeaseHolder) MarkHomeUnreachable() { h.homeUnreachable = true }

// accrue adds to the local share for the time since the last call, up to the bytes of
// one second, and lets the recent use decay.
func (h *LeaseHolder) accrue(now time.Time) {
	elapsed := now.Sub(h.accruedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	h.accruedAt = now
	rate := float64(h.localShare.Rate)
	h.localBytes = min(h.localBytes+rate*elapsed, rate)
	for c := range h.recentBytes {
		h.recentBytes[c] /= 1 + elapsed/recentUseWindow.Seconds()
	}
}
