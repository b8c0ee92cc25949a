// Package settings reads a process's settings from flags and environment
// variables and checks them all before the process starts.
package settings
