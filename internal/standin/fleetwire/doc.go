// Package fleetwire encodes the settings, entries and requests that the
// platform, the operator and the callers on the users' machines send. Tests and
// tools that simulate them use it.
package fleetwire
