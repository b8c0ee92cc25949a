package store

import (
	"fmt"

	"redwingknot/engine"
)

// RefusedError reports that the store answered and refused the operation.
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

// CorruptError reports that a store returned another generation or other content
// than was asked for. The content is discarded. The fields after Want describe what
// was returned; Stat sets only GotGeneration.
type CorruptError struct {
	URL           string
	Want          engine.BlockRef
	GotGeneration uint64
	GotLength     int64
	GotChecksum   uint64
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store %s: block %s: got generation %d, %d bytes, checksum %x; want generation %d, %d bytes, checksum %x",
		e.URL, e.Want.Key, e.GotGeneration, e.GotLength, e.GotChecksum, e.Want.Generation, e.Want.Length, e.Want.Checksum)
}

// UnreachableError reports that no complete response came from the store. A write,
// seal or free may still have taken effect.
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

// StatusError reports a status outside 2xx whose body is not a Problem.
type StatusError struct {
	URL    string
	Op     string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store %s: %s: unexpected status %d", e.URL, e.Op, e.Status)
}

// MalformedError reports a response that names a block which the request can't have led to.
type MalformedError struct {
	URL string
	Op  string
	Key string // of the block
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("store %s: %s: block %.200q was not asked for", e.URL, e.Op, e.Key)
}
