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

// startClosing starts an endpoint that answers the first request on a
// connection and, after reading the second one whole, closes the connection
// without an answer. It counts the requests that it read.
func startClosing(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var runs atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveClosing(conn, &runs)
		}
	}()
	return "http://" + l.Addr().String(), &runs
}

func serveClosing(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		runs.Add(1)
		if n > 0 {
			return
		}
		io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestNonIdempotentCallIsSentOnce guards against the HTTP transport's own
// retries: it replays a request that bears an Idempotency-Key header on a new
// connection if a kept one breaks.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "certificate"} {
		base, runs := startClosing(t)
		client := NewEndpointClients()
		call := &serviceCall{
			team: note.Team{Name: "t"}, call: note.Call{Method: http.MethodPost, Idempotency: contract.NonIdempotent},
			path: "/certificates", header: http.Header{HeaderIdempotencyKey: {"k"}}, body: []byte(body),
		}
		sent := int64(0)
		for range 4 {
			sent++
			call.send(t.Context(), client.of(call.call.Idempotency), base, "r", 1<<10)
		}
		assert.Equal(t, runs.Load(), sent)
	}
}
