package block

import "fmt"

// KeyError reports a text or a message field that is not a block key.
type KeyError struct{ Text string }

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("%q is not a block key", e.Text) }

// StaleError reports that a publication was refused because its generation is not
// newer than the one in the directory.
type StaleError struct {
	Key  Key
	Got  uint64
	Held uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("block %s: generation %d does not replace generation %d", e.Key, e.Got, e.Held)
}

// EpochError reports that a publication was refused because its store epoch differs
// from the one that the directory knows. Only a listing of the store tells which of
// the two is current.
type EpochError struct {
	Store string
	Got   string
	Known string
}

// Error implements error.
func (e *EpochError) Error() string {
	return fmt.Sprintf("store %s: publication has epoch %s, directory has epoch %s", e.Store, e.Got, e.Known)
}

// UnsealedError reports that a publication lacks the store's confirmation of the seal.
type UnsealedError struct{ Key string }

// Error implements error.
func (e *UnsealedError) Error() string {
	return fmt.Sprintf("block %s: published without a seal", e.Key)
}

// TooManyError reports that a directory or one of its tables is full, or that a block
// is too large.
type TooManyError struct {
	What  string // what there are too many of, in the plural
	Limit int
}

// Error implements error.
func (e *TooManyError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// FreedError reports that a publication was refused because the block is being freed.
type FreedError struct {
	Key        Key
	Generation uint64
}

// Error implements error.
func (e *FreedError) Error() string {
	return fmt.Sprintf("block %s generation %d is being freed", e.Key, e.Generation)
}

// MessageError reports a malformed response from another instance.
type MessageError struct{ Method string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed response to " + e.Method }

// NoHomeError reports that the home instance of a partition is not reachable.
type NoHomeError struct{ Partition Partition }

// Error implements error.
func (e *NoHomeError) Error() string {
	return fmt.Sprintf("no reachable home instance for partition %s", e.Partition.Prefix())
}

// CollisionError reports that a publication was refused because another key with the
// same fingerprint is in the directory.
type CollisionError struct{ Key Key }

// Error implements error.
func (e *CollisionError) Error() string { return fmt.Sprintf("block %s: duplicate fingerprint", e.Key) }
