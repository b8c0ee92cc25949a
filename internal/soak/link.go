package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkFault is how a link treats the bytes of its connections. The zero value is a
// healthy link. Bytes that are held up pass when the fault ends.
type LinkFault struct {
	Delay        time.Duration // of every piece read, in each direction
	HoldToTarget bool          // bytes from the dialer are held up
	HoldToDialer bool          // bytes to the dialer are held up
}

// Link is a loopback proxy of TCP connections to one address. It is safe for
// concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed when fault changes
	pairs   map[*pair]bool
}

// pair is a connection and its continuation to the target.
type pair struct {
	dialer, target *net.TCPConn
	silent         bool          // nothing passes any more
	done           chan struct{} // closed with the connections
	once           sync.Once
}

// NewLink returns a link to target that listens at a port of its own.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go k.accept()
	return k, nil
}

// Addr returns the address to dial.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Close ends the link and its connections.
func (k *Link) Close() {
	k.listener.Close()
	k.Reset()
}

// SetFault replaces the fault in force.
func (k *Link) SetFault(f LinkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// Reset breaks all open connections.
func (k *Link) Reset() {
	for _, p := range k.open() {
		p.reset()
	}
}

// Silence lets nothing pass on the open connections for good; new ones work.
func (k *Link) Silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pairs {
		p.silent = true
	}
}

func (k *Link) open() []*pair {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]*pair, 0, len(k.pairs))
	for p := range k.pairs {
		list = append(list, p)
	}
	return list
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // closed
		}
		go k.join(c.(*net.TCPConn))
	}
}

func (k *Link) join(dialer *net.TCPConn) {
	c, err := net.Dial("tcp4", k.target)
	if err != nil {
		abort(dialer) // the target does not listen
		return
	}
	p := &pair{dialer: dialer, target: c.(*net.TCPConn), done: make(chan struct{})}
	k.mu.Lock()
	k.pairs[p] = true
	k.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { k.pump(p, p.dialer, p.target, func(f LinkFault) bool { return f.HoldToTarget }) })
	pumps.Go(func() { k.pump(p, p.target, p.dialer, func(f LinkFault) bool { return f.HoldToDialer }) })
	pumps.Wait()
	p.reset()
	k.mu.Lock()
	delete(k.pairs, p)
	k.mu.Unlock()
}

// pump copies one direction until an end closes.
func (k *Link) pump(p *pair, from, to *net.TCPConn, held func(LinkFault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !k.pass(p, held) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			k.endOf(p, to, err)
			return
		}
	}
}

// endOf passes on how a direction ended: in order, or by a reset.
func (k *Link) endOf(p *pair, to *net.TCPConn, err error) {
	if errors.Is(err, io.EOF) && to.CloseWrite() == nil {
		return
	}
	p.reset()
}

// pass waits until bytes may go on. It fails if the pair ended.
func (k *Link) pass(p *pair, held func(LinkFault) bool) bool {
	delayed := false
	for {
		k.mu.Lock()
		f, changed, silent := k.fault, k.changed, p.silent
		k.mu.Unlock()
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

func (p *pair) reset() {
	p.once.Do(func() {
		close(p.done)
		abort(p.dialer)
		abort(p.target)
	})
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
