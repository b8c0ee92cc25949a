// Package fleetwire encodes the settings, entries and requests that gateways get
// from the users' platform, its operator and its callers. Tests and tools that
// simulate these use it.
package fleetwire
