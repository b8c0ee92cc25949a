package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"redwingknot/wire/wirepb"
)

// DialFunc opens a connection to an address; tests put cuts into it.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client makes calls to one process. It connects on the first call and again
// after a failure. It is safe for concurrent use.
type Client struct {
	addr string
	key  []byte
	dial DialFunc

	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client of the process at addr. A nil dial uses TCP.
func NewClient(addr string, key []byte, dial DialFunc) *Client {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Client{addr: addr, key: key, dial: dial}
}

// Addr returns the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection; a later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// Call sends req to method and decodes the answer into resp. The callee is told
// the remaining time of ctx. Errors are *CallError, *TransportError or those of ctx
// wrapped in a *TransportError.
func (c *Client) Call(ctx context.Context, method string, req, resp proto.Message) error {
	stream, err := c.open(ctx)
	if err != nil {
		return &TransportError{Addr: c.addr, Err: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close(); stream.SetDeadline(time.Now()) })
	defer stop()
	payload, err := proto.Marshal(req)
	if err != nil {
		return &TransportError{Addr: c.addr, Err: err}
	}
	envelope := &wirepb.Request{Method: method, Payload: payload, BudgetMs: budget(ctx)}
	if err := writeFrame(stream, envelope); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: firstOf(ctx, err)}
	}
	var answer wirepb.Response
	if err := readFrame(stream, &answer); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: firstOf(ctx, err)}
	}
	if answer.Failure != "" {
		return &CallError{Method: method, Failure: Failure(answer.Failure), Detail: answer.Detail}
	}
	if err := proto.Unmarshal(answer.Payload, resp); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: err}
	}
	return nil
}

func (c *Client) open(ctx context.Context) (*yamux.Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		c.drop(session)
		return nil, err
	}
	return stream, nil
}

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
	conn = counted(conn)
	if err := authDial(conn, c.key); err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.session = session
	return session, nil
}

func (c *Client) drop(session *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.session = nil
	}
	session.Close()
}

// budget returns the remaining milliseconds of ctx, 0 for no deadline.
func budget(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// firstOf prefers the context's error, which caused the other.
func firstOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
