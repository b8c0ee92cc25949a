package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowEndpointIsNotSilent sends a request that an endpoint reads and answers later than a
// silent one's is given up.
func TestSlowEndpointIsNotSilent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * abandonTime) }))
	t.Cleanup(server.Close)
	p := NewPool(server.Listener.Addr().String(), 1, nil, nil)
	p.OnSilent(func() { t.Error("it counts as silent") })
	res, err := p.Send(context.Background(), &Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Repeatable: true})
	assert.NilError(t, err)
	res.Close()
}

// TestAcknowledgementsAreTold checks what the kernel tells of a connection.
func TestAcknowledgementsAreTold(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	c, err := Dial(context.Background(), l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, before, ok := unacknowledged(c)
	assert.Check(t, ok)
	_, err = c.Write([]byte("data"))
	assert.NilError(t, err)
	time.Sleep(silenceTime)
	segments, after, ok := unacknowledged(c)
	assert.Check(t, ok && segments == 0 && after == before+4, "%d segments unacknowledged, %d bytes acknowledged after %d", segments, after, before)
	assert.Check(t, !awaitsProbe(c))
	reading, _ := net.Pipe()
	_, _, ok = unacknowledged(reading)
	assert.Check(t, !ok, "a pipe tells nothing")
}

// keepAliveEnd returns when the kernel closes an idle connection whose peer is silent from
// the given time on, for the given time: as Linux decides it, at the first probe that is due
// after the user timeout without a sign of the peer, whatever the count. It returns false if
// the peer answers a probe first.
func keepAliveEnd(silentFrom, silentFor, userTimeout time.Duration) (time.Duration, bool) {
	for at := KeepAliveConfig.Idle; ; at += KeepAliveConfig.Interval {
		if at > KeepAliveConfig.Idle && at >= userTimeout {
			return at, true
		}
		if at < silentFrom || at >= silentFrom+silentFor {
			return 0, false
		}
	}
}

// TestSecondOfSilenceClosesNoConnection checks that keep-alive probes don't give up on an
// endpoint that is silent for a second or so, whenever that begins, but on one that is gone.
func TestSecondOfSilenceClosesNoConnection(t *testing.T) {
	const silence = 1500 * time.Millisecond
	lostBefore := false
	for from := time.Duration(0); from <= 3*time.Second; from += 10 * time.Millisecond {
		_, closed := keepAliveEnd(from, silence, endpointUnackedTimeout)
		assert.Check(t, !closed, "silent from %s on", from)
		_, closed = keepAliveEnd(from, silence, unackedTimeout)
		lostBefore = lostBefore || closed
	}
	assert.Check(t, lostBefore, "the shorter timeout closes some")
	end, closed := keepAliveEnd(0, time.Hour, endpointUnackedTimeout)
	assert.Check(t, closed && end <= 4*time.Second, "closed after %s", end)
}
