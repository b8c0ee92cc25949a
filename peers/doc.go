// Package peers shares the work that each instance has in progress with the
// other instances, so that all place requests by the load of the whole fleet
// and not only by their own.
package peers
