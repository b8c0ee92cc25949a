// Package block manages the KV cache blocks of prompts that return after long gaps.
// It has the keys of blocks, the directory of the blocks in stores, the planner that
// decides what to store, free and bring back, and the keeper that carries out the
// transfers. To bring a block back is to import it from a store to an engine's cache.
// The key space is divided into partitions, each with a home instance that keeps the
// directory of its blocks.
package block
