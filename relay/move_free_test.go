package relay_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// waitForNoLoad waits until no endpoint has a reservation.
func (b *moveBed) waitForNoLoad() {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		for _, l := range b.relay.Endpoints().Loads() {
			if l.Running+l.HeldTokens > 0 {
				return poll.Continue("%+v is reserved", l)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestCopyIsFreedAfterLostCall guards against a copy that keeps memory and a slot at the target
// for handle_s because one call to free it, or its answer, was lost.
func TestCopyIsFreedAfterLostCall(t *testing.T) {
	for name, fail := range map[string]func(x *exchange){
		"connection lost": func(x *exchange) { x.reset() },
		"no answer":       func(*exchange) { time.Sleep(600 * time.Millisecond) },
		"unavailable":     func(x *exchange) { x.respond(http.StatusServiceUnavailable, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newMoveBed(t)
			b.copy = func(x *exchange) {
				writeRest(b.stream, 1)
				respondHandle(x)
			}
			serve := b.source.serve
			b.source.serve = func(x *exchange) {
				if isFree(x) && b.calls(isFree) == 1 {
					fail(x)
					return
				}
				serve(x)
			}
			b.stop = func(x *exchange) { x.respond(http.StatusNotFound, "") }
			checkWhole(t, b.read("/flux/"))
			b.waitForFrees(2)
			b.waitForNoLoad()
		})
	}
}

// TestCopyWithLateAnswerIsFreed guards against a copy that keeps memory and a slot at the target
// for handle_s because the answer that names it came after the limit of the call.
func TestCopyWithLateAnswerIsFreed(t *testing.T) {
	b := newMoveBed(t)
	b.copy = func(x *exchange) {
		writeRest(b.stream, 1)
		time.Sleep(300 * time.Millisecond) // the limit is 100 ms here
		respondHandle(x)
	}
	checkWhole(t, b.read("/flux/"))
	b.waitForFrees(1)
	b.waitForNoLoad()
	assert.Equal(t, b.calls(isStop)+len(b.target.requests()), 0)
}
