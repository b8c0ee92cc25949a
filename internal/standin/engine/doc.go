// Package enginestandin is a small stand-in of a model engine for tests and the
// demo: a queue with slots, a prefix cache, lagging reports, gappy events,
// orders with and without fencing. Its answers depend only on the prompt and
// the weight version, so that a resumed answer can be checked.
package enginestandin
