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

// Default values of the Config fields.
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

// Remote submits an operation to the owner of its shard. A *NotWrittenError
// means that the operation is not in the log and will not be appended later;
// after any other error it may be.
type Remote interface {
	Submit(ctx context.Context, owner string, shard int, op *ledgerpb.Op) (*ledgerpb.SubmitResponse, error)
}

// Config configures a Ledger. OpenLog, Instance and Alive are required; other unset
// fields get their default.
type Config struct {
	// Shards is the number of shards and of their logs. It must be the same in
	// all instances and cannot be changed while keys are within the window.
	Shards int
	// OpenLog returns the log of a shard, whose entries are applied to sm.
	OpenLog func(shard int, sm metastore.StateMachine) metastore.Log
	// Instance is the name of this instance, unique for each start of the process.
	Instance string
	// Alive reports whether the named instance may still be running. A wrong
	// result changes the answer to a resend but never causes a second run.
	Alive func(instance string) bool
	// Owner returns the name of the instance that batches the operations of a
	// shard, and whether it is this instance. If Owner is nil, every instance
	// writes its own operations.
	Owner func(shard int) (owner string, self bool)
	// Remote submits operations to the owners. If it is nil, every instance
	// writes its own operations.
	Remote Remote
	// Now returns the current time; it defaults to time.Now.
	Now func() time.Time
	// Rand returns random numbers in [0,1) for the jitter of retry delays. It is
	// called from many goroutines and defaults to rand.Float64.
	Rand func() float64
	// Window is the time for which a key can be used and its answer is stored,
	// counted from the creation of the key.
	Window time.Duration
	// WriteInterval is the minimum time between the starts of two writes to a shard by
	// one instance. All owners together make at most Shards writes per WriteInterval.
	WriteInterval time.Duration
	// MaxSkew is the most by which the creation time of a key may be ahead of the
	// clock of this instance. An event is logged if the clock of a shard is further
	// ahead than that.
	MaxSkew time.Duration
	// AcceptOpaque admits keys that contain no creation time. Their window starts
	// at their first claim; a resend after the window is treated as a new call.
	AcceptOpaque  bool
	ClaimTimeout  time.Duration // time after which a claim is refused
	OwnerTimeout  time.Duration // time after which an instance stops waiting for an owner and appends to the log itself
	WriteTimeout  time.Duration // time after which the outcome of a write is considered unknown
	RetryAfter    time.Duration // mean of the retry delay sent to refused callers
	MaxQueue      int           // maximum number of operations queued for a shard
	MaxEntryBytes int           // maximum total size of the operations in a log entry, unless a single one is larger
	MaxBodyBytes  int           // largest answer body that is stored whole
	Logger        *slog.Logger
}

// withDefaults returns a copy of the configuration with defaults for unset fields.
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
