// Package event is the catalogue of numbered log events. docs/EVENTS.md is
// rendered from it and a test keeps both equal.
package event
