package event

import "log/slog"

// Events of membership, leads, spreading of notes and orders.
var (
	InstanceJoined     = define(rangeInstance+1, "instance-joined", slog.LevelInfo, "An instance is live in this instance's view.", "")
	InstanceLost       = define(rangeInstance+2, "instance-lost", slog.LevelInfo, "An instance has failed, has left, or its data centre is out of contact.", "")
	InstanceSuperseded = define(rangeInstance+3, "instance-superseded", slog.LevelError, "Another process with this instance's identifier has joined later; this process ends.", "Check that no two instances have the same identifier in their settings.")

	LeadTaken                = define(rangeInstance+11, "lead-taken", slog.LevelInfo, "This instance has become the lead of its data centre.", "")
	LeadLost                 = define(rangeInstance+12, "lead-lost", slog.LevelWarn, "This instance could not renew its lease in time and no longer leads.", "If it repeats, see the platform's state.")
	LeadGivenUp              = define(rangeInstance+13, "lead-handed-on", slog.LevelInfo, "This instance has given up the lead in a planned stop.", "")
	LeadFencingTokenReverted = define(rangeInstance+14, "lead-fence-back", slog.LevelError, "The lease's fencing number is below one that this instance has seen; the platform may have been restored from an older copy.", "Compare the platform's revision with its backups. Engines that check fencing refuse orders until the number has passed the old one.")

	NotesPulled     = define(rangeInstance+21, "notes-pulled", slog.LevelInfo, "Notes that did not arrive through the tree were fetched from a peer.", "")
	NotesPullFailed = define(rangeInstance+22, "notes-pull-failed", slog.LevelWarn, "A peer with a higher head could not be read; another attempt follows.", "")
	NotesRefused    = define(rangeInstance+23, "notes-refused", slog.LevelError, "Notes from a peer could not be applied.", "Compare the versions of the two instances.")

	OrderGiven  = define(rangeInstance+31, "order-given", slog.LevelInfo, "An endpoint was ordered to load weights, adapters or a role.", "")
	OrderFailed = define(rangeInstance+32, "order-failed", slog.LevelWarn, "An order got no answer or was refused; the endpoint's report decides what follows.", "")
	OrderFenced = define(rangeInstance+33, "order-fenced", slog.LevelWarn, "An endpoint has obeyed a later lead; this instance gives it no further orders.", "")
	SwapBlocked = define(rangeInstance+34, "swap-held", slog.LevelInfo, "A change of weights waits, because it would take the service below its capacity floor.", "")
)
