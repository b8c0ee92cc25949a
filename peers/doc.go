// Package peers shares between instances what each has under way, so that all
// place requests by the load of the whole fleet instead of their own.
package peers
