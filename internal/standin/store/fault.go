package storestandin

// Fault describes the injected faults. It is the body of POST /fault, which
// replaces the current faults. The zero value injects none.
type Fault struct {
	Dead       bool  `json:"dead"`        // every request except POST /fault is aborted without an answer
	Full       bool  `json:"full"`        // new blocks are refused as if both tiers were full
	MaxRate    int64 `json:"rate"`        // limit of each read and write in bytes per second, 0 for none
	CrashAfter int64 `json:"crash_after"` // a write is aborted after this number of bytes, 0 for never
	TornSeal   bool  `json:"torn_seal"`   // a seal takes effect, but the last half of the content is lost
	LostSeal   bool  `json:"lost_seal"`   // a seal takes effect, but its answer is lost
	FlipBit    bool  `json:"flip"`        // one bit of the content is wrong in every read
	LoseBlocks bool  `json:"empty"`       // setting it removes all blocks and starts a new epoch; the fault does not stay set
}

// Guards disables protections of the store, so that tests can show which failure
// each of them prevents. The zero value leaves all of them enabled.
type Guards struct {
	NoSealCheck  bool // unsealed blocks can be read
	NoGrantWait  bool // a free doesn't wait for the current reads of the block
	NoGeneration bool // a read or free applies to the latest generation of the key instead of the one named
}
