// Package processtest holds the tests that need real processes: kills, pauses,
// an outage of the platform, lost answers, restarts. It starts the daemons and
// the stand-ins on loopback and ends all of them.
package processtest
