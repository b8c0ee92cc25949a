package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkFault describes how a Link disturbs its connections. The zero value disturbs
// nothing. Bytes that are held pass when the fault ends.
type LinkFault struct {
	Delay        time.Duration // before each chunk is passed on, in each direction
	HoldToTarget bool          // bytes from the dialer are held
	HoldToDialer bool          // bytes to the dialer are held
	NewConns     ConnFault     // what happens to connections that are opened
}

// ConnFault is what happens to the connections that are opened through a Link.
type ConnFault uint8

const (
	ConnsPass    ConnFault = iota // they are accepted
	ConnsRefused                  // nothing listens at the link's address
	ConnsHang                     // attempts to connect get no answer
)

// Link is a TCP proxy on the loopback interface that forwards connections to one
// address. It is safe for concurrent use.
type Link struct {
	address string
	port    *reservedPort

	listenMu  sync.Mutex
	listener  net.Listener // nil while connections are not accepted
	hanging   *fullBacklog // nil unless connections hang
	connFault ConnFault
	closed    bool

	releasePort sync.Once

	mu      sync.Mutex
	target  string
	fault   LinkFault
	changed chan struct{} // closed when fault changes
	// bytesPerSecond is the bandwidth to the dialer that all connections share, 0 for no
	// limit.
	bytesPerSecond float64
	// busyUntil is when the link will have transferred the bytes to the dialer that
	// it has taken on.
	busyUntil time.Time
	pairs     map[*connPair]bool
}

// connPair is an accepted connection and the connection to the target that it is
// forwarded to.
type connPair struct {
	dialer, target *net.TCPConn
	silent         bool          // no more bytes are passed on
	done           chan struct{} // closed when the connections are
	once           sync.Once
}

// NewLink returns a link that listens at a free loopback port and forwards to
// target.
func NewLink(target string) (*Link, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	l := &Link{address: port.address(), port: port, target: target, changed: make(chan struct{}), pairs: map[*connPair]bool{}}
	if err := l.listen(); err != nil {
		port.release()
		return nil, err
	}
	return l, nil
}

// listen starts to accept connections. The caller holds listenMu, or has the link to itself.
func (l *Link) listen() error {
	listener, err := listenReused(l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.address }

// setTarget sets the address to which connections are forwarded that are accepted from now on.
func (l *Link) setTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// Close stops listening and resets all open connections.
func (l *Link) Close() {
	l.end()
	l.releasePort.Do(l.port.release)
}

// end does what Close does, but no other process gets the port.
func (l *Link) end() {
	l.listenMu.Lock()
	l.closed = true
	l.stopListening()
	l.listenMu.Unlock()
	l.Reset()
}

// stopListening ends whatever happens to new connections; they are refused then. The caller
// holds listenMu.
func (l *Link) stopListening() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	if l.hanging != nil {
		l.hanging.close()
		l.hanging = nil
	}
}

// SetFault sets the fault of all open and future connections. The error is that of listening
// again.
func (l *Link) SetFault(f LinkFault) error {
	l.mu.Lock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	return l.setConnFault(f.NewConns)
}

// setConnFault sets what happens to new connections.
func (l *Link) setConnFault(f ConnFault) error {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	if l.closed || f == l.connFault {
		return nil
	}
	l.connFault = f
	l.stopListening()
	switch f {
	case ConnsHang:
		var err error
		l.hanging, err = newFullBacklog(l.address)
		return err
	case ConnsPass:
		return l.listen()
	}
	return nil
}

// SetBandwidth limits the bytes to the dialer that pass in a second, over all connections.
func (l *Link) SetBandwidth(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// Reset closes all open connections with a TCP reset.
func (l *Link) Reset() {
	for _, p := range l.openPairs() {
		p.reset()
	}
}

// Silence stops passing bytes on the connections that are open now, for good. New
// connections are not affected.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
}

// openPairs returns the pairs that are open now.
func (l *Link) openPairs() []*connPair {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*connPair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

// accept serves incoming connections until the listener is closed.
func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go l.serve(c.(*net.TCPConn))
	}
}

// serve forwards one accepted connection until both directions have ended.
func (l *Link) serve(dialer *net.TCPConn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	c, err := net.Dial("tcp4", target)
	if err != nil {
		resetConn(dialer) // the target does not listen
		return
	}
	p := &connPair{dialer: dialer, target: c.(*net.TCPConn), done: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var copiers sync.WaitGroup
	copiers.Go(func() { l.copyDirection(p, p.dialer, p.target, func(f LinkFault) bool { return f.HoldToTarget }) })
	copiers.Go(func() { l.copyDirection(p, p.target, p.dialer, func(f LinkFault) bool { return f.HoldToDialer }) })
	copiers.Wait()
	p.reset()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copyDirection copies bytes in one direction until a connection ends. held reports
// whether a fault holds bytes of this direction.
func (l *Link) copyDirection(p *connPair, from, to *net.TCPConn, held func(LinkFault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.waitToPass(p, held) {
			return
		}
		if n > 0 {
			if to == p.dialer {
				l.waitForTransfer(p, n)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			l.propagateEnd(p, to, err)
			return
		}
	}
}

// propagateEnd closes the write side of to after an orderly end of the other
// connection, and resets the pair after any other end.
func (l *Link) propagateEnd(p *connPair, to *net.TCPConn, err error) {
	if errors.Is(err, io.EOF) && to.CloseWrite() == nil {
		return
	}
	p.reset()
}

// waitToPass waits until the fault in force lets bytes pass. It returns false if the
// pair has been closed.
func (l *Link) waitToPass(p *connPair, held func(LinkFault) bool) bool {
	delayed := false
	for {
		l.mu.Lock()
		f, changed, silent := l.fault, l.changed, p.silent
		l.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case silent:
			changed = nil
		case held(f):
		case f.Delay > 0 && !delayed:
			delayed = true
			wait = time.After(f.Delay)
			changed = nil
		default:
			return true
		}
		select {
		case <-p.done:
			return false
		case <-changed:
		case <-wait:
		}
	}
}

// waitForTransfer waits as long as n bytes to the dialer take at the link's bandwidth,
// behind those of other connections, or until the pair is closed.
func (l *Link) waitForTransfer(p *connPair, n int) {
	l.mu.Lock()
	if l.bytesPerSecond == 0 {
		l.mu.Unlock()
		return
	}
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	wait := time.Until(l.busyUntil)
	l.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(wait):
	}
}

// reset closes both connections with a TCP reset. Further calls do nothing.
func (p *connPair) reset() {
	p.once.Do(func() {
		close(p.done)
		resetConn(p.dialer)
		resetConn(p.target)
	})
}

// resetConn closes a connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
