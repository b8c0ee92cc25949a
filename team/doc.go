// Package team limits the request rate of each team over all instances without
// a shared counter.
//
// A fixed fraction of every team's limit, the floor, is split evenly over the
// instances and needs no communication. The rest is granted by the team's home, an
// instance chosen by rendezvous hashing, to the instances whose callers need it:
// each gets a share of the limit under a short lease. An instance that can't reach
// the home falls back to its part of the floor when its lease expires.
package team
