// Package suspect keeps requests that crash endpoints from doing so again: a
// request in flight at a crash runs alone the next time, and after crashes of
// two different endpoints it is refused for good.
package suspect
