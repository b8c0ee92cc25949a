package event

import "log/slog"

// Events of the platform's log and of release notes.
var (
	PlatformReverted   = define(rangePlatform+1, "platform-reverted", slog.LevelError, "The key-value service shows less than this process has already read from it: it was restored from an older copy.", "Keep the instances running, they hold the newer state; bring the service back to the newest copy. Changes are refused until then.")
	PlatformLogCorrupt = define(rangePlatform+2, "platform-log-corrupt", slog.LevelError, "A key of a log can't be decoded or is missing.", "Look for a foreign writer to the key in the error attribute.")
	SnapshotWritten    = define(rangePlatform+3, "snapshot-written", slog.LevelInfo, "A log was folded into a snapshot and its old entries were trimmed.", "")
	SnapshotFailed     = define(rangePlatform+4, "snapshot-failed", slog.LevelWarn, "A snapshot or a trim could not be completed; it is tried again later.", "If it persists, look at the key-value service.")
	NoteInForce        = define(rangePlatform+11, "note-in-force", slog.LevelInfo, "A release note was applied.", "")
	NoteFork           = define(rangePlatform+12, "note-fork", slog.LevelError, "A peer or the key-value service offers another note under a number that is already in force; it was not applied.", "Compare the instances with redwingknot status and replace those that hold the wrong history.")
	NoteInapplicable   = define(rangePlatform+13, "note-inapplicable", slog.LevelError, "A note of the log could not be applied; its number is counted and the configuration stays as before.", "Submit the change again as a new note.")
	NotePlatformBehind = define(rangePlatform+14, "note-platform-behind", slog.LevelError, "The key-value service knows fewer notes than this instance has in force.", "The service was restored from an older copy; bring back the newest copy.")
)
