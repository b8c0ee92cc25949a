// Package datacentre holds what one data centre does as a whole: it has one
// lead, by a lease on the key-value service, and brings accepted notes to its
// instances and to the other data centres.
package datacentre
