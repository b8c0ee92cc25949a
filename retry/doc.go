// Package retry limits retries: by a budget per service that grows with its
// successes, by a sliding window over requests and retries, by exponential backoff
// with jitter, and by deadlines that each layer may only shorten.
package retry
