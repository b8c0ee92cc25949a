// Package suspect prevents requests that crash endpoints from crashing more of
// them. A request that was in flight when an endpoint crashed is a suspect: the
// next time, it runs alone on an endpoint. After crashes of two different endpoints
// (or another number, Config.CrashedEndpointLimit), at least one of them while it ran
// alone, it is refused permanently.
package suspect
