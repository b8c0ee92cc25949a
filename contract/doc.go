// Package contract holds what callers and the system owe each other: service
// classes and their worth, idempotency of calls, and the typed refusals that
// every layer answers with.
package contract
