package storestandin

import (
	"redwingknot/engine"
	"redwingknot/store"
)

// scrubByte overwrites the content of a freed block, which simulates the reuse of
// its memory.
const scrubByte = 0xdd

// blockID identifies one generation of a block.
type blockID struct {
	key        string
	generation uint64
}

// block is one generation of a block. Its fields are guarded by Server.mu, except
// that a read counted in readGrants reads the content of a sealed block without
// holding Server.mu.
type block struct {
	id            blockID
	content       []byte
	complete      bool // the latest write has received all of the content
	sealed        bool
	interrupted   bool // the latest write was aborted
	freeing       bool // no new reads are allowed; removal may wait for the current ones
	removed       bool
	readGrants    int           // number of current reads
	freed         chan struct{} // closed when the memory has been released
	tier          store.Tier
	reservedBytes int64  // bytes counted as used in the tier
	lastRead      uint64 // Server.readClock at the latest read
	sealedInfo    store.SealedBlock
	freeResult    store.FreeResponse // answer to the call that frees the block
}

func (b *block) ref() engine.BlockRef {
	return engine.BlockRef{Key: b.id.key, Generation: b.id.generation, Length: int64(len(b.content)), Checksum: store.Checksum(b.content)}
}

// scrub overwrites the content, as the next block in the same memory would, so
// that a read of freed memory is noticed.
func (b *block) scrub() {
	for i := range b.content {
		b.content[i] = scrubByte
	}
}
