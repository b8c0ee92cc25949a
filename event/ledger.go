package event

import "log/slog"

// Events of the ledger of non-idempotent calls.
var (
	LedgerEntryMalformed   = define(rangeLedger+1, "ledger-entry-malformed", slog.LevelError, "An entry of a shard's log can't be decoded and was skipped.", "Check that all instances run compatible versions.")
	LedgerOwnerUnreachable = define(rangeLedger+2, "ledger-owner-unreached", slog.LevelWarn, "The owner of a shard did not answer; this instance writes to the shard's log itself.", "None for a single event; many events for one owner indicate a broken network link.")
	LedgerEndPending       = define(rangeLedger+3, "ledger-end-pending", slog.LevelWarn, "The end of a claim (the answer to its call, its release or its unknown outcome) could not be made durable yet; the write is retried.", "Check the state of the platform. Until it is available again, retries of the call are told that its outcome is unknown or that it is still running.")
	LedgerClockBehind      = define(rangeLedger+4, "ledger-clock-behind", slog.LevelWarn, "A shard's clock, which is the latest clock of all instances that write to the shard, is far ahead of this instance's clock.", "Find the instance whose clock is wrong; until then keys are refused as too old earlier than they should be.")
)
