// Package tunnel carries connections to endpoints through another instance, for an instance
// that has no path of its own to them. The other instance only passes bytes on: what is sent,
// to which endpoint and how often stays with the instance that opens the tunnel. There is one
// hop: a tunnel never leads through a further instance.
package tunnel
