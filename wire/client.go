package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// DialFunc opens a connection to an address. Tests pass functions that
// simulate network failures.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client makes calls to one remote process. It connects on the first call and
// reconnects on the next call after a connection failure. It is safe for
// concurrent use.
type Client struct {
	addr string
	key  []byte
	dial DialFunc

	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client of the process at addr that authenticates with the
// shared key. If dial is nil, it connects over TCP.
func NewClient(addr string, key []byte, dial DialFunc) *Client {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Client{addr: addr, key: key, dial: dial}
}

// Addr returns the address of the remote process.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection, if there is one. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// retireInterval is the interval at which a retired connection is checked for streams.
const retireInterval = time.Second

// Retire closes the connection once no call or stream uses it. Streams may go on for as long as
// the remote process answers; one that is gone is found by the connection itself. A later call
// opens a new connection.
func (c *Client) Retire() {
	c.mu.Lock()
	session := c.session
	c.session = nil
	c.mu.Unlock()
	if session != nil {
		closeWhenUnused(session)
	}
}

func closeWhenUnused(session *yamux.Session) {
	if session.IsClosed() || session.NumStreams() == 0 {
		session.Close()
		return
	}
	time.AfterFunc(retireInterval, func() { closeWhenUnused(session) })
}

// Call calls method with req and decodes the result into resp. The request
// carries the time that remains until ctx's deadline. Call returns a *CallError
// if the callee reported a failure, and otherwise a *TransportError, which wraps the
// error of ctx if ctx ended during the call.
func (c *Client) Call(ctx context.Context, method string, req, resp proto.Message) error {
	stream, err := c.openStream(ctx)
	if err != nil {
		return &TransportError{Addr: c.addr, Err: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close(); stream.SetDeadline(time.Now()) })
	defer stop()
	return c.exchange(ctx, stream, method, req, resp)
}

// openStream opens a stream on the current connection. If that fails, it drops
// the connection, so that the next call reconnects.
func (c *Client) openStream(ctx context.Context) (*yamux.Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		c.dropSession(session)
		return nil, err
	}
	return stream, nil
}

// connect returns the open session, or dials, authenticates and opens a new one.
func (c *Client) connect(ctx context.Context) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	conn, err := c.dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	conn = newCountedConn(conn)
	if err := authDial(conn, c.key); err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(&joiningConn{Conn: conn}, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.session = session
	return session, nil
}

// dropSession closes session and forgets it if it is the current one.
func (c *Client) dropSession(session *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.session = nil
	}
	session.Close()
}

// remainingMillis returns the milliseconds until ctx's deadline, at least 1, or 0
// if ctx has no deadline.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// preferContextErr returns the error of ctx if ctx has ended, because err is then
// only its consequence; otherwise it returns err.
func preferContextErr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
