package fleetwire

import (
	"fmt"
	"strings"
	"time"
)

// Settings are what a process is told at its start.
type Settings struct {
	Name      string
	Zone      string
	IP        string
	StoreAddr string // address of the metadata store

	DrainTime      time.Duration // that a leaving endpoint goes on serving
	Grace          time.Duration // from SIGTERM to SIGKILL
	RevokeTime     time.Duration // after which a withdrawn token must be refused
	OrderLease     time.Duration // least time between orders of two holders
	LoadTime       time.Duration // within which named weights must run
	ApplyTime      time.Duration // within which a configuration must be in force
	MinLease       time.Duration // shortest lease of the store
	RetryWindow    time.Duration
	RetryRatio     float64
	RetrySlack     int
	MemoryMiB      int
	MaxDescriptors int
}

// Ports of every process, at an address of its own.
const (
	FrontPort = "8005"
	ReadyPort = "8002"
	peerPorts = "7700,7715"
)

// ReadyPath is where a process tells whether it takes new connections.
const ReadyPath = "/redwingknot/ready"

// SettingsEnv names the environment variable with the path of the settings.
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
	set("bounds.lease_ms", s.OrderLease.Milliseconds())
	set("bounds.version_ms", s.LoadTime.Milliseconds())
	set("bounds.config_apply_ms", s.ApplyTime.Milliseconds())
	set("platform.address", s.StoreAddr)
	set("platform.ttl_min_ms", s.MinLease.Milliseconds())
	return []byte(b.String())
}
