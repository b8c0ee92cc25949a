package team

import (
	"math/rand/v2"
	"time"

	"redwingknot/internal/options"
)

// The defaults of the fields of Config.
const (
	DefaultFloor         = 0.3
	DefaultInterval      = time.Second
	DefaultLease         = 3 * time.Second
	DefaultHomeDelay     = 8 * time.Second
	DefaultIdleTimeout   = time.Minute
	DefaultMaxRetryAfter = 30 * time.Second
)

// Config configures a Limiter. Self and Members are required; the other fields
// have defaults.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Members returns the member list: the names of the instances that are listed
	// on the platform (see package metastore), including unreachable ones. While
	// the platform can't be reached, Members must keep returning the list that was
	// last read.
	Members func() []string
	// Now returns the current time; it must never decrease.
	Now func() time.Time
	// Rand returns random numbers in [0,1), used as jitter for the retry delays of
	// refused callers.
	Rand func() float64
	// Floor is the fraction of each limit that is split evenly over the members.
	Floor float64
	// Interval is the time between two message exchanges with a home.
	Interval time.Duration
	// Lease is how long a granted share may be used without a new grant.
	Lease time.Duration
	// HomeDelay is how long a new home waits before it grants shares. It must be at
	// least Lease, so that the leases of an earlier home have ended, and at least the
	// time that a change of the member list takes to reach all members, so that no
	// other member considers itself the home.
	HomeDelay time.Duration
	// IdleTimeout is how long a team's bucket is kept after its last request.
	IdleTimeout time.Duration
	// MaxRetryAfter is the maximum retry delay of a refused caller, before jitter.
	MaxRetryAfter time.Duration
}

// withDefaults returns the configuration with the unset fields filled in.
func (c Config) withDefaults() Config {
	options.Default(&c.Floor, DefaultFloor)
	options.Default(&c.Interval, DefaultInterval)
	options.Default(&c.Lease, DefaultLease)
	options.Default(&c.HomeDelay, DefaultHomeDelay)
	options.Default(&c.IdleTimeout, DefaultIdleTimeout)
	options.Default(&c.MaxRetryAfter, DefaultMaxRetryAfter)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	return c
}
