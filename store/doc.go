// Package store is the client of a store instance, which keeps KV cache blocks
// in memory and on disk. A block is written, then sealed with its length and
// checksum, and can be read only after that, by key and generation.
package store
