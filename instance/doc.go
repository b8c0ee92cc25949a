// Package instance implements the membership protocol of the instances. Each
// instance keeps a view of all others, in its own data centre and elsewhere:
// which of them are live, ready, leaving or failed.
//
// The instances of a data centre form a ring. Each probes its successor and, one
// after the other, its fingers, which are the instances at distances of powers of
// two on the ring. So it has only a few neighbours whatever the number of instances.
// A few instances of each data centre probe every other data centre. The failure of
// an instance is detected by its own data centre only. While a data centre is out of
// contact its records are kept, but its instances are not counted as live members
// until it is heard from again.
package instance
