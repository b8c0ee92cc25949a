// Package operator is the client of the operators' interface that every entry
// instance offers.
package operator
