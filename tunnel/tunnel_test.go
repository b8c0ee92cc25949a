package tunnel_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/tunnel"
	"redwingknot/upstream"
	"redwingknot/wire"
)

var key = fleet.EndpointKey{ID: "i-1", StartMillis: 7}

// testBed is a tunnel to an endpoint that the test plays.
type testBed struct {
	server    *tunnel.Server
	client    *wire.Client
	endpoints chan *net.TCPConn // accepted by the endpoint
	stop      context.CancelFunc
	// beforeDial is called before a connection to the endpoint is opened; nil for nothing.
	beforeDial func()
}

func newTestBed(t *testing.T) *testBed {
	endpoint, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { endpoint.Close() })
	b := &testBed{endpoints: make(chan *net.TCPConn, 10)}
	go func() {
		for {
			c, err := endpoint.Accept()
			if err != nil {
				return
			}
			b.endpoints <- c.(*net.TCPConn)
		}
	}()
	b.server = tunnel.NewServer(func(ctx context.Context, k fleet.EndpointKey) (net.Conn, error) {
		switch k.ID {
		case key.ID:
			if b.beforeDial != nil {
				b.beforeDial()
			}
			return upstream.Dial(ctx, endpoint.Addr().String())
		case "refusing":
			return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
		}
		return nil, &tunnel.UnknownEndpointError{ID: k.ID}
	})
	server := wire.NewServer(nil)
	b.server.Register(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	go func() { _ = server.Serve(ctx, l) }()
	b.client = wire.NewClient(l.Addr().String(), nil, nil)
	t.Cleanup(b.client.Close)
	return b
}

// dial opens a connection through the tunnel and returns its ends.
func (b *testBed) dial(t *testing.T) (*tunnel.Conn, *net.TCPConn) {
	c, err := tunnel.Dial(t.Context(), b.client, key)
	assert.NilError(t, err)
	return c, <-b.endpoints
}

func TestBytesPassInBothDirections(t *testing.T) {
	b := newTestBed(t)
	c, endpoint := b.dial(t)
	request, response := strings.Repeat("q", 100<<10), strings.Repeat("a", 300<<10)
	go func() { _, _ = io.WriteString(c, request) }()
	got := make([]byte, len(request))
	_, err := io.ReadFull(endpoint, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), request)
	assert.Check(t, c.Usable())
	go func() {
		_, _ = io.WriteString(endpoint, response)
		endpoint.Close()
	}()
	all, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(all), response)
	assert.Check(t, !c.Usable(), "the endpoint has closed the connection")
}

// TestEndsAreTold checks that a reset, and the loss of the tunnel, do not look like the
// orderly end of a connection.
func TestEndsAreTold(t *testing.T) {
	b := newTestBed(t)
	c, endpoint := b.dial(t)
	endpoint.SetLinger(0)
	endpoint.Close()
	_, err := c.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Check(t, upstream.ClosedByPeer(err))

	c, _ = b.dial(t)
	b.stop()
	_, err = c.Read(make([]byte, 1))
	var broken *tunnel.BrokenError
	assert.Check(t, errors.As(err, &broken), "%v", err)
	assert.Check(t, !upstream.ClosedByPeer(err), "the endpoint has not closed it")
}

func TestCloseReachesTheEndpoint(t *testing.T) {
	b := newTestBed(t)
	c, endpoint := b.dial(t)
	assert.NilError(t, c.Close())
	assert.NilError(t, endpoint.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := endpoint.Read(make([]byte, 1))
	assert.Check(t, upstream.ClosedByPeer(err), "%v", err)
}

func TestRefusalsAreTold(t *testing.T) {
	b := newTestBed(t)
	for id, refused := range map[string]bool{"refusing": true, "unknown": false} {
		_, err := tunnel.Dial(t.Context(), b.client, fleet.EndpointKey{ID: id})
		assert.Equal(t, upstream.ConnRefused(err), refused, "%s: %v", id, err)
	}
	c, endpoint := b.dial(t)
	b.server.Drain()
	_, err := tunnel.Dial(t.Context(), b.client, key)
	assert.Check(t, err != nil, "a draining instance takes on a connection")
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.Check(t, !b.server.Wait(short), "a connection is open")
	_, err = io.WriteString(endpoint, "x")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	c.Close()
	assert.Check(t, b.server.Wait(t.Context()))
}
