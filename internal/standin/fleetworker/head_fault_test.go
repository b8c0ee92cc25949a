package fleetworker

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadFaultsSpoilSomeResponses checks what each fault of heads writes, and that it spoils some
// responses and leaves others.
func TestHeadFaultsSpoilSomeResponses(t *testing.T) {
	for _, f := range []HeadFault{HeadBreaks, HeadAlone, HeadJoins} {
		s := New(Options{ID: "i-1", Service: "s", Slots: 1})
		end := s.AddHeadFault(f)
		spoiled, prefixes := 0, map[string]bool{}
		for n := range 300 {
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			r.Header.Set(headerAttempt, strings.Repeat("a", n))
			got := s.spoiledHead(r, n)
			if got == "" {
				continue
			}
			spoiled++
			prefixes[got] = true
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
			switch f {
			case HeadBreaks:
				assert.Check(t, err != nil, "%q", got)
			case HeadAlone:
				assert.NilError(t, err)
				body, err := io.ReadAll(res.Body)
				assert.Check(t, err == nil && len(body) == 0 && res.ContentLength < 0, "%q", got)
			case HeadJoins:
				assert.NilError(t, err) // net/http takes it for one response
				assert.Check(t, strings.Contains(res.Header.Get(headerStamp), "HTTP/1.1 200 OK"), "%q", got)
			}
		}
		assert.Check(t, spoiled > 0 && spoiled < 150, "%s: %d of 300", f, spoiled)
		assert.Check(t, len(prefixes) > 1)
		end()
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		assert.Equal(t, s.spoiledHead(r, 0), "", "after the end")
	}
}
