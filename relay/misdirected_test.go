package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSecondResponseToEarlierRequestIsNoPromise has an endpoint send, late and on a kept
// connection, a second response to the request before, which says that the request was
// meant for another endpoint. The endpoint runs the request that is under way, so its
// caller must not be told that it has not run, and it must not be sent again.
func TestSecondResponseToEarlierRequestIsNoPromise(t *testing.T) {
	for _, attempt := range []string{"Attempt-Id: earlier\r\n", ""} {
		b := newTestBed(t)
		first := true
		f := b.startEndpoint("i-1", func(x *exchange) {
			if first {
				first = false
				x.startStream()
				x.event(0)
				x.endStream()
				return
			}
			fmt.Fprintf(x.conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", attempt)
		})
		assert.Equal(t, b.send("/flux/", promptHeaders()...).status, http.StatusOK)
		got := b.send("/flux/", append(promptHeaders(), "Attempt-Id", "later")...)
		assert.Equal(t, got.status, http.StatusBadGateway, "status %d: %s", got.status, got.body)
		assert.Equal(t, requestCount(f), 2)
	}
}

// TestMisdirectedRequestIsSentElsewhere checks that a refusal as misdirected on a new
// connection, with or without the attempt's identifier, allows another attempt.
func TestMisdirectedRequestIsSentElsewhere(t *testing.T) {
	for _, attempt := range []string{"Attempt-Id: a1\r\n", ""} {
		b := newTestBed(t)
		b.startEndpoint("i-1", func(x *exchange) {
			fmt.Fprintf(x.conn, "HTTP/1.1 421 Misdirected Request\r\n%sInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n", attempt)
		})
		b.startEndpoint("i-2", respondOK)
		for range 4 {
			assert.Equal(t, b.send("/once/").status, http.StatusOK)
		}
	}
}

// TestSecondRefusalIsNoPromiseForLaterAttempt has the only endpoint refuse a request, and
// refuse it a second time, late, on the same connection. The request is sent there again,
// and runs: that attempt must not get the second refusal.
func TestSecondRefusalIsNoPromiseForLaterAttempt(t *testing.T) {
	b := newTestBed(t)
	sent := map[*net.TCPConn]int{}
	f := b.startEndpoint("i-1", func(x *exchange) {
		sent[x.conn]++
		if len(sent) == 1 {
			x.refuseUnexecuted(http.StatusServiceUnavailable)
			return
		}
		x.startStream()
		x.event(0)
		x.endStream()
	})
	got := b.send("/flux/", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusOK, "status %d: %s", got.status, got.body)
	assert.Equal(t, requestCount(f), 2)
}
