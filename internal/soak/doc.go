// Package soak runs gateways as processes before stand-ins of the users'
// machines, breaks them from outside by a seeded schedule, and checks what
// callers and endpoints see.
//
// The schedule follows from the seed; its effects depend on the machine's
// timing as well, so a seed that failed may have to be run more than once.
package soak
