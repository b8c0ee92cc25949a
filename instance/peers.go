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

// Peers holds the connections of one process to other instances, one for each
// address. It is safe for concurrent use.
type Peers struct {
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

// NewPeers returns connections opened by dial with the shared key.
func NewPeers(key []byte, dial wire.Dialer, now func() time.Time) *Peers {
	return &Peers{key: key, dial: dial, now: now, clients: map[string]*peer{}}
}

// Call calls method at addr as wire.Client does.
func (p *Peers) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	c := p.acquire(addr)
	defer p.release(c)
	return c.client.Call(ctx, method, req, resp)
}

func (p *Peers) acquire(addr string) *peer {
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

func (p *Peers) release(c *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.used = p.now()
}

// closeIdle closes connections without a call for idleTimeout.
func (p *Peers) closeIdle() {
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
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		go c.client.Close()
		delete(p.clients, addr)
	}
}
