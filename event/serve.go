package event

import "log/slog"

// Events of the data path.
var (
	RequestEnded    = define(rangeServe+1, "request-ended", slog.LevelDebug, "A request ended; attributes give its service, endpoint and times.", "")
	RequestRefused  = define(rangeServe+2, "request-refused", slog.LevelDebug, "A request was refused; the reason and whether it ran are attributes.", "")
	AttemptFailed   = define(rangeServe+3, "attempt-failed", slog.LevelInfo, "An endpoint failed an attempt; the request is retried, resumed or refused.", "")
	FrameDropped    = define(rangeServe+4, "frame-dropped", slog.LevelWarn, "A frame of another attempt or an old offset arrived and was dropped.", "")
	EndpointCrashed = define(rangeServe+5, "endpoint-crashed", slog.LevelWarn, "An endpoint's connection broke while it ran a request.", "")
	ExportFailed    = define(rangeServe+6, "keep-failed", slog.LevelInfo, "Blocks of an ended prompt could not be kept; a return will be recomputed.", "")
	BringBackFailed = define(rangeServe+7, "bring-back-failed", slog.LevelInfo, "Kept blocks could not be brought back in time; the prompt is recomputed.", "")
)
