package engine

import (
	"context"
	"time"
)

// Engine is what the system relies on at one model worker.
type Engine interface {
	// Report returns the engine's own account of itself.
	Report(ctx context.Context) (Report, error)
	// Order declares the wanted weights and role. Repeating an order is
	// harmless. An engine that checks fencing refuses an older number with
	// *FencedError; a loading that is not yet done is seen in Report.
	Order(ctx context.Context, o Order) error
	// Events returns the cache events after seq; Gap is set if some are lost.
	Events(ctx context.Context, after uint64) (Events, error)
	// Export copies sealed blocks from the engine's cache to a store.
	Export(ctx context.Context, t Transfer) error
	// Import copies blocks from a store to the engine's cache. The engine
	// verifies generation, length and checksum; a block that fails is left out.
	// It returns the number of blocks now in the cache, from the start.
	Import(ctx context.Context, t Transfer) (int, error)
	// Cancel ends an attempt's generation.
	Cancel(ctx context.Context, attempt string) error
}

// Report is an engine's state as the engine tells it; it may lag.
type Report struct {
	Epoch        string    // changes with each start of the engine
	Model        string    // model loaded
	Version      string    // weight version loaded; may name the one before while another is loaded
	Loading      string    // weight version being loaded, empty if none; the engine then refuses requests
	Adapters     []string  // adapters loaded, as name@version
	Role         string    // role in force
	Fence        int64     // highest fencing number obeyed
	Running      int       // requests being generated
	Waiting      int       // requests queued
	QueuedTokens int       // prompt tokens not yet processed
	Leaving      bool      // the engine takes no new work
	At           time.Time // when the state was true by the reader's clock
}

// Order is the wanted state of an engine.
type Order struct {
	Fence    int64 // only grows within a data centre
	Model    string
	Version  string
	Adapters []string
	Role     string
	Expires  time.Duration // from arrival; an order not begun by then is void
}

// Event is a change of the engine's cache.
type Event struct {
	Seq     uint64
	Block   string // block key
	Removed bool
}

// Events is a batch of cache events.
type Events struct {
	Epoch string
	Last  uint64
	Gap   bool
	List  []Event
}

// BlockRef names one generation of a sealed block.
type BlockRef struct {
	Key        string
	Generation uint64
	Length     int64
	Checksum   uint64 // xxhash of the content
}

// Transfer names blocks to move between an engine and the store at StoreURL.
type Transfer struct {
	StoreURL string
	Blocks   []BlockRef
	Rate     int64 // bytes a second granted on the link, 0 for no limit
}
