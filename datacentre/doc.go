// Package datacentre elects one leader among the instances of a data centre, by
// a lease on the key-value service, and replicates accepted notes to all
// instances of this and the other data centres.
package datacentre
