package serve

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/engine"
	"redwingknot/retry"
	"redwingknot/route"
)

// failure is the reason why an attempt at an endpoint failed. It appears in logs
// and traces, and selects the label of the retry counter.
type failure string

// Failures of an attempt.
const (
	failConnect  failure = "connect"          // no connection was made, so no byte was sent
	failRefused  failure = "endpoint-refused" // the endpoint answered with an error status instead of running the request
	failVersion  failure = "wrong-version"    // the endpoint has other weights than requested
	failBroken   failure = "stream-broken"    // the connection or the stream broke after the request was sent
	failGap      failure = "token-missing"    // a token of the answer is missing
	failTimeout  failure = "first-token-late" // no token, first or later, within its time limit
	failStopped  failure = "stopped"          // this instance has ended its running requests in a stop
	failCanceled failure = "canceled"         // the caller disconnected or the request's deadline passed
)

// mayBeCrash reports whether a crash of the endpoint can cause the failure.
func (f failure) mayBeCrash() bool { return f == failBroken }

// classifyError returns the failure for the error err of an attempt with context
// ctx.
func classifyError(ctx context.Context, err error) failure {
	var status *engine.StatusError
	var gap *TokenGapError
	var version *VersionError
	switch {
	case isStopped(ctx):
		return failStopped
	case ctx.Err() != nil:
		return failCanceled
	case errors.As(err, &gap):
		return failGap
	case errors.As(err, &version):
		return failVersion
	case engine.IsOtherWeights(err):
		return failVersion
	case errors.As(err, &status):
		return failRefused
	case isConnectError(err):
		return failConnect
	}
	return failBroken
}

// isConnectError reports whether err means that no connection was made, so that
// no byte of the request was sent.
func isConnectError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// relayFrames passes the frames of one attempt to deliver until the stream ends
// or the attempt fails. Frames that the assembler does not accept are passed to
// drop. It returns nil if the answer is complete, and a *CallerWriteError if
// deliver fails.
func relayFrames(a *assembler, s *engine.Stream, deliver func(engine.Frame) error, drop func(engine.Frame)) error {
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return a.checkComplete()
		}
		if err != nil {
			return err
		}
		accepted, err := a.accept(f)
		if err != nil {
			return err
		}
		if !accepted {
			drop(f)
			continue
		}
		if err := deliver(f); err != nil {
			return &CallerWriteError{Err: err}
		}
	}
}

// CallerWriteError reports that writing the answer to the caller failed.
type CallerWriteError struct{ Err error }

// Error implements error.
func (e *CallerWriteError) Error() string { return "write answer to caller: " + e.Err.Error() }

// Unwrap returns the write error.
func (e *CallerWriteError) Unwrap() error { return e.Err }

// isCallerGone reports whether err is a *CallerWriteError.
func isCallerGone(err error) bool {
	var gone *CallerWriteError
	return errors.As(err, &gone)
}

// routeOutcome returns the outcome that is reported to the router for a failure.
func routeOutcome(f failure) route.Outcome {
	switch f {
	case failCanceled, failStopped:
		return route.Canceled
	case failConnect:
		return route.Unreachable
	case failVersion:
		return route.AnsweredOldVersion
	}
	return route.Failed
}

// retryReason returns the reason for the retry after a failure; tokensDelivered
// says whether the caller has received tokens.
func retryReason(f failure, tokensDelivered bool) retry.Reason {
	switch {
	case tokensDelivered:
		return retry.Resume
	case f == failConnect:
		return retry.Unreachable
	case f == failVersion:
		return retry.OldVersion
	case f == failRefused:
		return retry.EndpointBusy
	}
	return retry.Crash
}

// addJitter returns a random duration from d to twice d, so that callers refused
// at the same time do not retry at the same time.
func addJitter(d time.Duration, rng *rand.Rand) time.Duration {
	return d + time.Duration(rng.Int64N(int64(d)))
}
