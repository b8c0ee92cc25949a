package event

import "log/slog"

// Events of the logs on the platform's key-value service and of release notes.
var (
	PlatformReverted   = define(rangePlatform+1, "platform-reverted", slog.LevelError, "The key-value service returned an older state than this process has already read from it: it was restored from an older backup.", "Keep the instances running, because they hold the newer state; restore the service from its newest backup. Changes are refused until then.")
	PlatformLogCorrupt = define(rangePlatform+2, "platform-log-corrupt", slog.LevelError, "A key of a log is missing or can't be decoded.", "Find out which other program writes to the key in the error attribute.")
	SnapshotWritten    = define(rangePlatform+3, "snapshot-written", slog.LevelInfo, "A snapshot of a log was written and the old entries of the log were trimmed.", "")
	SnapshotFailed     = define(rangePlatform+4, "snapshot-failed", slog.LevelWarn, "A snapshot or a trim could not be completed; it is retried later.", "If the event persists, check the key-value service.")
	NoteInForce        = define(rangePlatform+11, "note-in-force", slog.LevelInfo, "A release note was applied.", "")
	NoteFork           = define(rangePlatform+12, "note-fork", slog.LevelError, "A peer or the key-value service has a different note under a number that is already in force; that note was not applied.", "Compare the instances with redwingknot status and replace those that hold the wrong history.")
	NoteInapplicable   = define(rangePlatform+13, "note-inapplicable", slog.LevelError, "A note in the log could not be applied; its number is used up and the configuration stays unchanged.", "Submit the change again as a new note.")
	NotePlatformBehind = define(rangePlatform+14, "note-platform-behind", slog.LevelError, "The key-value service has fewer notes than this instance has in force.", "The service was restored from an older backup; restore it from the newest one.")
)
