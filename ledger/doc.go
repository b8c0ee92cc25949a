// Package ledger prevents calls that are not idempotent from running twice.
//
// Before an instance sends such a call to an endpoint, it claims the call's
// idempotency key in an ordered log on the platform's key-value service. Only
// the first claim of a key in the log allows the call to be sent. The answer is
// stored under the key, so that a resend of the call receives the stored answer
// and does not run the call again. Keys are distributed over shards, each with
// its own log. The owner of a shard batches the operations of all instances; an
// instance that cannot reach the owner appends to the log itself.
package ledger
