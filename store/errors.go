package store

import (
	"fmt"

	"redwingknot/engine"
)

// RefusedError reports that the store answered and refused.
type RefusedError struct {
	URL        string
	Op         string
	Key        string
	Generation uint64
	Code       RefusalCode
	Detail     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store %s: %s of block %s generation %d refused: %s %s", e.URL, e.Op, e.Key, e.Generation, e.Code, e.Detail)
}

// CorruptError reports bytes read that are not those that were sealed. They
// are never handed on.
type CorruptError struct {
	URL           string
	Want          engine.BlockRef
	GotGeneration uint64
	GotLength     int64
	GotChecksum   uint64
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store %s: block %s: generation %d, %d bytes, checksum %x read in place of generation %d, %d bytes, checksum %x",
		e.URL, e.Want.Key, e.GotGeneration, e.GotLength, e.GotChecksum, e.Want.Generation, e.Want.Length, e.Want.Checksum)
}

// UnreachableError reports that the store gave no whole answer. A write or a
// seal may have taken effect.
type UnreachableError struct {
	URL string
	Op  string
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("store %s: %s: %v", e.URL, e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// StatusError reports an answer that is not part of the protocol.
type StatusError struct {
	URL    string
	Op     string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store %s: %s: unexpected status %d", e.URL, e.Op, e.Status)
}
