// Package retry bounds repeated attempts: a budget per service that grows with
// successes, backoff with jitter, and deadlines that layers only tighten.
package retry
