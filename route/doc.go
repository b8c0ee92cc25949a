// Package route decides which endpoint of a service runs a request: the one
// with the least expected time to first token, given late load reports, the
// router's own dispatches since, and a partial view of the engines' caches.
package route
