package note

import (
	"fmt"
	"strings"
)

// Fault is one reason why a note is refused.
type Fault struct {
	Line   int // line in the note's text; 0 if the fault concerns the whole note
	Reason string
}

// String returns the reason, preceded by the line number if there is one.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Reason
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
}

// InvalidError reports all faults of a note, ordered by line.
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

// ConflictError reports that another note was accepted first under the number
// that the refused note would have got. No change of the refused note took effect.
type ConflictError struct {
	Base   uint64 // head that the refused note was written against
	Head   uint64 // current head
	Number uint64 // number of the note that was accepted first
	Title  string // title of that note; empty if its text is no longer kept
	Author string // author of that note; empty if its text is no longer kept
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("note conflicts with note %d %q by %q: it was written against %d and the head is %d",
		e.Number, e.Title, e.Author, e.Base, e.Head)
}

// PlatformBehindError reports that the platform's log holds fewer notes than are in
// force at this instance.
type PlatformBehindError struct {
	InForce  uint64 // head of the notes in force
	Platform uint64 // head of the platform's log
}

// Error implements error.
func (e *PlatformBehindError) Error() string {
	return fmt.Sprintf("the platform knows %d notes and %d are in force", e.Platform, e.InForce)
}

// ForkError reports a note history, of the platform or of a peer, that differs from
// the one in force.
type ForkError struct {
	Number uint64 // the histories up to and including this note differ
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("note history up to note %d differs from the one in force", e.Number)
}

// GapError reports an update that skips notes: its first note does not directly
// follow the head.
type GapError struct {
	Head  uint64 // number of the last note in force
	First uint64 // number of the first note that can't be applied
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("update starts at note %d, but the head is %d", e.First, e.Head)
}

// DecodeError reports data that can't be decoded, such as a note of an update,
// a snapshot or a mark.
type DecodeError struct {
	What string // the kind of data, with its key if it has one
	Err  error  // cause; may be nil
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s can't be decoded: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// NoPlatformError reports a call that needs the platform on a Book that was
// created without BookOptions.KV.
type NoPlatformError struct{}

// Error implements error.
func (e *NoPlatformError) Error() string { return "no platform is configured for this book of notes" }
