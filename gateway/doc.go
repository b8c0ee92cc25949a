// Package gateway assembles an instance that relays requests on the users'
// machines: what it knows comes from their metadata store, and one instance of
// the fleet orders the engines to load weights.
package gateway
