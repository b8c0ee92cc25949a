package entry

import (
	"time"

	"redwingknot/settings"
)

// minKeyBytes is the least length of the shared key.
const minKeyBytes = 16

// Options are the settings of an entry instance.
type Options struct {
	ID            string   // name of the instance, unique in the deployment
	DataCentre    string   // data centre it runs in
	Listen        string   // address for callers and operators
	PeerListen    string   // address for other instances
	PeerAdvertise string   // address at which other instances reach PeerListen
	Seeds         []string // peer addresses of some instances
	Platform      []string // addresses of the key-value service
	SharedKey     string   // of the deployment's instances
	OperatorHash  string   // hex SHA-256 of the operators' token

	PlatformReads  float64 // calls a second that this instance may make
	PlatformWrites float64 // calls a second that this instance may make

	DrainTimeout     time.Duration
	BodyTimeout      time.Duration
	StallTimeout     time.Duration
	MaxBodyKiB       int
	MaxReplyKiB      int
	MaxHeaderKiB     int
	FirstTokenFactor float64
	Attempts         int
	ClaimInterval    time.Duration
	PrefillRate      float64
	MemoryMiB        int
	LogLevel         string
}

// Bind adds the options to set with their defaults and ranges.
func (o *Options) Bind(set *settings.Set) {
	set.Required(&o.ID, "id", "", "name of this instance, unique in the deployment")
	set.Required(&o.DataCentre, "data-centre", "", "data centre of this instance")
	set.Address(&o.Listen, "listen", "127.0.0.1:8080", "address for callers and operators")
	set.Address(&o.PeerListen, "peer-listen", "127.0.0.1:8090", "address for other instances")
	set.Address(&o.PeerAdvertise, "peer-advertise", "127.0.0.1:8090", "address at which other instances reach this one")
	set.Addresses(&o.Seeds, "seeds", "peer addresses of some instances")
	set.URLs(&o.Platform, "platform", "addresses of the platform's key-value service")
	set.Secret(&o.SharedKey, "shared-key", minKeyBytes, "key that the deployment's instances share")
	set.Required(&o.OperatorHash, "operator-hash", "", "hex SHA-256 of the operators' token")
	set.Float(&o.PlatformReads, "platform-reads", 50, 1, 2000, "calls a second", "reads that this instance may make of the platform")
	set.Float(&o.PlatformWrites, "platform-writes", 40, 1, 500, "calls a second", "writes that this instance may make to the platform")
	o.bindRequests(set)
	o.bindClaims(set)
	set.Int(&o.MemoryMiB, "memory-limit", 128, 32, 65536, "MiB", "memory above which garbage is collected more often")
	set.OneOf(&o.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "least level of log events")
}

func (o *Options) bindRequests(set *settings.Set) {
	set.Duration(&o.DrainTimeout, "drain-timeout", 2*time.Minute, time.Second, time.Hour, "time for running requests to end at a stop")
	set.Duration(&o.BodyTimeout, "body-timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute, "time for a request's body to arrive")
	set.Duration(&o.StallTimeout, "stall-timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute, "time between two tokens after which an attempt is given up")
	set.Int(&o.MaxBodyKiB, "max-body", 4096, 1, 65536, "KiB", "size of a request's body")
	set.Int(&o.MaxReplyKiB, "max-reply", 4096, 1, 65536, "KiB", "size of a plain service's answer")
	set.Int(&o.MaxHeaderKiB, "max-header", 32, 4, 1024, "KiB", "size of a request's header")
	set.Float(&o.FirstTokenFactor, "first-token-factor", 4, 1, 100, "times", "multiple of the expected time to first token after which an attempt is given up")
	set.Int(&o.Attempts, "attempts", 3, 1, 10, "attempts", "attempts of a request, including the first")
	set.Float(&o.PrefillRate, "prefill-rate", 20000, 1, 10_000_000, "tokens a second", "prompt tokens that an engine processes, before any was measured")
}

func (o *Options) bindClaims(set *settings.Set) {
	set.Duration(&o.ClaimInterval, "claim-interval", 100*time.Millisecond, time.Millisecond, time.Second, "least time between two writes to a log of claims")
}
