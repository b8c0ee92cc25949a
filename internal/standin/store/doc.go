// Package storestandin is a small store instance for tests and the demo. It
// keeps blocks in process memory, has two tiers with limits, and can be told to
// fail in the ways that real stores do.
package storestandin
