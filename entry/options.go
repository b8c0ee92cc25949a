package entry

import (
	"time"

	"redwingknot/settings"
)

// minKeyBytes is the minimum length of the shared key in bytes.
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
	SharedKey     string   // key that the deployment's instances authenticate each other with
	OperatorHash  string   // hex SHA-256 of the operators' token

	PlatformReads  float64 // maximum rate of reads from the platform, in calls per second
	PlatformWrites float64 // maximum rate of writes to the platform, in calls per second

	DrainTimeout     time.Duration // from the request to stop until all requests are answered
	BalancerNotice   time.Duration // from the request to stop until the listener for callers is closed
	BodyTimeout      time.Duration // for the body of a request to arrive
	StallTimeout     time.Duration // between two tokens, after which an attempt is given up
	MaxBodyKiB       int           // maximum size of a request's body
	MaxReplyKiB      int           // maximum size of a plain service's answer
	MaxHeaderKiB     int           // maximum size of a request's header
	FirstTokenFactor float64       // multiple of the expected time to first token after which an attempt is given up
	Attempts         int           // maximum number of attempts of a request, including the first
	ClaimInterval    time.Duration // minimum time between two writes to a log of claims
	PrefillRate      float64       // prompt tokens that an engine prefills per second, used until it is measured
	MemoryMiB        int           // memory above which garbage is collected more often
	LogLevel         string        // minimum level of log events
}

// Bind adds the options to set as settings with their defaults and allowed ranges.
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
	set.Float(&o.PlatformReads, "platform-reads", 50, 1, 2000, "calls per second", "maximum rate of reads from the platform by this instance")
	set.Float(&o.PlatformWrites, "platform-writes", 40, 1, 500, "calls per second", "maximum rate of writes to the platform by this instance")
	o.bindRequests(set)
	o.bindClaims(set)
	set.Int(&o.MemoryMiB, "memory-limit", 128, 32, 65536, "MiB", "memory above which garbage is collected more often")
	set.OneOf(&o.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "minimum level of log events")
}

// bindRequests adds the options for the handling of requests to set.
func (o *Options) bindRequests(set *settings.Set) {
	set.Duration(&o.DrainTimeout, "drain-timeout", 2*time.Minute, time.Second, time.Hour, "time from SIGTERM in which running requests finish or are ended; must be shorter than the time after which the process is killed")
	set.Duration(&o.BalancerNotice, "balancer-notice", 3*time.Second, 0, 10*time.Minute, "time from SIGTERM in which new connections are accepted until the balancer has noticed, at most half of the time for running requests")
	set.Duration(&o.BodyTimeout, "body-timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute, "time for the body of a request to arrive")
	set.Duration(&o.StallTimeout, "stall-timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute, "time between two tokens after which an attempt is given up")
	set.Int(&o.MaxBodyKiB, "max-body", 4096, 1, 65536, "KiB", "maximum size of a request's body")
	set.Int(&o.MaxReplyKiB, "max-reply", 4096, 1, 65536, "KiB", "maximum size of a plain service's answer")
	set.Int(&o.MaxHeaderKiB, "max-header", 32, 4, 1024, "KiB", "maximum size of a request's header")
	set.Float(&o.FirstTokenFactor, "first-token-factor", 4, 1, 100, "times", "multiple of the expected time to first token after which an attempt is given up")
	set.Int(&o.Attempts, "attempts", 3, 1, 10, "attempts", "maximum number of attempts of a request, including the first")
	set.Float(&o.PrefillRate, "prefill-rate", 20000, 1, 10_000_000, "tokens per second", "rate at which an engine prefills prompt tokens, used until it is measured")
}

// bindClaims adds the options for the logs of claims to set.
func (o *Options) bindClaims(set *settings.Set) {
	set.Duration(&o.ClaimInterval, "claim-interval", 100*time.Millisecond, time.Millisecond, time.Second, "minimum time between two writes to a log of claims")
}
