package event

import "log/slog"

// Events of the blocks kept in stores.
var (
	StoreUnreachable = define(rangeBlock+1, "store-unreachable", slog.LevelWarn, "A store did not answer; its blocks are prefilled again until it answers again.", "Check that the store runs and is reachable from the entry instances of its data centre.")
	BlockRejected    = define(rangeBlock+2, "block-rejected", slog.LevelWarn, "A block could not be imported although its store answers; the directory's record of it was rejected and the prompt was prefilled again.", "Many of these events for one store indicate damaged memory or disks there.")
	ListingRefused   = define(rangeBlock+3, "listing-refused", slog.LevelWarn, "A store's listing of blocks could not be applied to the directory.", "Read the error attribute.")
)
