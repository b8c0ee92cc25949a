// Package engine is the client of a model engine: generation, orders, reported
// state, cache events, and export and import of KV cache blocks.
package engine
