package event

import "log/slog"

// Events of the membership, the election of leaders, the replication of notes and
// the orders to endpoints.
var (
	InstanceJoined     = define(rangeInstance+1, "instance-joined", slog.LevelInfo, "An instance has become live in this instance's view of the membership.", "")
	InstanceLost       = define(rangeInstance+2, "instance-lost", slog.LevelInfo, "An instance has failed or has left, or contact with its data centre is lost.", "")
	InstanceSuperseded = define(rangeInstance+3, "instance-superseded", slog.LevelError, "Another process with this instance's identifier has joined later; this process exits.", "Check that no two instances have the same identifier in their settings.")

	LeadTaken                = define(rangeInstance+11, "lead-taken", slog.LevelInfo, "This instance has become the leader of its data centre.", "")
	LeadLost                 = define(rangeInstance+12, "lead-lost", slog.LevelWarn, "This instance could not renew its leader lease in time and is no longer the leader.", "If the event repeats, check the state of the platform.")
	LeadGivenUp              = define(rangeInstance+13, "lead-handed-on", slog.LevelInfo, "This instance has given up the leadership in a planned stop.", "")
	LeadFencingTokenReverted = define(rangeInstance+14, "lead-fence-back", slog.LevelError, "The leader lease's fencing token is lower than one that this instance has seen; the platform may have been restored from an older backup.", "Compare the platform's revision with its backups. Engines that check fencing refuse orders until the token is higher than the old one.")

	NotesPulled     = define(rangeInstance+21, "notes-pulled", slog.LevelInfo, "Notes that were not delivered by push along the tree of instances were pulled from a peer.", "")
	NotesPullFailed = define(rangeInstance+22, "notes-pull-failed", slog.LevelWarn, "Notes could not be pulled from a peer with a higher head; the pull is retried.", "")
	NotesRefused    = define(rangeInstance+23, "notes-refused", slog.LevelError, "Notes from a peer could not be applied.", "Compare the versions of the two instances.")

	OrderGiven  = define(rangeInstance+31, "order-given", slog.LevelInfo, "An endpoint was ordered to load weights or adapters or to take a role.", "")
	OrderFailed = define(rangeInstance+32, "order-failed", slog.LevelWarn, "An order got no response or was refused; the endpoint's report determines the next order.", "")
	OrderFenced = define(rangeInstance+33, "order-fenced", slog.LevelWarn, "An endpoint refused an order because it has accepted one of a later leader; this instance sends it no further orders.", "")
	SwapBlocked = define(rangeInstance+34, "swap-held", slog.LevelInfo, "A change of weights waits because it would reduce the service below its capacity floor.", "")
)
