// Package engine is the HTTP client of a model engine. It requests answers, gives
// orders, gets the engine's reports and cache events, and has the engine export and
// import KV cache blocks.
package engine
