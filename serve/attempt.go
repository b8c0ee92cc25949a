package serve

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/engine"
	"redwingknot/retry"
	"redwingknot/route"
)

// failure is why an attempt at an endpoint failed; it is the label of the
// retry counter.
type failure string

// The failures of an attempt.
const (
	failConnect  failure = "connect"          // no byte reached the endpoint
	failRefused  failure = "endpoint-refused" // the endpoint answered that it won't run the request
	failVersion  failure = "wrong-version"    // the endpoint serves another weight version
	failBroken   failure = "stream-broken"    // the connection broke while the request ran
	failGap      failure = "token-missing"    // the answer lacked a token
	failTimeout  failure = "first-token-late" // no token within the attempt's time
	failCanceled failure = "canceled"         // the caller left or its deadline passed
)

// mayHaveCrashed says whether the failure could be the endpoint's crash.
func (f failure) mayHaveCrashed() bool { return f == failBroken }

// classify returns the failure that err of an attempt shows.
func classify(ctx context.Context, err error) failure {
	var status *engine.StatusError
	var gap *TokenGapError
	var version *VersionError
	switch {
	case ctx.Err() != nil:
		return failCanceled
	case errors.As(err, &gap):
		return failGap
	case errors.As(err, &version):
		return failVersion
	case errors.As(err, &status) && status.Status == http.StatusPreconditionFailed:
		return failVersion
	case errors.As(err, &status):
		return failRefused
	case isNotConnected(err):
		return failConnect
	}
	return failBroken
}

// isNotConnected says whether err shows that no connection was made, so that
// no byte of the request left this process.
func isNotConnected(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// relay passes the frames of one attempt to deliver until the answer is whole
// or the attempt fails. Late and crossed frames go to dropped.
func relay(a *assembler, s *engine.Stream, deliver func(engine.Frame) error, dropped func(engine.Frame)) error {
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return a.end()
		}
		if err != nil {
			return err
		}
		next, err := a.accept(f)
		if err != nil {
			return err
		}
		if !next {
			dropped(f)
			continue
		}
		if err := deliver(f); err != nil {
			return &CallerWriteError{Err: err}
		}
	}
}

// CallerWriteError reports that the answer could not be written to the caller.
type CallerWriteError struct{ Err error }

// Error implements error.
func (e *CallerWriteError) Error() string { return "caller is gone: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerWriteError) Unwrap() error { return e.Err }

func isCallerGone(err error) bool {
	var gone *CallerWriteError
	return errors.As(err, &gone)
}

func outcomeOf(f failure) route.Outcome {
	switch f {
	case failCanceled:
		return route.Canceled
	case failConnect:
		return route.Unreachable
	case failVersion:
		return route.AnsweredOldVersion
	}
	return route.Failed
}

func retryReason(f failure, begun bool) retry.Reason {
	switch {
	case begun:
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

// spread draws a time between d and twice d, so that callers refused together
// don't return together.
func spread(d time.Duration, rng *rand.Rand) time.Duration {
	return d + time.Duration(rng.Int64N(int64(d)))
}
