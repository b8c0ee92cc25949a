package event

import "log/slog"

// Events of the data path.
var (
	RequestEnded    = define(rangeServe+1, "request-ended", slog.LevelDebug, "A request ended; attributes give its service and the time that it took.", "")
	RequestRefused  = define(rangeServe+2, "request-refused", slog.LevelDebug, "A request was refused; an attribute gives the reason.", "")
	AttemptFailed   = define(rangeServe+3, "attempt-failed", slog.LevelInfo, "An endpoint failed an attempt; the request is retried, resumed or refused.", "")
	FrameDropped    = define(rangeServe+4, "frame-dropped", slog.LevelWarn, "A frame of another attempt or with an old offset arrived and was dropped.", "")
	EndpointCrashed = define(rangeServe+5, "endpoint-crashed", slog.LevelWarn, "An endpoint's stream broke while it ran a request; after that, its process did not answer or had been restarted.", "")
	ExportFailed    = define(rangeServe+6, "keep-failed", slog.LevelInfo, "Blocks of a completed prompt could not be exported to stores; they will be prefilled again if the prompt returns.", "")
	BringBackFailed = define(rangeServe+7, "bring-back-failed", slog.LevelInfo, "Blocks in stores could not be looked up or brought back in time; the prompt is prefilled again.", "")
)
