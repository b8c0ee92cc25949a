// Package serve is the data path of an entry instance: it authenticates
// callers, admits or refuses requests, routes them to endpoints, relays the
// answers and records the outcomes of non-idempotent calls.
package serve
