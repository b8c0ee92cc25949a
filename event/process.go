package event

import "log/slog"

// Events of process start and stop.
var (
	ProcessStarted  = define(rangeProcess+1, "process-started", slog.LevelInfo, "The process has checked its settings and serves.", "")
	ProcessDraining = define(rangeProcess+2, "process-draining", slog.LevelInfo, "A termination signal arrived; no new work is taken and running work finishes.", "")
	ProcessStopped  = define(rangeProcess+3, "process-stopped", slog.LevelInfo, "All work has finished and the process ends.", "")
	ProcessFailed   = define(rangeProcess+4, "process-failed", slog.LevelError, "The process can't go on and ends with a failure.", "Read the error attribute; the platform replaces the instance.")
)
