package event

import "log/slog"

// Events of process start and stop.
var (
	ProcessStarted  = define(rangeProcess+1, "process-started", slog.LevelInfo, "The process has checked its settings and is serving.", "")
	ProcessDraining = define(rangeProcess+2, "process-draining", slog.LevelInfo, "The process is stopping, normally because of a termination signal; it finishes running work and refuses work that it might not finish.", "")
	ProcessStopped  = define(rangeProcess+3, "process-stopped", slog.LevelInfo, "All work has finished and the process exits.", "")
	ProcessFailed   = define(rangeProcess+4, "process-failed", slog.LevelError, "The process can't continue and exits with a failure.", "Read the error attribute; the platform replaces the instance.")
)
