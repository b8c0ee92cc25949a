// Package place decides which endpoint runs a request. It does no I/O: the
// caller passes in what is known about the endpoints and gets a choice back.
package place
