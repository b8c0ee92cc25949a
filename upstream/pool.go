package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingknot/membudget"
)

const (
	// dialTimeout is two orders of magnitude above the 1 ms that a new connection
	// takes, and above the round-trip time to another region. A lost SYN, which
	// the kernel retransmits after one second, counts as a failure.
	dialTimeout = 150 * time.Millisecond
	// idleTimeoutMargin is subtracted from an endpoint's own idle timeout, which
	// the Keep-Alive header gives in whole seconds.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout applies to endpoints that send no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is the longest idle timeout that an endpoint may state.
	maxIdleTimeout = time.Hour
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. A body of this size fits the smallest socket buffers.
	maxInlineBody = 4 << 10
	// MaxHeadBytes is the largest head of a response: status line and headers. Those of
	// endpoints have less than 1 KB.
	MaxHeadBytes = 64 << 10
	// maxRefusals is the number of refusals after which a connection is not kept: their names
	// are remembered as long as it is.
	maxRefusals = 32
)

// Pool manages the connections to one incarnation of an endpoint. It is safe for
// concurrent use.
type Pool struct {
	address string
	dial    DialFunc
	onOpen  func() // called for each new connection; may be nil
	// onSilent is called when the endpoint has acknowledged nothing of a request for a while;
	// may be nil.
	onSilent func()
	memory   *membudget.Account // for the heads of responses

	mu     sync.Mutex
	idle   []*conn // in the order of last use, most recent last
	opened int     // connections that are open or being opened
	limit  int
	closed bool
}

// DialFunc opens a connection to the endpoint of a Pool.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Dial opens a connection to an address by this process's own path. The host and port are
// reached over IPv4.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setEndpointSocketOptions, KeepAliveConfig: KeepAliveConfig}
	return dialer.DialContext(ctx, "tcp4", address)
}

// conn is a connection of a Pool.
type conn struct {
	net.Conn
	pool    *Pool
	head    *headReader // reads from Conn
	reader  *bufio.Reader
	expiry  time.Time // time from which the idle connection must not be reused
	used    bool      // a request was sent on it
	refused []string  // names of the requests on it that the endpoint has refused
}

// NewPool returns a pool of at most limit connections to address, a host and
// port, which dial opens; a limit below 1 counts as 1. If dial is nil, they are opened by
// Dial. If onOpen is not nil, it is called for each new connection.
func NewPool(address string, limit int, onOpen func(), dial DialFunc) *Pool {
	if dial == nil {
		dial = func(ctx context.Context) (net.Conn, error) { return Dial(ctx, address) }
	}
	return &Pool{address: address, limit: max(limit, 1), onOpen: onOpen, dial: dial}
}

// OnSilent sets a function that is called when the endpoint has acknowledged nothing of a
// request for a while. It must be called before the pool is used.
func (p *Pool) OnSilent(f func()) { p.onSilent = f }

// SetMemory sets the account of the memory for the heads of responses, which have no common limit
// otherwise. It must be called before the pool is used.
func (p *Pool) SetMemory(a *membudget.Account) { p.memory = a }

// SetLimit changes the maximum number of connections; a limit below 1 counts as
// 1. Connections above the limit are closed instead of becoming idle when their
// response is closed.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 1)
}

// Close closes idle connections immediately and each other connection when its
// response is closed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.CloseIdleIf(func(net.Conn) bool { return true }) }

// CloseIdleIf closes the idle connections that match.
func (p *Pool) CloseIdleIf(matches func(net.Conn) bool) {
	p.closeIdle(func(c *conn) bool { return matches(c.Conn) })
}

// closeIdle closes the idle connections that match.
func (p *Pool) closeIdle(matches func(*conn) bool) {
	p.mu.Lock()
	var closing []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if matches(c) {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range closing {
		c.discard()
	}
}

// ConnCounts returns the number of idle connections and the number of all open
// connections.
func (p *Pool) ConnCounts() (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle), p.opened
}

// get returns an idle connection that is still usable for r, the most recently used
// first, or opens a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for !r.NewConn {
		c := p.takeIdle(r.AttemptID)
		if c == nil {
			break
		}
		if time.Now().Before(c.expiry) && c.reader.Buffered() == 0 && connUsable(c.Conn) && !awaitsProbe(c.Conn) {
			return c, nil
		}
		c.discard()
	}
	return p.open(ctx, p.dial, r.OverLimit)
}

// Connect opens a connection and keeps it idle. The error is a *NotSentError.
func (p *Pool) Connect(ctx context.Context) error { return p.ConnectBy(ctx, p.dial) }

// ConnectBy is like Connect, with another way to open the connection.
func (p *Pool) ConnectBy(ctx context.Context, dial DialFunc) error {
	c, err := p.open(ctx, dial, false)
	if err != nil {
		return err
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// takeIdle removes the most recently used idle connection on which no request of the given name
// was refused, and returns it, nil if there is none.
func (p *Pool) takeIdle(attemptID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.refused, attemptID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// open opens a connection by dial, which may be one above the limit if overLimit is true.
func (p *Pool) open(ctx context.Context, dial DialFunc, overLimit bool) (*conn, error) {
	if err := p.reserveConn(overLimit); err != nil {
		return nil, &NotSentError{Address: p.address, Err: err}
	}
	c, err := dial(ctx)
	if err != nil {
		p.releaseConn()
		return nil, &NotSentError{Address: p.address, Err: err}
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	head := &headReader{source: c, left: unlimited}
	return &conn{Conn: c, pool: p, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// reserveConn counts a connection that is about to be opened. At the limit it
// closes the idle connection that was unused for longest to make room; if there
// is none, it returns a *ConnLimitError, or goes above the limit if overLimit is true.
func (p *Pool) reserveConn(overLimit bool) error {
	p.mu.Lock()
	if p.opened < p.limit || overLimit && len(p.idle) == 0 {
		p.opened++
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
	// The new connection takes over the closed one's place in the count, so opened
	// does not change.
	oldest.Conn.Close()
	return nil
}

func (p *Pool) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened--
}

// putIdle adds a connection whose response was read completely to the idle
// connections, in which it may stay for at most timeout. It closes the connection
// if the pool is closed or above its limit.
func (p *Pool) putIdle(c *conn, timeout time.Duration) {
	c.expiry = time.Now().Add(timeout)
	p.mu.Lock()
	keep := !p.closed && p.opened <= p.limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.discard()
	}
}

// Prune closes the idle connections that have expired at now, or lead through an instance that
// shuts down.
func (p *Pool) Prune(now time.Time) {
	p.closeIdle(func(c *conn) bool { return !now.Before(c.expiry) || isLeaving(c.Conn) })
}

func (c *conn) discard() {
	c.Conn.Close()
	c.pool.releaseConn()
}

// idleTimeout returns how long a connection may stay idle according to the
// response's Keep-Alive header, less idleTimeoutMargin. Without a header that states a
// time up to maxIdleTimeout, it returns defaultIdleTimeout.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds <= int(maxIdleTimeout/time.Second) {
			return time.Duration(max(seconds, 0))*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
