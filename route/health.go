package route

import (
	"math/rand/v2"
	"time"
)

// health is the circuit breaker of an endpoint. It is closed while the endpoint
// works. Repeated failures open it: the endpoint is ejected and gets no attempts
// until ejectedUntil; after that, one attempt at a time is admitted as a probe until
// one succeeds and closes it again.
type health struct {
	failures     int // consecutive
	ejections    int // since the last success
	ejectedUntil time.Time
	open         bool   // whether the endpoint is ejected, and no probe has succeeded since
	probeAttempt string // attempt in flight that serves as the probe, empty if none
}

// admits reports whether an attempt may be sent at now.
func (h *health) admits(now time.Time) bool {
	if !h.open {
		return true
	}
	return !now.Before(h.ejectedUntil) && h.probeAttempt == ""
}

func (h *health) ejected() bool { return h.open }

// recordDispatch makes the attempt the probe if the endpoint is ejected and has
// no probe in flight.
func (h *health) recordDispatch(attempt string) {
	if h.open && h.probeAttempt == "" {
		h.probeAttempt = attempt
	}
}

func (h *health) recordSuccess() { *h = health{} }

// releaseProbe allows another probe if the attempt is the current one. It is for
// attempts whose end says nothing about the endpoint's health.
func (h *health) releaseProbe(attempt string) {
	if h.probeAttempt == attempt {
		h.probeAttempt = ""
	}
}

// recordFailures adds count to the failures because of one failed attempt and
// reports whether this ejects the endpoint, for the first time or again. mayEject is
// false while too many endpoints are ejected already.
func (h *health) recordFailures(attempt string, count int, c *Config, mayEject bool, now time.Time, rng *rand.Rand) bool {
	if h.open && h.probeAttempt != attempt {
		return false // the attempt was dispatched before the ejection
	}
	h.failures += count
	h.releaseProbe(attempt)
	if !h.open && (h.failures < c.FailuresToEject || !mayEject) {
		return false
	}
	h.open = true
	h.ejectedUntil = now.Add(ejectionDuration(h.ejections, c, rng))
	h.ejections++
	return true
}

// ejectionDuration returns the duration of an ejection that follows n others
// without a success in between. Jitter keeps routers from probing at the same
// time.
func ejectionDuration(n int, c *Config, rng *rand.Rand) time.Duration {
	const maxDoublings = 10
	d := min(c.MinEjection<<min(n, maxDoublings), c.MaxEjection)
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}
