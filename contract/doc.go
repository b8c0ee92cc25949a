// Package contract defines the types shared by callers and all layers of the
// system: request classes with their worth and time limits, the idempotency of
// calls, and the refusals that every layer returns.
package contract
