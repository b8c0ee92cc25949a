package serve

import (
	"fmt"
	"io"

	"redwingknot/engine"
)

// TokenGapError reports that a token of an answer is missing: the token at offset Got
// arrived although the one at offset Want had not.
type TokenGapError struct{ Want, Got int }

// Error implements error.
func (e *TokenGapError) Error() string { return fmt.Sprintf("got token %d, want %d", e.Got, e.Want) }

// VersionError reports that an endpoint answered with the weights Got although the
// request needs Want.
type VersionError struct{ Want, Got engine.Weights }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("answer has weights %s, expected %s", e.Got, e.Want)
}

// assembler joins the frames of the attempts of a request into one answer. It
// accepts each token once and in order, only from the current attempt, and all
// tokens from the same weights. It is not safe for concurrent use.
type assembler struct {
	attemptID    string         // current attempt
	weights      engine.Weights // of the current attempt and of all accepted tokens
	nextOffset   int            // offset of the next token to accept
	finishReason string         // finish reason of the last token, empty until it is accepted
	complete     bool           // the last token was accepted
}

// beginAttempt starts an attempt; frames of earlier attempts are no longer
// accepted. It returns a *VersionError if tokens of other weights have been accepted.
func (a *assembler) beginAttempt(attemptID string, w engine.Weights) error {
	if a.nextOffset > 0 && w != a.weights {
		return &VersionError{Want: a.weights, Got: w}
	}
	a.attemptID, a.weights = attemptID, w
	return nil
}

// checkComplete is called at the end of a stream. It returns an
// *engine.TruncatedError if the last token of the answer was not accepted.
func (a *assembler) checkComplete() error {
	if a.complete {
		return nil
	}
	return &engine.TruncatedError{Err: io.ErrUnexpectedEOF}
}

// accept accepts f if it is the next token to deliver, advances to the token after it
// and returns true. It returns false for frames of other attempts, for tokens accepted
// before and for frames after the last token, and a *TokenGapError if a token is
// missing before f.
func (a *assembler) accept(f engine.Frame) (bool, error) {
	if f.AttemptID != a.attemptID || f.Offset < a.nextOffset || a.complete {
		return false, nil
	}
	if f.Offset > a.nextOffset {
		return false, &TokenGapError{Want: a.nextOffset, Got: f.Offset}
	}
	a.nextOffset++
	if f.FinishReason != "" {
		a.finishReason, a.complete = f.FinishReason, true
	}
	return true, nil
}
