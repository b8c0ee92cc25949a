// Package admit decides which requests run during an overload. Requests with the
// least worth per processing time are refused first, immediately; within a class,
// requests of teams with much work are refused before those of teams with little.
package admit
