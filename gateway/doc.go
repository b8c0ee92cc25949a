// Package gateway assembles an instance that relays requests on the users'
// platform. The instance learns the configuration, the endpoints and the other
// instances from the platform's metadata store. One instance of the fleet, the
// leader, orders endpoints to load weights.
package gateway
