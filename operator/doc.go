// Package operator provides a client for the operator API, which every entry
// instance serves, and the messages of that API.
package operator
