package fleetwire

import (
	"fmt"
	"strings"
	"time"
)

// Settings holds the settings that a gateway reads when it starts.
type Settings struct {
	Name      string
	Zone      string
	IP        string
	StoreAddr string // host:port of the metadata store

	DrainTime         time.Duration // time for which a leaving endpoint continues to serve
	Grace             time.Duration // time between SIGTERM and SIGKILL
	RevokeTime        time.Duration // time after which a revoked token must be refused
	LeaderChangeDelay time.Duration // minimum time between the orders of one holder of the lead and those of the next
	LoadTime          time.Duration // time within which requested weights must be running
	ApplyTime         time.Duration // time within which a new configuration must be applied
	MinLease          time.Duration // minimum lease TTL of the metadata store
	RetryWindow       time.Duration // window of the retry budget
	RetryRatio        float64       // retries allowed per request within the window
	RetrySlack        int           // retries allowed in addition to RetryRatio
	MemoryMiB         int           // memory limit
	MaxDescriptors    int           // limit of open file descriptors
}

// The ports of every gateway. They are the same for all, since each gateway has
// its own IP address.
const (
	FrontPort = "8005"
	ReadyPort = "8002"
	peerPorts = "7700,7715" // for traffic between gateways, which use the first
)

// ReadyPath is the path at which a gateway reports whether it accepts new
// connections.
const ReadyPath = "/redwingknot/ready"

// SettingsEnv is the name of the environment variable that holds the path of
// the settings file.
const SettingsEnv = "REDWINGKNOT_BOOT"

// Render returns the content of the settings file.
func (s *Settings) Render() []byte {
	var b strings.Builder
	set := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	set("node_name", s.Name)
	set("zone", s.Zone)
	set("listen.front", s.IP+":"+FrontPort)
	set("listen.ready", s.IP+":"+ReadyPort)
	set("internal_ports", peerPorts)
	set("limits.memory_mb", s.MemoryMiB)
	set("limits.max_fds", s.MaxDescriptors)
	set("bounds.drain_ms", s.DrainTime.Milliseconds())
	set("bounds.grace_s", s.Grace.Seconds())
	set("bounds.strict_revoke", true)
	set("bounds.revoke_ms", s.RevokeTime.Milliseconds())
	set("bounds.budget_ratio", s.RetryRatio)
	set("bounds.budget_window_s", s.RetryWindow.Seconds())
	set("bounds.budget_slack", s.RetrySlack)
	set("bounds.lease_ms", s.LeaderChangeDelay.Milliseconds())
	set("bounds.version_ms", s.LoadTime.Milliseconds())
	set("bounds.config_apply_ms", s.ApplyTime.Milliseconds())
	set("platform.address", s.StoreAddr)
	set("platform.ttl_min_ms", s.MinLease.Milliseconds())
	return []byte(b.String())
}
