// Package team holds each team to its request rate over all instances without
// a counter that they share.
//
// A part of every team's limit, the floor, is split evenly over the members and
// needs no exchange. The rest is lent out by the team's home, an instance chosen
// by rendezvous hashing, as short leases to the instances whose callers need it.
// An instance that is cut off from the home falls back to its part of the floor
// when its lease lapses.
package team
