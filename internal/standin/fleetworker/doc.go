// Package fleetworker implements a fake of an endpoint on the users' platform, a
// model engine or an application, following the platform's protocol documentation.
// It records the requests that it runs, so that tests can check what reached it.
package fleetworker
