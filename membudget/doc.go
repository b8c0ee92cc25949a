// Package membudget bounds the memory for messages that a process holds because it has not
// passed them on yet.
package membudget
