package relay_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatusOutsideHTTPIsNoAnswer guards against responses with a status that HTTP does not have.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999", "-20", "2xx", "20", "0200"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			b.startEndpoint("i-1", func(x *exchange) {
				x.write("HTTP/1.1 " + status + " Odd\r\nAttempt-Id: " + x.Header.Get("Attempt-Id") + "\r\nResponse-Stamp: mark\r\nContent-Length: 4\r\n\r\nodd\n")
			})
			r := b.send("/once/1")
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Equal(t, r.header.Get("Response-Stamp"), "")
		})
	}
}
