package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/note"
)

// startClosingEndpoint starts an endpoint that answers the first request on each
// connection. It reads the second request completely and then closes the
// connection without an answer. It returns the endpoint's URL and a count of
// the requests that it has read.
func startClosingEndpoint(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveThenClose(conn, &requests)
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

// serveThenClose serves one connection of startClosingEndpoint.
func serveThenClose(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if n > 0 {
			return
		}
		io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestNonIdempotentCallIsSentOnce guards against retries by the HTTP transport: if
// a reused connection breaks, the transport sends a request that has an
// Idempotency-Key header again on a new connection.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "certificate"} {
		base, requests := startClosingEndpoint(t)
		client := NewEndpointClients()
		call := &serviceCall{
			team: note.Team{Name: "t"}, spec: note.Call{Method: http.MethodPost, Idempotency: contract.NonIdempotent},
			path: "/certificates", header: http.Header{HeaderIdempotencyKey: {"k"}}, body: []byte(body),
		}
		sent := int64(0)
		for range 4 {
			sent++
			call.send(t.Context(), client.clientFor(call.spec.Idempotency), base, "r", 1<<10)
		}
		assert.Equal(t, requests.Load(), sent)
	}
}
