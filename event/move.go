package event

import "log/slog"

// Events of running streams that move between engines.
var (
	StreamMoved        = define(rangeRelay+60, "stream-moved", slog.LevelInfo, "A running stream continues at another engine. The attributes are the engines, the last event sent to the caller before, the pause and the size of the copy.", "")
	StreamMoveFailed   = define(rangeRelay+61, "stream-move-failed", slog.LevelWarn, "A running stream could not move and goes on at its engine, or the answer to the call that moves it was lost.", "If this lasts, check the engines and the links between them, or start gatewayd without --move-streams.")
	StreamMoveReturned = define(rangeRelay+62, "stream-move-returned", slog.LevelWarn, "A stream that had stopped in order to move continues at the engine where it stopped, because the other one refused it or got no copy.", "If this lasts, check the engine in the attribute to.")
	StreamMoveLost     = define(rangeRelay+63, "stream-move-lost", slog.LevelWarn, "A stream that had stopped in order to move could not continue at either engine with its memory. It is resumed like a broken stream if its route allows that, and breaks off otherwise.", "If this lasts, start gatewayd without --move-streams and check the engines.")
	MoveReplyInvalid   = define(rangeRelay+64, "move-reply-invalid", slog.LevelWarn, "An engine's answer to the call that moves a stream can't be decoded or belongs to another request; it is ignored.", "Correct the engine's software.")
)
