package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEmptyUnframedSuccessIsNotComplete has an endpoint stop after the head of a response that
// has neither a length nor chunks, and close the connection. Its process goes on.
func TestEmptyUnframedSuccessIsNotComplete(t *testing.T) {
	for _, path := range []string{"/plain/1", "/once/1", "/flux/1", "/goon/1"} {
		for _, status := range []string{"200 OK", "201 Created", "206 Partial Content"} {
			t.Run(path+" "+status, func(t *testing.T) {
				b := newPatientTestBed(t, 2)
				serve := func(x *exchange) {
					x.write(fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\n\r\n", status))
					x.conn.Close()
				}
				b.startEndpoint(uniqueID(), serve)
				b.startEndpoint(uniqueID(), serve)
				got := b.send(path)
				assert.Equal(t, got.status, http.StatusBadGateway, "body %q", got.body)
			})
		}
	}
}

// TestEmptyUnframedResponsesShowNoEndOfStream has all endpoints that go on with a stream stop
// after the head of a response that has neither a length nor chunks.
func TestEmptyUnframedResponsesShowNoEndOfStream(t *testing.T) {
	stop := func(x *exchange) {
		x.startUnframed("text/event-stream")
		x.conn.Close()
	}
	t.Run("within one response", func(t *testing.T) {
		b := newPatientTestBed(t, 4)
		breakOffAfterTwo(b, stop)
		got := b.send("/goon/1")
		assert.Check(t, got.err != nil, "whole: %q", got.body)
	})
	t.Run("taken up", func(t *testing.T) {
		b := newPatientTestBed(t, 2)
		begun := false
		serve := func(x *exchange) {
			if !begun {
				begun = true
				stream(events(0, 1, 2))(x)
				return
			}
			stop(x)
		}
		b.startEndpoint(uniqueID(), serve)
		b.startEndpoint(uniqueID(), serve)
		assert.NilError(t, b.send("/goon/1").err)
		got := b.send("/goon/1", "Attempt-Id", "a2", "Resumes", "a1", "Last-Event-Id", "1")
		assert.Equal(t, got.status, http.StatusBadGateway, "body %q", got.body)
	})
}

// TestUnframedResponsesWithoutContentAreComplete sends unframed responses that need no body.
func TestUnframedResponsesWithoutContentAreComplete(t *testing.T) {
	for _, status := range []string{"204 No Content", "205 Reset Content", "304 Not Modified", "303 See Other", "404 Not Found"} {
		t.Run(status, func(t *testing.T) {
			b := newPatientTestBed(t, 1)
			b.startEndpoint(uniqueID(), func(x *exchange) {
				x.write(fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: a1\r\nResponse-Stamp: mark\r\n\r\n", status))
				x.conn.Close()
			})
			got := b.send("/once/1")
			assert.Equal(t, fmt.Sprint(got.status), status[:3])
		})
	}
}

// TestHeadOfResponseIsWholeWithoutBody sends requests for the head of a response alone, which is
// all that comes, whatever it says of the body. Prefixes of it are nothing.
func TestHeadOfResponseIsWholeWithoutBody(t *testing.T) {
	unreachable := unreachableAddress(t)
	for name, head := range wholeHeads {
		whole := strings.ReplaceAll(head, "ATTEMPT", "a1")
		for n := range len(whole) + 1 {
			b := newMemoryBed(t, 1, unreachable, func(*http.Request) (string, error) { return whole[:n], io.EOF })
			got := b.sendBy(http.MethodHead, "/once/1")
			if n == len(whole) {
				assert.Equal(t, got.status, http.StatusOK, name)
				continue
			}
			assert.Equal(t, got.status, http.StatusBadGateway, "%s: after %q", name, whole[:n])
		}
	}
}
