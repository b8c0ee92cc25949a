package tunnel_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/tunnel"
	"redwingknot/upstream"
)

// TestEndedStopReportsNoCutConnection guards against a stop that says that it cuts connections of
// other instances although none is open: its time may be over when it begins to wait for them.
func TestEndedStopReportsNoCutConnection(t *testing.T) {
	b := newTestBed(t)
	c, _ := b.dial(t)
	assert.NilError(t, c.Close())
	b.server.Drain()
	assert.Check(t, b.server.Wait(t.Context()))
	ended, end := context.WithCancel(t.Context())
	end()
	for range 100 {
		assert.Assert(t, b.server.Wait(ended), "no connection is open")
	}
}

// noticeTime is how long the other end of a connection in this process takes at most to learn of a
// stop.
const noticeTime = 100 * time.Millisecond

// TestKeptConnectionOfStoppingInstanceIsNotUsed guards against requests that are sent through an
// instance that stops, on a connection that was kept from an earlier request.
func TestKeptConnectionOfStoppingInstanceIsNotUsed(t *testing.T) {
	for _, stopsDuringRun := range []bool{false, true} {
		t.Run(fmt.Sprintf("stops during a run %t", stopsDuringRun), func(t *testing.T) {
			b := newTestBed(t)
			pool := upstream.NewPool("endpoint", 4, nil, func(ctx context.Context) (net.Conn, error) { return tunnel.Dial(ctx, b.client, key) })
			arrived, answer, served := make(chan struct{}), make(chan struct{}), make(chan int, 1)
			go func() {
				endpoint, requests := <-b.endpoints, 0
				buf := make([]byte, 1000)
				for {
					if _, err := endpoint.Read(buf); err != nil {
						served <- requests
						return
					}
					if requests++; requests == 1 {
						close(arrived)
						<-answer
					}
					fmt.Fprint(endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
			send := func() error {
				res, err := pool.Send(t.Context(), &upstream.Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
				if err != nil {
					return err
				}
				defer res.Close()
				_, err = io.ReadAll(res.Body)
				return err
			}
			sent := make(chan error, 1)
			go func() { sent <- send() }()
			<-arrived
			if stopsDuringRun {
				b.server.Drain()
				time.Sleep(noticeTime)
			}
			close(answer)
			assert.NilError(t, <-sent, "a run in progress goes on")
			if !stopsDuringRun {
				b.server.Drain()
			}
			time.Sleep(noticeTime)
			var notSent *upstream.NotSentError
			err := send()
			assert.Check(t, errors.As(err, &notSent), "the request was sent through an instance that stops: %v", err)
			pool.Prune(time.Now())
			idle, _ := pool.ConnCounts()
			assert.Equal(t, idle, 0)
			if idle == 0 {
				assert.Equal(t, <-served, 1)
			}
		})
	}
}

// TestLostOpeningLeavesNoConnection guards against connections that stay open, and counted, because
// the instance that asked for them was lost while they were opened.
func TestLostOpeningLeavesNoConnection(t *testing.T) {
	b := newTestBed(t)
	dialing, goOn := make(chan struct{}), make(chan struct{})
	b.beforeDial = func() {
		close(dialing)
		<-goOn
	}
	opened := make(chan error, 1)
	go func() {
		_, err := tunnel.Dial(t.Context(), b.client, key)
		opened <- err
	}()
	<-dialing
	b.client.Close()
	assert.Check(t, <-opened != nil)
	time.Sleep(noticeTime)
	close(goOn)
	endpoint := <-b.endpoints
	assert.NilError(t, endpoint.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := endpoint.Read(make([]byte, 1))
	assert.Check(t, upstream.ClosedByPeer(err), "the connection to the endpoint is open: %v", err)
	b.server.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Check(t, b.server.Wait(ctx), "a connection counts as open")
}
