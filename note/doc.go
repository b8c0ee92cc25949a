// Package note implements release notes: the operators' changes of the
// configuration, their checks, and the state that results from applying the
// accepted notes in order.
package note
