package store

import "redwingknot/engine"

// RefusalCode is the cause of a refusal by a store.
type RefusalCode string

// The codes that a store refuses with.
const (
	CodeNotFound RefusalCode = "not-found" // never written, or freed
	CodeUnsealed RefusalCode = "unsealed"  // written, perhaps in part, and not sealed
	CodeSealed   RefusalCode = "sealed"    // already sealed; a sealed block never changes
	CodeMismatch RefusalCode = "mismatch"  // the bytes held differ from those to seal
	CodeFull     RefusalCode = "full"      // neither tier has room
	CodeInvalid  RefusalCode = "invalid"
)

// Problem is the body of a refusal.
type Problem struct {
	Code   RefusalCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
}

// Tier is where a store holds a block.
type Tier string

// The tiers of a store.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// SealRequest asks to seal the bytes written.
type SealRequest struct {
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum"`
}

// SealedBlock is the store's own account of a sealed block. Only a store's answer
// creates one: it is what the directory takes as proof that a block is whole.
type SealedBlock struct {
	Ref   engine.BlockRef `json:"ref"`
	Epoch string          `json:"epoch"` // changes when the store starts empty
	Seq   uint64          `json:"seq"`   // change number within the key's partition, from 1
	Tier  Tier            `json:"tier"`
}

// StatRequest asks for the store's account of several blocks.
type StatRequest struct {
	Refs []engine.BlockRef `json:"refs"`
}

// StatResponse has those of the blocks that are sealed, in the order asked for.
type StatResponse struct {
	Blocks []SealedBlock `json:"blocks"`
}

// FreeResponse is the store's answer to a free.
type FreeResponse struct {
	Epoch string `json:"epoch"`
	Seq   uint64 `json:"seq"` // change number within the key's partition, 0 if it was not sealed
}

// Capacity is the fill of a store in bytes.
type Capacity struct {
	MemoryUsed  int64 `json:"memory_used"`
	MemoryTotal int64 `json:"memory_total"`
	DiskUsed    int64 `json:"disk_used"`
	DiskTotal   int64 `json:"disk_total"`
}

// Used returns the bytes held in both tiers.
func (c Capacity) Used() int64 { return c.MemoryUsed + c.DiskUsed }

// Total returns the bytes that both tiers can hold.
func (c Capacity) Total() int64 { return c.MemoryTotal + c.DiskTotal }

// Status is a store's account of itself.
type Status struct {
	Epoch    string   `json:"epoch"`
	Capacity Capacity `json:"capacity"`
}

// Listing is a page of the sealed blocks whose keys begin with a prefix.
type Listing struct {
	Epoch    string        `json:"epoch"`
	Seq      uint64        `json:"seq"` // last change of the partition; Freed ones are included
	Capacity Capacity      `json:"capacity"`
	Blocks   []SealedBlock `json:"blocks"`
	More     bool          `json:"more"` // list again after the last key
}

// PartitionDigits is the number of leading digits of a key for which a store
// counts changes.
const PartitionDigits = 3

// HeaderGeneration is the header by which an answer to a read names its generation.
const HeaderGeneration = "Block-Generation"
