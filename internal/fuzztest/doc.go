// Package fuzztest sets the seed of the repository's stateful fuzz tests. The
// seed is fixed by default, so that CI runs are reproducible, and taken from the
// clock during a long search.
package fuzztest
