package note

import (
	"fmt"
	"strings"
)

// Fault is one reason why a note is refused.
type Fault struct {
	Line   int // in the note's text, 0 for the note as a whole
	Reason string
}

// String returns the fault as a compiler would print it.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Reason
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
}

// InvalidError reports all faults of a note, in order of line.
type InvalidError struct {
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "invalid note: " + strings.Join(lines, "; ")
}

// ConflictError reports that another note was accepted first. Nothing of the
// refused note took effect.
type ConflictError struct {
	Base   uint64 // head that the refused note was written against
	Head   uint64 // head now
	Number uint64 // of the note that came first
	Title  string // of that note, if it is still known
	Author string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("note conflicts with note %d %q by %q: it was written against %d and the head is %d",
		e.Number, e.Title, e.Author, e.Base, e.Head)
}

// PlatformBehindError reports that the platform knows fewer notes than are in force.
type PlatformBehindError struct {
	InForce  uint64
	Platform uint64
}

// Error implements error.
func (e *PlatformBehindError) Error() string {
	return fmt.Sprintf("the platform knows %d notes and %d are in force", e.Platform, e.InForce)
}

// ForkError reports two different histories up to the same number.
type ForkError struct {
	Number uint64
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("another history was offered up to note %d", e.Number)
}

// GapError reports an update that starts behind the next note.
type GapError struct {
	Head  uint64
	First uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("update starts at note %d and the head is %d", e.First, e.Head)
}

// DecodeError reports an update or a snapshot that can't be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s can't be decoded: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// NoPlatformError reports a call that needs the platform on a Book without one.
type NoPlatformError struct{}

// Error implements error.
func (e *NoPlatformError) Error() string { return "this book has no platform" }
