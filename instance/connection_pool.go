package instance

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/wire"
)

// idleTimeout is how long a connection without calls stays open.
const idleTimeout = 30 * time.Second

// Caller makes calls to other instances. Call returns the errors of
// wire.Client.Call.
type Caller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// ConnectionPool holds the connections of one process to other instances, one for each
// address. It implements Caller and is safe for concurrent use.
type ConnectionPool struct {
	key  []byte
	dial wire.DialFunc
	now  func() time.Time

	mu          sync.Mutex
	connections map[string]*connection
}

// connection holds the client of one address and the use made of it.
type connection struct {
	client      *wire.Client
	activeCalls int
	lastUsed    time.Time // end of the last call
}

// NewConnectionPool returns a pool without connections. The pool opens them with dial,
// authenticates them with the shared key and reads the time from now.
func NewConnectionPool(key []byte, dial wire.DialFunc, now func() time.Time) *ConnectionPool {
	return &ConnectionPool{key: key, dial: dial, now: now, connections: map[string]*connection{}}
}

// Call calls method at addr, connecting first if necessary. Its errors are those
// of wire.Client.Call.
func (p *ConnectionPool) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	c := p.acquire(addr)
	defer p.release(c)
	return c.client.Call(ctx, method, req, resp)
}

// acquire returns the connection to addr and counts a call on it.
func (p *ConnectionPool) acquire(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connections[addr]
	if c == nil {
		c = &connection{client: wire.NewClient(addr, p.key, p.dial)}
		p.connections[addr] = c
	}
	c.activeCalls++
	return c
}

// release ends a call that acquire counted.
func (p *ConnectionPool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.activeCalls--
	c.lastUsed = p.now()
}

// closeIdle closes the connections that had no call for idleTimeout.
func (p *ConnectionPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.connections {
		if c.activeCalls == 0 && p.now().Sub(c.lastUsed) > idleTimeout {
			go c.client.Close()
			delete(p.connections, addr)
		}
	}
}

// Close closes all connections. It does not wait until they are closed.
func (p *ConnectionPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.connections {
		go c.client.Close()
		delete(p.connections, addr)
	}
}
