package event

import "log/slog"

// Events of routing, retries and suspects.
var (
	EndpointEjected  = define(rangeRoute+1, "endpoint-ejected", slog.LevelWarn, "Consecutive attempts at an endpoint failed; this router sends it only occasional probes.", "If this lasts, check the endpoint.")
	EndpointRestored = define(rangeRoute+2, "endpoint-restored", slog.LevelInfo, "A probe of an ejected endpoint succeeded.", "")
	SuspectRaised    = define(rangeRoute+3, "suspect-raised", slog.LevelWarn, "A request, or a part of its prompt, was in flight when an endpoint crashed. In entryd, the next time it is sent, it runs on an endpoint that runs nothing else.", "")
	SuspectRefused   = define(rangeRoute+4, "suspect-refused", slog.LevelError, "A request, or a part of prompts, has crashed too many endpoints and is refused: from now on if it ran alone in one of the crashes, else for a time.", "Examine the request together with its team, or the part: endpoint-crashed lines name them; a new weight version allows it to run again.")
	SuspectCleared   = define(rangeRoute+5, "suspect-cleared", slog.LevelInfo, "A suspect ran without a crash, or another one explains its crashes; in entryd, on an endpoint that ran nothing else.", "")
	SuspectOnTrial   = define(rangeRoute+6, "suspect-on-trial", slog.LevelWarn, "A request, or a part of prompts, was in flight in so many crashes that it runs once at a time, at few gateways, until a run ends well or crashes another endpoint.", "")
)
