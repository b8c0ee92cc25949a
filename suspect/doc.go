// Package suspect prevents requests that crash endpoints from crashing more of
// them. A request that was in flight when an endpoint crashed is a suspect: the
// next time, it runs alone on an endpoint. After crashes of two different endpoints
// (or another number, Config.CrashedEndpointLimit), at least one of them while it ran
// alone, it is refused permanently.
//
// Where requests of all instances share the endpoints, so that none can run alone, every
// instance has a Replica. There a request, or a part that prompts have in common, is refused
// for a time after some crashes that came one after the other (Config.CompanyCrashLimit) and
// that no other subject explains.
package suspect
