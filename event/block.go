package event

import "log/slog"

// Events of kept blocks and links.
var (
	StoreUnreachable = define(rangeBlock+1, "store-unreachable", slog.LevelWarn, "A store did not answer; its blocks are computed again until it does.", "See whether the store runs and is reachable from the entry instances of its data centre.")
	BlockRejected    = define(rangeBlock+2, "block-rejected", slog.LevelWarn, "A block could not be read as the directory had it and was taken out; the prompt was computed again.", "Many of these from one store tell of damaged memory or disks there.")
	ListingRefused   = define(rangeBlock+3, "listing-refused", slog.LevelWarn, "A store's listing could not be taken in.", "Read the error attribute.")
)
