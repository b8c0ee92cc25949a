// Package fuzztest gives the stateful fuzz tests of the repository their seed:
// fixed by default, so that CI repeats itself, and free in a long search.
package fuzztest
