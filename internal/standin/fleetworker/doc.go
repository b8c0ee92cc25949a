// Package fleetworker is a stand-in of an endpoint on the users' machines, a
// model engine or an application, written from their protocol pages. It records
// what it runs, so that tests can check what reached it.
package fleetworker
