// Package queue orders the requests that wait for room at the endpoints of a service.
//
// It is pure: callers pass in the time and decide when room appears.
package queue
