package event

import "log/slog"

// Events of the ledger of calls that are not idempotent.
var (
	LedgerEntryMalformed   = define(rangeLedger+1, "ledger-entry-malformed", slog.LevelError, "An entry of a shard's log does not decode and was skipped.", "Check that all instances run compatible versions.")
	LedgerOwnerUnreachable = define(rangeLedger+2, "ledger-owner-unreached", slog.LevelWarn, "The owner of a shard did not answer; the instance writes to the shard's log itself.", "Nothing for a single event; many of one owner point to a cut link.")
	LedgerEndPending       = define(rangeLedger+3, "ledger-end-pending", slog.LevelWarn, "The answer or the release of a call could not be made durable yet; it is retried.", "Look at the platform's state. Until it returns, resends of the call are told that its outcome is unknown or that it runs.")
	LedgerClockBehind      = define(rangeLedger+4, "ledger-clock-behind", slog.LevelWarn, "A shard's clock, the latest of all instances that write to it, is far ahead of this instance's clock.", "Find the instance whose clock is wrong; keys are refused as too old early.")
)
