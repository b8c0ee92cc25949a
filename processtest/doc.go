// Package processtest holds the tests that need real processes: killed and
// paused processes, platform outages, lost responses and restarts. The tests
// start the daemons and the stand-ins of outside systems on loopback and kill
// all of them at the end.
package processtest
