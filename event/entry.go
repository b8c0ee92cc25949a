package event

import "log/slog"

// Events of an instance's assembly and of operators' requests.
var (
	ComponentFailed   = define(rangeProcess+5, "component-failed", slog.LevelError, "A part of the instance ended with an error; the instance goes on with what it knows.", "Read the error attribute; if it repeats, replace the instance.")
	ComponentPanic    = define(rangeProcess+6, "component-panic", slog.LevelError, "A part of the instance's control panicked and was started again; requests go on.", "Report the stack attribute.")
	InstanceReady     = define(rangeProcess+7, "instance-ready", slog.LevelInfo, "The instance has a configuration and takes requests.", "")
	ConfigApplied     = define(rangeProcess+8, "config-applied", slog.LevelInfo, "A configuration is in force in this instance.", "")
	NoteSubmitted     = define(rangeProcess+9, "note-submitted", slog.LevelInfo, "An operator's release note was accepted.", "")
	NoteRefused       = define(rangeProcess+10, "note-refused", slog.LevelWarn, "An operator's release note was refused; the error is an attribute.", "")
	InForceMarkFailed = define(rangeProcess+11, "in-force-mark-failed", slog.LevelWarn, "The data centre's in-force mark could not be written; it is repeated.", "")
)
