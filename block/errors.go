package block

import "fmt"

// KeyError reports a text or message field that is not a key.
type KeyError struct{ Text string }

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("%q is not a block key", e.Text) }

// StaleError reports a publication that does not replace what the directory
// holds: its generation is not newer.
type StaleError struct {
	Key  Key
	Got  uint64
	Held uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("block %s: generation %d does not replace generation %d", e.Key, e.Got, e.Held)
}

// EpochError reports a publication from another epoch of a store than the one
// known. The store has to be listed to tell which of the two is in force.
type EpochError struct {
	Store string
	Got   string
	Known string
}

// Error implements error.
func (e *EpochError) Error() string {
	return fmt.Sprintf("store %s: publication of epoch %s, known is %s", e.Store, e.Got, e.Known)
}

// UnsealedError reports a publication without a store's account of the seal.
type UnsealedError struct{ Key string }

// Error implements error.
func (e *UnsealedError) Error() string {
	return fmt.Sprintf("block %s: published without a seal", e.Key)
}

// TooManyError reports that a directory or one of its tables is full.
type TooManyError struct {
	What  string
	Limit int
}

// Error implements error.
func (e *TooManyError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// FreedError reports a publication of a block that is being freed.
type FreedError struct {
	Key        Key
	Generation uint64
}

// Error implements error.
func (e *FreedError) Error() string {
	return fmt.Sprintf("block %s generation %d is being freed", e.Key, e.Generation)
}

// MessageError reports a malformed message of another instance.
type MessageError struct{ Method string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed answer to " + e.Method }

// NoHomeError reports that no instance in reach is home of a partition.
type NoHomeError struct{ Partition Partition }

// Error implements error.
func (e *NoHomeError) Error() string {
	return fmt.Sprintf("no home in reach for partition %s", e.Partition.Prefix())
}

// CollisionError reports a key that shares its fingerprint with another one in
// the directory.
type CollisionError struct{ Key Key }

// Error implements error.
func (e *CollisionError) Error() string { return fmt.Sprintf("block %s: fingerprint in use", e.Key) }
