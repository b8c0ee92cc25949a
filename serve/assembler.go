package serve

import (
	"fmt"
	"io"

	"redwingknot/engine"
)

// TokenGapError reports an answer with a missing token.
type TokenGapError struct{ Want, Got int }

// Error implements error.
func (e *TokenGapError) Error() string {
	return fmt.Sprintf("token %d arrived, wanted %d", e.Got, e.Want)
}

// VersionError reports an answer by another weight version than the one begun.
type VersionError struct{ Want, Got string }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("answer by version %s, begun by %s", e.Got, e.Want)
}

// assembler joins the frames of one request's attempts into one answer: every
// token once, in order, of one attempt at a time and of one weight version.
// One goroutine uses it.
type assembler struct {
	attempt  string
	version  string // version of the tokens delivered, empty before the first
	next     int    // offset of the next token
	finish   string // finish reason of the last token
	complete bool   // the last token was delivered
}

// begin starts an attempt; frames of earlier ones are dropped from now on.
func (a *assembler) begin(attempt, version string) error {
	if a.next > 0 && version != a.version {
		return &VersionError{Want: a.version, Got: version}
	}
	a.attempt, a.version = attempt, version
	return nil
}

// end reports whether a stream that has ended was whole.
func (a *assembler) end() error {
	if a.complete {
		return nil
	}
	return &engine.TruncatedError{Err: io.ErrUnexpectedEOF}
}

// accept says whether f is the next token to deliver. Late and crossed frames
// are dropped; a gap is a *TokenGapError.
func (a *assembler) accept(f engine.Frame) (bool, error) {
	if f.AttemptID != a.attempt || f.Offset < a.next || a.complete {
		return false, nil
	}
	if f.Offset > a.next {
		return false, &TokenGapError{Want: a.next, Got: f.Offset}
	}
	a.next++
	if f.FinishReason != "" {
		a.finish, a.complete = f.FinishReason, true
	}
	return true, nil
}
