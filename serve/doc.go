// Package serve is the data path of an entry instance: it authenticates
// callers, admits or refuses their requests, routes them to endpoints, relays
// answers and records the outcome of non-idempotent calls.
package serve
