// Package soak runs gateways as processes against stand-ins for the users'
// machines, injects faults from outside by a seeded plan, and checks what callers
// and endpoints observe.
//
// The plan is determined by the seed, but its effects also depend on the timing of
// the machine, so that a failing seed may have to be run more than once to fail
// again.
package soak
