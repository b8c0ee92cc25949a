package route

import (
	"math/rand/v2"
	"time"
)

// health is the ejection state of an endpoint: closed while it works, ejected
// until a time after repeated failures, then probed by one attempt at a time
// until one succeeds.
type health struct {
	failures  int // consecutive
	ejections int // since the last success
	until     time.Time
	probing   bool // past until, and no probe has succeeded yet
	probe     string
}

// admits reports whether an attempt may be sent at now.
func (h *health) admits(now time.Time) bool {
	if !h.probing {
		return true
	}
	return !now.Before(h.until) && h.probe == ""
}

func (h *health) ejected() bool { return h.probing }

// dispatched records the probe, if the endpoint is being probed.
func (h *health) dispatched(attempt string) {
	if h.probing && h.probe == "" {
		h.probe = attempt
	}
}

func (h *health) succeeded() { *h = health{} }

// abandoned frees the probe of an attempt that ended without saying anything.
func (h *health) abandoned(attempt string) {
	if h.probe == attempt {
		h.probe = ""
	}
}

// failed counts failures and reports whether it ejects the endpoint. mayEject
// is false while too many endpoints are ejected already.
func (h *health) failed(attempt string, count int, c *Config, mayEject bool, now time.Time, rng *rand.Rand) bool {
	if h.probing && h.probe != attempt {
		return false // dispatched before the ejection
	}
	h.failures += count
	h.abandoned(attempt)
	if !h.probing && (h.failures < c.FailuresToEject || !mayEject) {
		return false
	}
	h.probing = true
	h.until = now.Add(ejection(h.ejections, c, rng))
	h.ejections++
	return true
}

// ejection returns the time of the n-th ejection in a row, with jitter so that
// routers don't probe all at once.
func ejection(n int, c *Config, rng *rand.Rand) time.Duration {
	const maxDoublings = 10
	d := min(c.MinEjection<<min(n, maxDoublings), c.MaxEjection)
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}
