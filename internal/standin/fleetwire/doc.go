// Package fleetwire renders what the platform, the operator and the callers on
// the users' machines send, for tests and tools that play these.
package fleetwire
