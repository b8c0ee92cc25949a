package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// promptWith returns the headers of the n-th prompt with the given part as its second.
func promptWith(part string, n int) []string {
	return []string{"Model", "m", "Token-Count", "900,50", "Prompt-Prefix", fmt.Sprintf("aa:500,%s:300,%x:100", part, 1<<12+n), "Attempt-Id", fmt.Sprint(part, n)}
}

// TestPartIsRefusedAfterThirdCrash sends prompts that have a part in common, which crashes
// each endpoint: after the third crash all prompts with it are refused, and others served.
func TestPartIsRefusedAfterThirdCrash(t *testing.T) {
	b := newTestBed(t)
	for n, id := range []string{"i-1", "i-2", "i-3"} {
		var f *fakeEndpoint
		f = b.startEndpoint(id, func(x *exchange) {
			x.startStream()
			f.crash()
		})
		b.send(fmt.Sprint("/flux/", n), promptWith("bad", n)...)
		b.view.RemoveEndpoint(id, b.now())
	}
	good := b.startEndpoint("i-4", func(x *exchange) {
		x.startStream()
		x.event(0)
		x.endStream()
	})
	r := b.send("/flux/9", promptWith("bad", 9)...)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, headerSeconds(r.header) > 10, "Retry-After is %q", r.header.Get("Retry-After"))
	assert.Equal(t, len(good.requests()), 0)
	assert.Equal(t, b.send("/flux/9", promptWith("fine", 9)...).status, http.StatusOK)
}

// TestPartOfAnsweringPromptIsNoSuspect crashes an endpoint at the beginning of a response,
// and a while after it: only at the beginning are the parts of the prompt suspects.
func TestPartOfAnsweringPromptIsNoSuspect(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration
		suspects int
	}{
		{"at the first event", 0, 3},
		{"a while later", 150 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			var f *fakeEndpoint
			f = b.startEndpoint("i-1", func(x *exchange) {
				x.startStream()
				x.event(0)
				time.Sleep(c.after)
				x.event(1)
				f.crash()
			})
			b.send("/flux/1", promptWith("bb", 1)...)
			assert.Equal(t, len(b.suspects()), c.suspects)
		})
	}
}
