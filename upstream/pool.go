package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout is above the 1 ms that a new connection takes by two orders,
	// and above the way to another region and back; a lost opening packet, sent
	// again after a second, counts as a failure.
	dialTimeout = 150 * time.Millisecond
	// idleMargin is kept from an endpoint's own idle timeout, which is told in
	// whole seconds.
	idleMargin = time.Second
	// defaultIdle is used for endpoints that tell no idle timeout.
	defaultIdle = 4 * time.Second
	readBuffer  = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read: it fits the smallest socket buffers.
	inlineBody = 4 << 10
)

// Pool keeps the connections to one incarnation of an endpoint. It is safe for
// concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer
	opened  func() // called for each new connection

	mu     sync.Mutex
	idle   []*conn // the last used one is last
	open   int
	limit  int
	closed bool
}

type conn struct {
	net.Conn
	pool   *Pool
	reader *bufio.Reader
	expiry time.Time // when an idle connection is no longer used
}

// NewPool returns a pool of at most limit connections; opened is called for
// each new one.
func NewPool(address string, limit int, opened func()) *Pool {
	return &Pool{
		address: address, limit: max(limit, 1), opened: opened,
		dialer: net.Dialer{Timeout: dialTimeout, Control: SetSocketOptions, KeepAliveConfig: KeepAliveConfig},
	}
}

// SetLimit changes the most connections; those above it end when they are idle.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 1)
}

// Close ends idle connections now and others when their answer is read.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle ends idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// ConnCounts returns the number of idle and of all connections.
func (p *Pool) ConnCounts() (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle), p.open
}

// get returns an idle connection that is quiet, or a new one; fresh asks for a
// new one.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for !fresh {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.expiry) && c.reader.Buffered() == 0 && quiet(c.Conn) {
			return c, nil
		}
		c.discard()
	}
	return p.dial(ctx)
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, &NotSentError{Address: p.address, Err: err}
	}
	c, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.release()
		return nil, &NotSentError{Address: p.address, Err: err}
	}
	if p.opened != nil {
		p.opened()
	}
	return &conn{Conn: c, pool: p, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// reserve counts a connection about to be opened; an idle one gives way at the
// limit.
func (p *Pool) reserve() error {
	p.mu.Lock()
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return nil
	}
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return &ConnLimitError{Limit: p.limit}
	}
	oldest := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.mu.Unlock()
	// The closed connection's place is taken over.
	oldest.Conn.Close()
	return nil
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put keeps a connection whose answer was read whole.
func (p *Pool) put(c *conn, idle time.Duration) {
	c.expiry = time.Now().Add(idle)
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.discard()
	}
}

// Prune closes idle connections that are no longer used.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiry) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

func (c *conn) discard() {
	c.Conn.Close()
	c.pool.release()
}

// idleTime returns how long a connection may stay unused by the answer's
// Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
