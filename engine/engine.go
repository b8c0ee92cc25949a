package engine

import (
	"context"
	"time"
)

// Engine is the interface to one model worker.
type Engine interface {
	// Report returns the state that the engine reports of itself.
	Report(ctx context.Context) (Report, error)
	// Order sets the wanted weights and role. It is idempotent and doesn't wait
	// for weights to load; Report shows a load in progress. An engine that
	// checks fencing tokens refuses an order whose token is lower than one it
	// has already obeyed, with *FencedError.
	Order(ctx context.Context, o Order) error
	// Events returns the cache events whose Seq is greater than after. Gap is set
	// if some of them are lost.
	Events(ctx context.Context, after uint64) (Events, error)
	// Export copies blocks from the engine's cache to a store and seals them there. The
	// engine refuses to export a block while it has other weights than those of the
	// transfer; an export that it breaks off may have sealed the blocks before.
	Export(ctx context.Context, t Transfer) error
	// Import copies blocks from a store to the engine's cache. The engine
	// verifies generation, length and checksum, and leaves out a block that
	// doesn't match. It returns the number of leading blocks that are now in the
	// cache.
	Import(ctx context.Context, t Transfer) (int, error)
	// Cancel stops generating the answer of an attempt.
	Cancel(ctx context.Context, attempt string) error
}

// Report is the state that an engine reports of itself. It may be out of date.
type Report struct {
	Epoch        string    // changes every time the engine starts
	Model        string    // loaded model
	Version      string    // loaded weight version; may be the previous one while another is being loaded
	Loading      string    // weight version being loaded, empty if none; while loading, the engine refuses requests
	Adapters     []string  // loaded adapters, as name@version
	Role         string    // role that the engine works in
	Fence        int64     // highest fencing token that the engine has obeyed
	Running      int       // requests whose answers are being generated
	Waiting      int       // requests in the engine's queue
	QueuedTokens int       // prompt tokens that are not prefilled yet
	Leaving      bool      // the engine is draining and takes no new requests
	At           time.Time // time of the state by the clock of the instance that asked for it
}

// Order is the wanted state of an engine.
type Order struct {
	Fence    int64 // fencing token; never decreases within a data centre
	Model    string
	Version  string
	Adapters []string
	Role     string
	Expires  time.Duration // an order that is not begun within this time after its arrival is discarded by the engine
}

// Event is one change in an engine's cache: a block was added or removed.
type Event struct {
	Seq     uint64 // sequence number of the event
	Block   string // block key
	Removed bool   // false if the block was added
}

// Events is a batch of cache events.
type Events struct {
	Epoch string // epoch of the engine, as in Report
	Last  uint64 // sequence number of the latest event
	Gap   bool   // events before those in List are lost
	List  []Event
}

// BlockRef identifies one generation of a block. Length, in bytes, and Checksum are
// those that it is sealed with.
type BlockRef struct {
	Key        string
	Generation uint64
	Length     int64
	Checksum   uint64 // xxHash64 of the content
}

// Transfer lists blocks to copy between an engine and the store at StoreURL.
type Transfer struct {
	StoreURL string
	Blocks   []BlockRef
	Rate     int64   // bytes per second granted on the link, 0 for no limit
	Weights  Weights // of an export: the weights that the keys of the blocks name
}
