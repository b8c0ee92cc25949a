// Package admit decides which requests run during an overload. It refuses at once,
// without queueing them. Requests with the least worth per processing time are
// refused first; within a class, requests of teams that have recently requested
// much work are refused before those of teams that have requested little.
package admit
