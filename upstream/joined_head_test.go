package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/upstream"
)

// answerOnce returns a client whose connections bring the given bytes after each request.
func answerOnce(bytes string) *http.Client {
	base := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := readRequest(far); err == nil {
				_, _ = io.WriteString(far, bytes) // fails if the client has given up
			}
		}()
		return near, nil
	}}
	return &http.Client{Transport: upstream.NewTransport(base), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// exchangeByClient sends a request by an HTTP client and reads the response.
func exchangeByClient(t *testing.T, bytes string) (status int, body string, err error) {
	client := answerOnce(bytes)
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/x", strings.NewReader("hello"))
	assert.NilError(t, err)
	res, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// TestHeadThatIsBrokenOffIsNoResponseOfClient is TestHeadThatIsBrokenOffIsNoResponse for clients of
// package net/http.
func TestHeadThatIsBrokenOffIsNoResponseOfClient(t *testing.T) {
	for name, head := range heads {
		for n := range len(head) {
			status, body, err := exchangeByClient(t, head[:n])
			assert.Check(t, err != nil, "%s: status %d, body %q after %q", name, status, body, head[:n])
		}
	}
}

// TestHeadThatGoesOnWithAnotherIsNoResponseOfClient is TestHeadThatGoesOnWithAnotherIsNoResponse
// for clients of package net/http, which don't show the status line of an interim response: where
// one breaks off in it and another interim one follows, the final response is whole.
func TestHeadThatGoesOnWithAnotherIsNoResponseOfClient(t *testing.T) {
	for name, head := range heads {
		for next, response := range nextResponses {
			for n := range len(head) {
				if startsHead(head[:n]) || strings.HasPrefix(response, "HTTP/1.1 100") && inInterimStatusLine(head[:n]) {
					continue
				}
				status, body, err := exchangeByClient(t, head[:n]+response)
				assert.Check(t, err != nil, "%s, then %s: status %d, body %q after %q", name, next, status, body, head[:n])
			}
		}
	}
}

// inInterimStatusLine reports whether bytes end in the status line of an interim response.
func inInterimStatusLine(bytes string) bool {
	line := bytes[strings.LastIndex(bytes, "\n")+1:]
	return strings.HasPrefix(line, "HTTP/1.1 1")
}

// TestTraceOfRequestIsCalledForItAlone sends requests with traces of their own, as callers do that
// ask whether a connection was made.
func TestTraceOfRequestIsCalledForItAlone(t *testing.T) {
	client := answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	calls := make([]atomic.Int64, 8)
	var senders sync.WaitGroup
	for i := range calls {
		senders.Go(func() {
			trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { calls[i].Add(1) }}
			r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, "http://h/x", nil)
			assert.Check(t, err)
			res, err := client.Do(r)
			assert.Check(t, err)
			if err == nil {
				res.Body.Close()
			}
		})
	}
	senders.Wait()
	for i := range calls {
		assert.Equal(t, calls[i].Load(), int64(1), "request %d", i)
	}
}

// TestHeadThatGoesOnWithAnotherEndsItsConnectionAlone has one of two peers of a client write such a
// head, whose body is whole: no later request is sent on its connection, and the other's is kept.
func TestHeadThatGoesOnWithAnotherEndsItsConnectionAlone(t *testing.T) {
	var opened sync.Map // number of connections, by address
	base := &http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
		count, _ := opened.LoadOrStore(address, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
		near, far := net.Pipe()
		head := ""
		if address == "faulty:80" {
			head = "HTTP/1.1 200 OK\r\nServer: "
		}
		go func() {
			defer far.Close()
			for {
				if _, err := readRequest(far); err != nil {
					return
				}
				_, _ = io.WriteString(far, head+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // fails if the client has given up
			}
		}()
		return near, nil
	}}
	client := &http.Client{Transport: upstream.NewTransport(base)}
	defer client.CloseIdleConnections()
	const requests = 5
	for range requests {
		res, err := client.Get("http://sound/")
		assert.NilError(t, err)
		res.Body.Close()
		_, err = client.Get("http://faulty/")
		var unrelated *upstream.UnrelatedResponseError
		assert.Check(t, errors.As(err, &unrelated), "%v", err)
	}
	count := func(address string) int64 {
		n, _ := opened.Load(address)
		return n.(*atomic.Int64).Load()
	}
	assert.Equal(t, count("sound:80"), int64(1))
	assert.Equal(t, count("faulty:80"), int64(requests))
}
