package event

import "log/slog"

// Events of routing, retries and suspects.
var (
	EndpointEjected  = define(rangeRoute+1, "endpoint-ejected", slog.LevelWarn, "Attempts at an endpoint failed in a row; this router sends it nothing but a probe from time to time.", "If it lasts, look at the endpoint.")
	EndpointRestored = define(rangeRoute+2, "endpoint-restored", slog.LevelInfo, "A probe of an ejected endpoint succeeded.", "")
	SuspectRaised    = define(rangeRoute+3, "suspect-raised", slog.LevelWarn, "A request was in flight when an endpoint ended; it runs alone next time.", "")
	SuspectRefused   = define(rangeRoute+4, "suspect-refused", slog.LevelError, "A request has crashed two endpoints and is refused from now on.", "Look at the request with its team; a new weight version lets it run again.")
	SuspectCleared   = define(rangeRoute+5, "suspect-cleared", slog.LevelInfo, "A suspect ran alone without a crash.", "")
)
