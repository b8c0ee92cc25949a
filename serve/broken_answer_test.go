package serve

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/note"
	"redwingknot/upstream"
	"redwingknot/upstream/upstreamtest"
)

// callService calls a plain service whose endpoint answers with the given bytes.
func callService(t *testing.T, method string, idempotency contract.Idempotency, bytes string) (*serviceReply, error) {
	clients := NewEndpointClients()
	client := clients.clientFor(idempotency)
	upstreamtest.AnswerBy(client.Transport.(*upstream.Transport), bytes)
	defer client.CloseIdleConnections()
	call := &serviceCall{
		team: note.Team{Name: "t"}, spec: note.Call{Method: method, Idempotency: idempotency},
		path: "/certificates", header: http.Header{HeaderIdempotencyKey: {"k"}}, body: []byte("certificate"),
	}
	return call.send(t.Context(), client, "http://endpoint", "r", 1<<10)
}

// gzipped returns text in the content coding gzip.
func gzipped(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = io.WriteString(w, text) // to memory
	_ = w.Close()
	return b.String()
}

// TestAnswerThatIsBrokenOffIsNotWhole has an endpoint of a plain service break off its answer after
// each byte.
func TestAnswerThatIsBrokenOffIsNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length":            "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfine",
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n2\r\nne\r\n0\r\n\r\n",
		"interim head":      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
		"length and coding": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", len(gzipped("fine")), gzipped("fine")),
		"no content":        "HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n",
	} {
		for _, idempotency := range []contract.Idempotency{contract.Idempotent, contract.NonIdempotent} {
			for n := range len(answer) {
				reply, err := callService(t, http.MethodPost, idempotency, answer[:n])
				assert.Check(t, err != nil, "%s: whole after %q: %+v", name, answer[:n], reply)
			}
			_, err := callService(t, http.MethodPost, idempotency, answer)
			assert.NilError(t, err, name)
		}
	}
}

// TestAnswerThatGoesOnWithAnotherIsNotWhole has an endpoint break off the head of an answer after
// each byte and write another answer after it.
func TestAnswerThatGoesOnWithAnotherIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
	for _, next := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		for n := 1; n < len(head); n++ {
			reply, err := callService(t, http.MethodPost, contract.NonIdempotent, head[:n]+next)
			assert.Check(t, err != nil, "whole after %q: %+v", head[:n], reply)
		}
	}
}

// TestUnframedAnswerIsNotWhole has an endpoint answer without a length or chunks, and close the
// connection: nothing tells whether that is all.
func TestUnframedAnswerIsNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 201 Created\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n",
	} {
		for _, body := range []string{"", "fi", "fine", strings.Repeat("x", 1<<10), gzipped("fine")[:8]} {
			reply, err := callService(t, http.MethodPost, contract.NonIdempotent, head+body)
			assert.Check(t, err != nil, "whole after %.100q: %+v", head+body, reply)
			assert.Check(t, err == nil || classifyError(t.Context(), err) == failBroken, "%v", err)
		}
	}
}

// TestAnswerWithoutBodyIsWhole has an endpoint answer without a body where that is said, or where
// the status is the answer.
func TestAnswerWithoutBodyIsWhole(t *testing.T) {
	for _, c := range []struct{ method, head string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"},
	} {
		reply, err := callService(t, c.method, contract.Idempotent, c.head)
		assert.NilError(t, err, c.head)
		assert.Equal(t, len(reply.body), 0)
	}
}
