// Package fleetworker implements a fake endpoint as on the users' machines, a
// model engine or an application, following their protocol pages. It records the
// requests that it runs, so that tests can check what reached it.
package fleetworker
