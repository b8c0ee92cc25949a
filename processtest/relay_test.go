package processtest

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to an address and can be blocked to simulate a
// network partition.
type relay struct {
	target   string // address, host:port
	listener net.Listener

	mu      sync.Mutex // guards the fields below
	blocked bool
	conns   []net.Conn // both ends of every forwarded connection
}

// newRelay starts a relay to the server at targetURL and returns the relay and its
// URL.
func newRelay(t *testing.T, targetURL string) (*relay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{target: strings.TrimPrefix(targetURL, "http://"), listener: l}
	t.Cleanup(func() { l.Close(); r.setBlocked(true) })
	go r.accept()
	return r, "http://" + l.Addr().String()
}

// accept forwards connections until the listener is closed.
func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// forward copies data in both directions between conn and a new connection to the
// target.
func (r *relay) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(conn, upstream) {
		return
	}
	defer upstream.Close()
	go io.Copy(upstream, conn)
	io.Copy(conn, upstream)
}

// track records connections so that setBlocked can close them. It returns false
// while the relay is blocked.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
	return !r.blocked
}

// setBlocked sets whether new connections are closed at once instead of being
// forwarded. Both values close all present connections.
func (r *relay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}
