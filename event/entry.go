package event

import "log/slog"

// Events of an instance's components and of operators' requests.
var (
	ComponentFailed   = define(rangeProcess+5, "component-failed", slog.LevelError, "A component of the instance ended with an error and is restarted while the instance continues with the state that it has, or a part of the instance could not be drained before the stop.", "Read the error attribute; if the event repeats, replace the instance.")
	ComponentPanic    = define(rangeProcess+6, "component-panic", slog.LevelError, "A control component of the instance panicked and is restarted; requests continue.", "Report the bug with the stack attribute.")
	InstanceReady     = define(rangeProcess+7, "instance-ready", slog.LevelInfo, "The instance has a configuration and accepts requests.", "")
	ConfigApplied     = define(rangeProcess+8, "config-applied", slog.LevelInfo, "This instance has applied a configuration.", "")
	NoteSubmitted     = define(rangeProcess+9, "note-submitted", slog.LevelInfo, "An operator's release note was accepted.", "")
	NoteRefused       = define(rangeProcess+10, "note-refused", slog.LevelWarn, "An operator's release note was refused, or it is unknown whether it was accepted; the error is an attribute.", "")
	InForceMarkFailed = define(rangeProcess+11, "in-force-mark-failed", slog.LevelWarn, "The data centre's in-force mark could not be written; the write is retried.", "")
)
