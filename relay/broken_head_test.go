package relay_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// wholeHeads are whole heads of successes, with ATTEMPT for the attempt.
var wholeHeads = map[string]string{
	"length":       "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\nContent-Length: 1200\r\n\r\n",
	"chunks":       "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Stamp: mark\r\nAttempt-Id: ATTEMPT\r\n\r\n",
	"interim head": "HTTP/1.1 103 Early Hints\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: mark\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: mark\r\nContent-Length: 0\r\n\r\n",
}

// brokenHead is a head of which the first bytes arrive.
type brokenHead struct {
	name string
	head string // whole, with ATTEMPT for the attempt
	size int    // number of bytes that arrive
	end  error  // of the connection after them
}

// answer returns the bytes that arrive in response to r, and the end of the connection.
func (h brokenHead) answer(r *http.Request) (string, error) {
	return strings.ReplaceAll(h.head, "ATTEMPT", r.Header.Get("Attempt-Id"))[:h.size], h.end
}

// brokenHeads returns the heads that are broken off after each byte in answers to the attempt a1.
// The connection is closed after them, or, for each third one, reset.
func brokenHeads() []brokenHead {
	var all []brokenHead
	for name, head := range wholeHeads {
		for size := range len(strings.ReplaceAll(head, "ATTEMPT", "a1")) {
			all = append(all, brokenHead{name, head, size, io.EOF})
			if size%3 == 0 {
				all = append(all, brokenHead{name, head, size, syscall.ECONNRESET})
			}
		}
	}
	return all
}

// wholeResponse returns a whole response to r, in chunks.
func wholeResponse(r *http.Request, body string) string {
	return strings.ReplaceAll(wholeHeads["chunks"], "ATTEMPT", r.Header.Get("Attempt-Id")) + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}

// TestHeadThatIsBrokenOffIsNoAnswer has an endpoint break off a head after each of its bytes, on
// a new connection and on one that has answered before.
func TestHeadThatIsBrokenOffIsNoAnswer(t *testing.T) {
	unreachable := unreachableAddress(t)
	for _, path := range []string{"/plain/1", "/once/1", "/flux/1", "/goon/1"} {
		for _, broken := range brokenHeads() {
			attempts := 0
			b := newMemoryBed(t, 1, unreachable, func(r *http.Request) (string, error) {
				if r.URL.Path == "/plain/first" {
					return wholeResponse(r, "fine"), nil
				}
				attempts++
				return broken.answer(r)
			})
			if broken.size%2 == 0 {
				first := b.send("/plain/first")
				assert.Equal(t, first.status, http.StatusOK, "%q", first.body)
			}
			got := b.send(path)
			assert.Equal(t, attempts, 1)
			assert.Check(t, got.err == nil && got.status == http.StatusBadGateway, "%s, %+v: status %d, body %q", path, broken, got.status, got.body)
		}
	}
}

// TestHeadThatIsBrokenOffIsNoEndOfStream has a stream break off after two events, and the
// endpoints that go on with it break off their heads.
func TestHeadThatIsBrokenOffIsNoEndOfStream(t *testing.T) {
	unreachable := unreachableAddress(t)
	for _, broken := range brokenHeads() {
		b := newMemoryBed(t, 2, unreachable, func(r *http.Request) (string, error) {
			if r.Header.Get("Last-Event-Id") != "" {
				return broken.answer(r)
			}
			half, _ := strings.CutSuffix(wholeResponse(r, events(0, 1)), "0\r\n\r\n")
			return half, io.EOF
		})
		got := b.send("/goon/1")
		assert.Check(t, got.err != nil, "%+v: whole", broken)
		assert.Check(t, got.body == events(0, 1), "%+v: body %q", broken, got.body)
	}
}

// TestHeadThatIsBrokenOffIsNoRestOfStream has a caller take up a stream, and all endpoints break
// off their heads.
func TestHeadThatIsBrokenOffIsNoRestOfStream(t *testing.T) {
	unreachable := unreachableAddress(t)
	for _, broken := range brokenHeads() {
		b := newMemoryBed(t, 2, unreachable, func(r *http.Request) (string, error) {
			if r.Header.Get("Last-Event-Id") != "" {
				return broken.answer(r)
			}
			return wholeResponse(r, events(0, 1, 2)), nil
		})
		first := b.send("/goon/1")
		assert.Check(t, first.err == nil && first.body == events(0, 1, 2), "%q", first.body)
		got := b.send("/goon/1", "Attempt-Id", "a2", "Resumes", "a1", "Last-Event-Id", "1")
		assert.Check(t, got.err == nil && got.status == http.StatusBadGateway, "%+v: status %d, body %q", broken, got.status, got.body)
	}
}

// TestHeadThatIsBrokenOffAndFollowedByAnotherIsNoAnswer has another response follow on the
// connection.
func TestHeadThatIsBrokenOffAndFollowedByAnotherIsNoAnswer(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\nContent-Length: 0\r\n\r\n"
	unreachable := unreachableAddress(t)
	for _, path := range []string{"/once/1", "/flux/1"} {
		for _, broken := range brokenHeads() {
			b := newMemoryBed(t, 1, unreachable, func(r *http.Request) (string, error) {
				head, end := broken.answer(r)
				if head == "" || strings.HasSuffix(head, "\r\n\r\n") { // the next response is the first one
					return "", end
				}
				return head + other, end
			})
			got := b.send(path)
			assert.Check(t, got.status == http.StatusBadGateway, "%s, %+v: status %d, body %q", path, broken, got.status, got.body)
		}
	}
}
