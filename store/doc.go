// Package store is the client of a store instance, which keeps KV cache blocks
// in memory and on disk. A block is first written, then sealed with its length
// and checksum. It is readable only after that, by key and generation.
package store
