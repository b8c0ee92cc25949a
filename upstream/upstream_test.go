package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/upstream"
)

// endpoint answers each connection with serve.
func endpoint(t *testing.T, serve func(n int, c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// read takes one request from the connection.
func read(c net.Conn) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

func request(body string) *upstream.Request {
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	return &upstream.Request{Method: http.MethodPost, Head: []byte(head), Body: []byte(body)}
}

func send(t *testing.T, p *upstream.Pool, r *upstream.Request) (string, error) {
	t.Helper()
	res, err := p.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer res.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

func TestConnectionsAreKept(t *testing.T) {
	opened := 0
	address := endpoint(t, func(_ int, c *net.TCPConn) {
		for {
			if _, err := read(c); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := upstream.NewPool(address, 4, func() { opened++ })
	for range 3 {
		body, err := send(t, p, request("hello"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, opened, 1)
	fresh := request("hello")
	fresh.NewConn = true
	_, err := send(t, p, fresh)
	assert.NilError(t, err)
	assert.Equal(t, opened, 2)
}

func TestAnUnreachableEndpointWasSentNothing(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	_, err = send(t, upstream.NewPool(address, 4, nil), request("x"))
	var unsent *upstream.NotSentError
	assert.Check(t, errors.As(err, &unsent), "%v", err)
}

func TestAConnectionThatEndsWithoutAnAnswerIsLost(t *testing.T) {
	address := endpoint(t, func(_ int, c *net.TCPConn) {
		read(c)
		c.Close()
	})
	_, err := send(t, upstream.NewPool(address, 4, nil), request("x"))
	var lost *upstream.LostError
	assert.Check(t, errors.As(err, &lost), "%v", err)
}

// TestAResetBodyIsNotWhole covers answers without a length, whose end is the
// connection's: a reset must not pass for it.
func TestAResetBodyIsNotWhole(t *testing.T) {
	address := endpoint(t, func(n int, c *net.TCPConn) {
		read(c)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		if n == 0 {
			time.Sleep(20 * time.Millisecond)
			c.SetLinger(0)
		}
		c.Close()
	})
	p := upstream.NewPool(address, 4, nil)
	_, err := send(t, p, request("x"))
	assert.Check(t, err != nil)
	body, err := send(t, p, request("x"))
	assert.NilError(t, err)
	assert.Equal(t, body, "half")
}

// TestBytesAfterAnAnswerEndTheConnection checks that a second answer is never
// taken for that of the next request.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
		address := endpoint(t, func(n int, c *net.TCPConn) {
			read(c)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			time.Sleep(pause)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		})
		p := upstream.NewPool(address, 4, nil)
		for want := range 3 {
			body, err := send(t, p, request("x"))
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprint(want))
			time.Sleep(2*pause + 10*time.Millisecond)
		}
	}
}

// TestAnEarlyAnswerEndsTheConnection covers an endpoint that answers before it
// has read a long body and reads on later.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	address := endpoint(t, func(n int, c *net.TCPConn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 1\r\n\r\n%d", n)
		time.Sleep(time.Second)
	})
	p := upstream.NewPool(address, 4, nil)
	for want := range 2 {
		body, err := send(t, p, request(strings.Repeat("x", 16<<20)))
		assert.NilError(t, err)
		assert.Equal(t, body, fmt.Sprint(want))
	}
}

func TestCancellingClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := endpoint(t, func(_ int, c *net.TCPConn) {
		read(c)
		c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := upstream.NewPool(address, 4, nil).Send(ctx, request("x"))
	assert.Check(t, err != nil)
	<-closed
}

func TestTheLimitOfConnectionsHolds(t *testing.T) {
	address := endpoint(t, func(_ int, c *net.TCPConn) {
		read(c)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	})
	p := upstream.NewPool(address, 1, nil)
	res, err := p.Send(context.Background(), request("x"))
	assert.NilError(t, err)
	_, err = p.Send(context.Background(), request("x"))
	var limit *upstream.ConnLimitError
	assert.Check(t, errors.As(err, &limit))
	res.Close()
	res, err = p.Send(context.Background(), request("x"))
	assert.NilError(t, err)
	res.Close()
	idle, open := p.ConnCounts()
	assert.Equal(t, idle, 0)
	assert.Equal(t, open, 0)
}
