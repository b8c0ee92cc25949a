// Package enginestandin implements a fake model engine for tests and the demo.
// It simulates a request queue with a limited number of slots, a prefix cache,
// delayed load reports, cache events with gaps, and orders with and without
// fencing checks. Its answers depend only on the prompt and the weight version,
// so that a resumed answer can be checked.
package enginestandin
