package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/upstream"
)

// heads are whole heads of responses, by name.
var heads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\nContent-Length: 1200\r\nContent-Type: text/plain\r\n\r\n",
	"length last":       "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 1200\r\n\r\n",
	"length 0":          "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
	"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 12\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nTrailer: Checksum\r\n\r\n",
	"no length":         "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\n\r\n",
	"no content":        "HTTP/1.1 204 No Content\r\nAttempt-Id: a1\r\n\r\n",
	"not modified":      "HTTP/1.1 304 Not Modified\r\nAttempt-Id: a1\r\n\r\n",
	"refusal":           "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"after interim":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
	"old version":       "HTTP/1.0 200 OK\r\nAttempt-Id: a1\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
	"lines without CR":  "HTTP/1.1 200 OK\nAttempt-Id: a1\nContent-Length: 0\n\n",
	"continued headers": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer: a\r\n  b\r\n\tc\r\nContent-Length: 0\r\n\r\n",
}

// scriptedConn is a connection whose peer answers the n-th request by the n-th response, and
// ends it after the last one.
type scriptedConn struct {
	net.Conn
	responses []string
	answer    io.Reader
	end       error // of reads after the last response
}

// Write takes one request.
func (c *scriptedConn) Write(p []byte) (int, error) {
	c.answer = strings.NewReader(c.responses[0])
	c.responses = c.responses[1:]
	return len(p), nil
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

// Close implements net.Conn.
func (c *scriptedConn) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// byteConn is a scriptedConn whose bytes arrive one by one.
type byteConn struct{ *scriptedConn }

// Read implements net.Conn.
func (c byteConn) Read(p []byte) (int, error) { return iotest.OneByteReader(c.scriptedConn).Read(p) }

// headEnd is a way in which a connection ends within a head.
type headEnd struct {
	err    error
	kept   bool // an earlier request was answered on the connection
	single bool // bytes arrive one by one
}

// headEnds are all ways.
func headEnds() []headEnd {
	var all []headEnd
	for _, kept := range []bool{false, true} {
		for _, single := range []bool{false, true} {
			all = append(all, headEnd{io.EOF, kept, single}, headEnd{syscall.ECONNRESET, kept, single})
		}
	}
	return all
}

// exchange sends a request, whose connection brings the given bytes and ends. It returns the body
// of the response.
func (e headEnd) exchange(t *testing.T, method, bytes string) (*upstream.Response, string, error) {
	c := &scriptedConn{end: e.err}
	if e.kept {
		c.responses = append(c.responses, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	c.responses = append(c.responses, bytes)
	opened := 0
	p := upstream.NewPool("endpoint", 1, nil, func(context.Context) (net.Conn, error) {
		opened++
		if e.single {
			return byteConn{c}, nil
		}
		return c, nil
	})
	if e.kept {
		_, err := send(t, p, newRequest("x"))
		assert.NilError(t, err)
	}
	r := newRequest("x")
	r.Method = method
	res, err := p.Send(t.Context(), r)
	assert.Equal(t, opened, 1)
	if err != nil {
		return nil, "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// TestHeadThatIsBrokenOffIsNoResponse ends a connection after each byte of a head but the last.
// That the peer has ended it must be told: its process may have crashed.
func TestHeadThatIsBrokenOffIsNoResponse(t *testing.T) {
	for name, head := range heads {
		for i, end := range headEnds() {
			method := []string{"POST", "HEAD", "HEAD", "POST"}[i%4]
			for n := range len(head) {
				_, _, err := end.exchange(t, method, head[:n])
				var lost *upstream.LostError
				assert.Check(t, errors.As(err, &lost), "%s, %s, %+v: %v after %q", name, method, end, err, head[:n])
				assert.Check(t, upstream.ClosedByPeer(err), "%s, %s, %+v: %v after %q", name, method, end, err, head[:n])
			}
		}
	}
}

// nextResponses are what a peer may write after a head that it has broken off.
var nextResponses = map[string]string{
	"success":              "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nContent-Length: 2\r\n\r\nok",
	"empty success":        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\nContent-Length: 0\r\n\r\n",
	"success in chunks":    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"success of no length": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n",
	"success of one line":  "HTTP/1.1 200 OK\r\n\r\n",
	"old version":          "HTTP/1.0 200 OK\r\n\r\n",
	"refusal":              "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"reason with a colon":  "HTTP/1.1 500 Failed: x\r\nContent-Length: 0\r\n\r\n",
	"interim and success":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
}

// TestHeadThatGoesOnWithAnotherIsNoResponse breaks off a head after each of its bytes, but the
// last and none, and has another response follow on the connection.
func TestHeadThatGoesOnWithAnotherIsNoResponse(t *testing.T) {
	for name, head := range heads {
		for next, response := range nextResponses {
			for n := range len(head) {
				if startsHead(head[:n]) {
					continue
				}
				end := headEnd{err: io.EOF, kept: n%2 == 0}
				res, body, err := end.exchange(t, "POST", head[:n]+response)
				assert.Check(t, err != nil, "%s, then %s, %+v: %s after %q", name, next, end, responseText(res, body), head[:n])
			}
		}
	}
}

// startsHead reports whether what follows the bytes is not part of a head that they began.
func startsHead(bytes string) bool {
	return bytes == "" || strings.HasSuffix(bytes, "\r\n\r\n") || strings.HasSuffix(bytes, "\n\n")
}

func responseText(res *upstream.Response, body string) string {
	if res == nil {
		return "none"
	}
	return fmt.Sprintf("status %d, header %v, body %q", res.Status, res.Header, body)
}
