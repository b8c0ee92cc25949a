// Package ledger keeps a call that is not idempotent from running twice.
//
// Before such a call is sent to an endpoint its idempotency key is claimed in
// an ordered log on the platform's key-value service; only the first claim of a
// key in the log allows the call to be sent. The answer is kept under the key,
// so that a resend gets it without a second run. Keys are spread over shards,
// one log each; the owner of a shard batches the operations of all instances,
// and an instance that can't reach the owner writes to the log itself.
package ledger
