// Package fleet holds what an instance knows about its deployment: the
// configuration in force, the live endpoints, and how old that knowledge is.
// Its types do no I/O; package gateway updates them.
package fleet
