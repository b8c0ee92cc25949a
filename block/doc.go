// Package block keeps the KV cache of prompts that return after long gaps:
// keys of blocks, the directory of blocks in stores, the plan of what to keep,
// free and bring back, and the keeper that turns the plan into transfers.
package block
