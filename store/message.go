package store

import "redwingknot/engine"

// RefusalCode is the reason for which a store refuses an operation.
type RefusalCode string

// Codes of a store's refusals.
const (
	CodeNotFound RefusalCode = "not-found" // the block was never written or has been freed
	CodeUnsealed RefusalCode = "unsealed"  // the block is written, perhaps only partly, and not sealed
	CodeSealed   RefusalCode = "sealed"    // the block is already sealed; a sealed block is immutable
	CodeMismatch RefusalCode = "mismatch"  // the bytes written don't match the length and checksum to seal
	CodeFull     RefusalCode = "full"      // neither memory nor disk has room for the block
	CodeInvalid  RefusalCode = "invalid"   // the request is malformed
)

// Problem is the response body of a refusal.
type Problem struct {
	Code   RefusalCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
}

// Tier is the kind of storage in which a store holds a block.
type Tier string

// Tiers of a store.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// SealRequest asks a store to seal the bytes written for a block, if they have this
// length and checksum.
type SealRequest struct {
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum"`
}

// SealedBlock is a store's confirmation that a block is sealed. Only a store's response
// creates one: the block directory takes it as proof that the block is complete.
type SealedBlock struct {
	Ref   engine.BlockRef `json:"ref"`
	Epoch string          `json:"epoch"` // changes every time the store starts empty
	Seq   uint64          `json:"seq"`   // number of this change within the key's partition, from 1
	Tier  Tier            `json:"tier"`
}

// StatRequest asks a store to confirm several blocks.
type StatRequest struct {
	Refs []engine.BlockRef `json:"refs"`
}

// StatResponse confirms those of the requested blocks that are sealed, in the order
// of the request.
type StatResponse struct {
	Blocks []SealedBlock `json:"blocks"`
}

// FreeResponse is a store's response to a free.
type FreeResponse struct {
	Epoch string `json:"epoch"`
	Seq   uint64 `json:"seq"` // number of this change within the key's partition, 0 if the block was not sealed
}

// Capacity is the used and total size of a store's tiers, in bytes.
type Capacity struct {
	MemoryUsed  int64 `json:"memory_used"`
	MemoryTotal int64 `json:"memory_total"`
	DiskUsed    int64 `json:"disk_used"`
	DiskTotal   int64 `json:"disk_total"`
}

// Used returns the bytes used in both tiers together.
func (c Capacity) Used() int64 { return c.MemoryUsed + c.DiskUsed }

// Total returns the size of both tiers together, in bytes.
func (c Capacity) Total() int64 { return c.MemoryTotal + c.DiskTotal }

// Status is the state that a store reports of itself.
type Status struct {
	Epoch    string   `json:"epoch"`
	Capacity Capacity `json:"capacity"`
}

// Listing is one page of the sealed blocks whose keys begin with a prefix.
type Listing struct {
	Epoch    string        `json:"epoch"`
	Seq      uint64        `json:"seq"` // number of the partition's latest change, frees included
	Capacity Capacity      `json:"capacity"`
	Blocks   []SealedBlock `json:"blocks"`
	More     bool          `json:"more"` // more pages follow; list again after the last key
}

// PartitionDigits is the number of leading hexadecimal digits of a key that name
// its partition. A store numbers changes separately for each partition.
const PartitionDigits = 3

// HeaderGeneration is the response header of a read that carries the generation of
// the block.
const HeaderGeneration = "Block-Generation"
