package storestandin

import (
	"redwingknot/engine"
	"redwingknot/store"
)

// scrubByte overwrites the memory of a freed block, as its reuse would.
const scrubByte = 0xdd

// id names one generation of a block.
type id struct {
	key        string
	generation uint64
}

// block is one generation of a block. Its fields are guarded by the server's
// mutex, except that the content of a sealed block is read without it by reads
// counted in grants.
type block struct {
	id       id
	content  []byte
	whole    bool // the latest write has ended well
	sealed   bool
	broken   bool // the latest write was cut off
	freeing  bool
	removed  bool
	grants   int           // reads under way
	freed    chan struct{} // closed when the memory has been given back
	tier     store.Tier
	reserved int64 // bytes counted in the tier
	lastRead uint64
	info     store.SealedBlock
	removal  store.FreeResponse
}

func (b *block) ref() engine.BlockRef {
	return engine.BlockRef{Key: b.id.key, Generation: b.id.generation, Length: int64(len(b.content)), Checksum: store.Checksum(b.content)}
}

// scrub overwrites the content with what the next block in the same memory
// would hold.
func (b *block) scrub() {
	for i := range b.content {
		b.content[i] = scrubByte
	}
}
