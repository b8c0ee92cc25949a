package storestandin

// Fault is what POST /fault sets; the zero value is a healthy store.
type Fault struct {
	Dead       bool  `json:"dead"`        // every connection is dropped
	Full       bool  `json:"full"`        // both tiers refuse new bytes
	MaxRate    int64 `json:"rate"`        // bytes a second of each read and write, 0 for no limit
	CrashAfter int64 `json:"crash_after"` // a write is dropped after so many bytes, 0 for never
	TornSeal   bool  `json:"torn_seal"`   // a seal survives, the last half of its content does not
	LostSeal   bool  `json:"lost_seal"`   // a seal takes effect and its answer is lost
	FlipBit    bool  `json:"flip"`        // reads return one wrong byte
	LoseBlocks bool  `json:"empty"`       // once: the store loses all blocks and starts a new epoch
}

// Guards switches off parts of the store's own protection, so that tests can
// show what each is for. The zero value has all of them on.
type Guards struct {
	NoSealCheck  bool // unsealed blocks are readable
	NoGrantWait  bool // a free does not wait for reads that are under way
	NoGeneration bool // a read or free is answered by any generation of the key
}
