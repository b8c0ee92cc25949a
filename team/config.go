package team

import (
	"math/rand/v2"
	"time"

	"redwingknot/internal/options"
)

// The defaults of a Config.
const (
	DefaultFloor         = 0.3
	DefaultInterval      = time.Second
	DefaultLease         = 3 * time.Second
	DefaultHomeDelay     = 8 * time.Second
	DefaultIdleTimeout   = time.Minute
	DefaultMaxRetryAfter = 30 * time.Second
)

// Config configures a Limiter. Self and Members are required.
type Config struct {
	// Self is this instance's name.
	Self string
	// Members returns the platform's list of instances, which includes those
	// that are out of reach. While the platform can't be reached it must stay
	// as it was last read.
	Members func() []string
	// Now is the clock; it must not go back.
	Now func() time.Time
	// Rand returns numbers in [0,1) that spread the times at which refused
	// callers come back.
	Rand func() float64
	// Floor is the part of each limit that is split evenly over the members.
	Floor float64
	// Interval is the time between two exchanges with a home.
	Interval time.Duration
	// Lease is how long a lent share may be used without a new grant.
	Lease time.Duration
	// HomeDelay is how long a new home waits before it lends. It must be at least
	// Lease and the time in which a change of the list reaches all members.
	HomeDelay time.Duration
	// IdleTimeout is how long a team is remembered after its last request.
	IdleTimeout time.Duration
	// MaxRetryAfter bounds the time after which a refused caller comes back.
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
