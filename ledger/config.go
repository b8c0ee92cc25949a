package ledger

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"redwingknot/internal/options"
	"redwingknot/ledger/ledgerpb"
	"redwingknot/metastore"
)

// The defaults of a Config.
const (
	DefaultShards        = 16
	DefaultWindow        = time.Hour
	DefaultWriteInterval = 100 * time.Millisecond
	DefaultMaxSkew       = 5 * time.Second
	DefaultClaimTimeout  = 2 * time.Second
	DefaultOwnerTimeout  = 700 * time.Millisecond
	DefaultWriteTimeout  = 2 * time.Second
	DefaultMaxQueue      = 4096
	DefaultMaxEntryBytes = 256 << 10
	DefaultMaxBodyBytes  = 16 << 10
	DefaultRetryAfter    = time.Second
)

// Remote carries an operation to the owner of its shard. Its errors are those
// of a submission: a *NotWrittenError, or another for an unresolved one.
type Remote interface {
	Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error)
}

// Config configures a Ledger. Open, Instance and Alive are required.
type Config struct {
	// Shards is the number of logs; it must be the same in all instances and
	// can't be changed while keys are within the window.
	Shards int
	// OpenLog returns the log of a shard, folded into f.
	OpenLog func(shard int, f metastore.StateMachine) metastore.Log
	// Instance is this process's name and unique for each start.
	Instance string
	// Alive reports whether the instance of that name may still be running; a
	// wrong answer changes what a resend is told but never leads to a second run.
	Alive func(instance string) bool
	// Owner returns the instance that batches a shard's operations and whether
	// it is this one. Without it every instance writes for itself.
	Owner func(shard int) (owner string, self bool)
	// Remote reaches the owners; nil writes directly.
	Remote Remote
	// Now is the clock.
	Now func() time.Time
	// Rand returns numbers in [0,1) that spread the times at which callers come
	// back; it is called from many goroutines.
	Rand func() float64
	// Window is how long a key can be used and its answer is kept.
	Window time.Duration
	// WriteInterval is the least time between two writes to a shard by one instance.
	// The owners write at most Shards/Interval together.
	WriteInterval time.Duration
	// MaxSkew is how far in the future a key's time may lie.
	MaxSkew time.Duration
	// AcceptOpaque admits keys that carry no time. Their window starts at their
	// first claim, and a resend after it is taken for a new call.
	AcceptOpaque  bool
	ClaimTimeout  time.Duration // a claim is refused after
	OwnerTimeout  time.Duration // an owner is given up on after
	WriteTimeout  time.Duration // a write's outcome is taken for unknown after
	RetryAfter    time.Duration // mean time after which a refused caller comes back
	MaxQueue      int           // operations that wait for a shard
	MaxEntryBytes int           // size of a log entry
	MaxBodyBytes  int           // largest answer kept whole
	Logger        *slog.Logger
}

// withDefaults returns the configuration with the unset fields filled in.
func (c Config) withDefaults() *Config {
	options.Default(&c.Shards, DefaultShards)
	options.Default(&c.Window, DefaultWindow)
	options.Default(&c.WriteInterval, DefaultWriteInterval)
	options.Default(&c.MaxSkew, DefaultMaxSkew)
	options.Default(&c.ClaimTimeout, DefaultClaimTimeout)
	options.Default(&c.OwnerTimeout, DefaultOwnerTimeout)
	options.Default(&c.WriteTimeout, DefaultWriteTimeout)
	options.Default(&c.RetryAfter, DefaultRetryAfter)
	options.Default(&c.MaxQueue, DefaultMaxQueue)
	options.Default(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	options.Default(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Owner == nil || c.Remote == nil {
		c.Owner = func(int) (string, bool) { return "", true }
	}
	return &c
}
