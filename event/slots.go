package event

import "log/slog"

// Events of package slots.
var (
	SlotsCoordinated     = define(rangeRelay+45, "slots-coordinated", slog.LevelInfo, "This instance began to grant the slots of a group of endpoints.", "")
	SlotsCoordinatorLost = define(rangeRelay+46, "slots-coordinator-lost", slog.LevelWarn, "The coordinator of a group of endpoints does not answer this instance; requests choose an endpoint themselves or ask the next coordinator.", "If this lasts, check that instance and the network path to it.")
	SlotsCoordinatorBack = define(rangeRelay+47, "slots-coordinator-back", slog.LevelInfo, "A coordinator of slots answers this instance again.", "")
	SlotsHolderLost      = define(rangeRelay+48, "slots-holder-lost", slog.LevelWarn, "The stream of an instance that held slots ended; its slots are free again.", "")
	SlotsMessageInvalid  = define(rangeRelay+49, "slots-message-invalid", slog.LevelWarn, "An instance sent a message about slots that makes no sense; it is ignored.", "If instances of different versions don't run, report it.")
)
