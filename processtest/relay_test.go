package processtest

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes connections on to an address until it is cut.
type relay struct {
	to string
	l  net.Listener

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newRelay starts a relay before the server at url and returns its own URL.
func newRelay(t *testing.T, url string) (*relay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{to: strings.TrimPrefix(url, "http://"), l: l}
	t.Cleanup(func() { l.Close(); r.setCut(true) })
	go r.accept()
	return r, "http://" + l.Addr().String()
}

func (r *relay) accept() {
	for {
		conn, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *relay) pass(conn net.Conn) {
	defer conn.Close()
	far, err := net.Dial("tcp", r.to)
	if err != nil || !r.add(conn, far) {
		return
	}
	defer far.Close()
	go io.Copy(far, conn)
	io.Copy(conn, far)
}

// add keeps the connections of a pair for a cut; it is refused while cut.
func (r *relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
	return !r.cut
}

// setCut breaks all connections and refuses new ones, or ends that.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}
