// Package instance keeps each instance's view of the other instances: who is
// live, ready, leaving or failed, in its own data centre and in the others.
//
// Instances of a data centre probe each other along a ring with fingers, so an
// instance has a handful of neighbours at any size. A few instances of each
// data centre keep links to every other one. Failures of an instance are
// judged by its own data centre only; a data centre that is out of contact
// keeps its records and is left out of the live members until it is heard
// again.
package instance
