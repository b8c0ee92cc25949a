// Package upstreamtest has HTTP clients for tests of responses that break off.
package upstreamtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"redwingknot/upstream"
)

// NewClient returns a client whose connections bring the given bytes after the first request and
// then end. They are no sockets, so that a test can have thousands.
func NewClient(bytes string) *http.Client {
	t := upstream.NewTransport(&http.Transport{DisableCompression: true})
	AnswerBy(t, bytes)
	return &http.Client{Transport: t}
}

// AnswerBy makes the connections of t like those of NewClient.
func AnswerBy(t *upstream.Transport, bytes string) {
	t.DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go answer(far, bytes)
		return near, nil
	}
}

// answer writes bytes on a connection after the first request, and closes it.
func answer(c net.Conn, bytes string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // fails, as the write does, if the client has given up
	_, _ = io.WriteString(c, bytes)
}

// Prefixes calls f with each prefix of a response that ends before its last byte. inHead says that
// it ends within the head.
func Prefixes(response string, f func(prefix string, inHead bool)) {
	head := 0
	for n := range response {
		if n >= 4 && head == 0 && response[n-4:n] == "\r\n\r\n" {
			head = n
		}
		f(response[:n], head == 0)
	}
}
