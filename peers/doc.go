// Package peers exchanges the load of each instance's requests with the other
// instances, so that each of them places requests by the load of all instances and
// not only by its own. The reports also carry confirmations of the metadata store's
// content, suspects, and the limits that endpoints have named.
package peers
