// Package origin remembers at which software version streams began, so that each goes on at
// the version that began it, also at another instance and over the attempts of its caller.
// What endpoints of two versions write does not fit together.
//
// It is pure: callers pass in the time, and carry records between instances.
package origin
