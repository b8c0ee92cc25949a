package instance

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/wire"
)

// idleTimeout closes connections to peers that are no longer called.
const idleTimeout = 30 * time.Second

// Caller makes calls to other instances. Errors are those of wire.Client.
type Caller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// ConnectionPool holds the connections of one process to other instances, one for each
// address. It is safe for concurrent use.
type ConnectionPool struct {
	key  []byte
	dial wire.Dialer
	now  func() time.Time

	mu      sync.Mutex
	clients map[string]*peer
}

type peer struct {
	client *wire.Client
	calls  int
	used   time.Time
}

// NewConnectionPool returns connections opened by dial with the shared key.
func NewConnectionPool(key []byte, dial wire.Dialer, now func() time.Time) *ConnectionPool {
	return &ConnectionPool{key: key, dial: dial, now: now, clients: map[string]*peer{}}
}

// Call calls method at addr as wire.Client does.
func (p *ConnectionPool) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	c := p.acquire(addr)
	defer p.release(c)
	return c.client.Call(ctx, method, req, resp)
}

func (p *ConnectionPool) acquire(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = &peer{client: wire.NewClient(addr, p.key, p.dial)}
		p.clients[addr] = c
	}
	c.calls++
	return c
}

func (p *ConnectionPool) release(c *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.used = p.now()
}

// closeIdle closes connections without a call for idleTimeout.
func (p *ConnectionPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if c.calls == 0 && p.now().Sub(c.used) > idleTimeout {
			go c.client.Close()
			delete(p.clients, addr)
		}
	}
}

// Close closes all connections.
func (p *ConnectionPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		go c.client.Close()
		delete(p.clients, addr)
	}
}
