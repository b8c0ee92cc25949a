// Package engine is the HTTP client of a model engine: generating answers, orders,
// the engine's reported state, its cache events, and the export and import of KV
// cache blocks.
package engine
