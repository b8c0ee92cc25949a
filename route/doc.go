// Package route decides which endpoint of a service runs a request. It looks for
// the least expected time to first token, which it estimates from load reports
// that arrive late, the router's own dispatches since those reports, and a
// partial view of the engines' caches.
package route
