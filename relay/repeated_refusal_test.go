package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/relay"
)

// refusalForms are the forms in which a faulty endpoint writes an earlier refusal once more on a
// kept connection. EARLIER stands for the attempt that was refused, LATER for the one that is
// under way.
var refusalForms = map[string]string{
	"503":                                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: EARLIER\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"429 with a body":                    "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: EARLIER\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
	"400":                                "HTTP/1.1 400 Bad Request\r\nAttempt-Id: EARLIER\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"421":                                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: EARLIER\r\nContent-Length: 0\r\n\r\n",
	"503 without identifier":             "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"400 without identifier":             "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"421 without identifier":             "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"421 with an empty identifier":       "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id:\r\nContent-Length: 0\r\n\r\n",
	"two identifiers, the earlier first": "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: EARLIER\r\nAttempt-Id: LATER\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"two identifiers, the earlier last":  "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: LATER\r\nAttempt-Id: EARLIER\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"identifiers in one header":          "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: LATER, EARLIER\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"identifier in the trailer":          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nTrailer: Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nAttempt-Id: LATER\r\n\r\n",
	"a body that does not come":          "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: EARLIER\r\nNot-Executed: 1\r\nContent-Length: 400\r\n\r\n",
	"the rest of a body":                 "full\n",
	"the rest of chunks":                 "\r\n0\r\n\r\n",

	"interim response":                            "HTTP/1.1 100 Continue\r\nAttempt-Id: LATER\r\nNot-Executed: 1\r\n\r\n",
	"interim response without identifier":         "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n",
	"interim response and 421":                    "HTTP/1.1 103 Early Hints\r\nAttempt-Id: LATER\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nAttempt-Id: EARLIER\r\nContent-Length: 0\r\n\r\n",
	"interim response and 421 without identifier": "HTTP/1.1 103 Early Hints\r\nAttempt-Id: LATER\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",

	"broken off in the status line":    "HTTP/1.1 421 Misdirected ",
	"broken off after the status line": "HTTP/1.1 421 Misdirected Request\r\n",
	"broken off in a header's name":    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry",
	"broken off in a header's value":   "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer: ",
	"broken off in the identifier":     "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: EARLIER",
}

// copyTime is when a refusal is written once more.
type copyTime string

const (
	withRefusal    copyTime = "with the first one"
	afterRefusal   copyTime = "after the first one"
	beforeResponse copyTime = "before the next response"
	amidResponse   copyTime = "amid the next response"
	afterResponse  copyTime = "with the next response"
)

// repeatingEndpoint refuses requests whose attempts are called EARLIER and a path, and runs the
// others, called LATER and a path, after which or before which it writes a refusal once more.
type repeatingEndpoint struct {
	form string
	when copyTime

	mu     sync.Mutex
	before map[*net.TCPConn]string // attempt that was refused on a connection
	ran    []string                // attempts
	copies int
}

func (r *repeatingEndpoint) serve(x *exchange) {
	id := x.Header.Get("Attempt-Id")
	path, isEarlier := strings.CutPrefix(id, "EARLIER")
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := r.before[x.conn]
	again := strings.NewReplacer("EARLIER", refused, "LATER", id).Replace(r.form)
	switch {
	case isEarlier && !slices.Contains(r.ran, id):
		r.ran = append(r.ran, id) // the next attempt runs, on another connection that is not kept
		r.before[x.conn] = id
		again = strings.ReplaceAll(r.form, "EARLIER", id)
		first := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		if r.when == withRefusal {
			first += again
		}
		x.write(first)
		if r.when == afterRefusal {
			time.AfterFunc(5*time.Millisecond, func() { x.write(again) })
		}
		return
	case isEarlier:
		x.respond(http.StatusOK, path, "Connection: close")
		return
	}
	r.ran = append(r.ran, id)
	body := responseBodyOf(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	response := []string{"", head, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), ""}
	at := map[copyTime]int{beforeResponse: 0, amidResponse: 1, afterResponse: 3}
	if i, writes := at[r.when]; writes && refused != "" {
		r.copies++
		response[i] += again
	}
	if r.when != beforeResponse {
		x.write(strings.Join(response, ""))
		return
	}
	x.write(response[0])
	time.Sleep(time.Millisecond)
	x.write(strings.Join(response[1:], ""))
}

// newPatientTestBed returns a test bed whose requests have time on a busy machine.
func newPatientTestBed(t *testing.T, attempts int) *testBed {
	b := newTestBedOf(t, nil, func(o *relay.Options) { o.RevokeTime = 0 })
	b.view.ApplyConfig(newPatientConfig(attempts))
	b.view.Confirm(time.Now())
	return b
}

// newPatientConfig returns a configuration whose requests have time on a busy machine.
func newPatientConfig(attempts int) *fleet.Config {
	c := newConfig(1, attempts)
	for _, r := range []fleet.Route{plainRoute, nonIdempotentRoute, streamRoute, resumableRoute} {
		c.Match(r.Host, r.PathPrefix).Timeout = time.Minute
	}
	return c
}

func responseBodyOf(id string) string { return "id: 0\ndata: for " + id + "\n\n" }

// TestRepeatedRefusalIsNoPromise has an endpoint write an earlier refusal once more. Callers of
// requests that it runs must not be told that they have not run, and those that must run once
// must not run again.
func TestRepeatedRefusalIsNoPromise(t *testing.T) {
	for name, form := range refusalForms {
		for _, when := range []copyTime{withRefusal, afterRefusal, beforeResponse, amidResponse, afterResponse} {
			t.Run(name+", "+string(when), func(t *testing.T) {
				t.Parallel()
				b := newPatientTestBed(t, 2)
				r := &repeatingEndpoint{form: form, when: when, before: map[*net.TCPConn]string{}}
				b.startEndpoint("i-1", r.serve)
				for _, path := range []string{"/flux/", "/goon/", "/plain/", "/once/"} {
					id := "LATER" + path
					assert.Equal(t, b.send("/plain/1", "Attempt-Id", "EARLIER"+path).status, http.StatusOK)
					time.Sleep(10 * time.Millisecond)
					got := b.send(path, append(promptHeaders(), "Attempt-Id", id)...)
					lost := got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout || got.err != nil
					assert.Check(t, lost || got.status == http.StatusOK && got.body == responseBodyOf(id), "%s: status %d: %q", path, got.status, got.body)
					r.mu.Lock()
					runs := len(slices.DeleteFunc(slices.Clone(r.ran), func(s string) bool { return s != id }))
					r.mu.Unlock()
					mayRepeat := path == "/plain/" || path == "/goon/"
					assert.Check(t, runs == 1 || runs > 1 && mayRepeat, "%s: %d runs", path, runs)
				}
				assert.Check(t, r.copies > 0 || when == withRefusal || when == afterRefusal)
			})
		}
	}
}

// TestRefusalOfReusedIdentifierIsNoPromise has a caller use the identifier of a refused attempt
// for another request, or none. The endpoint writes the refusal once more when that request is
// there, which it runs.
func TestRefusalOfReusedIdentifierIsNoPromise(t *testing.T) {
	for _, ids := range [][2]string{{"a", "a"}, {"", ""}, {"a", ""}} {
		for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"} {
			for _, path := range []string{"/flux/1", "/once/1"} {
				t.Run(fmt.Sprint(ids, status, path), func(t *testing.T) {
					t.Parallel()
					refusal := func(id string) string {
						return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
					}
					b := newPatientTestBed(t, 2)
					var mu sync.Mutex
					var refused *net.TCPConn
					var runs []string
					b.startEndpoint("i-1", func(x *exchange) {
						mu.Lock()
						defer mu.Unlock()
						switch {
						case refused == nil:
							refused = x.conn
							x.write(refusal(ids[0]))
							return
						case x.URL.Path == "/plain/1":
							x.respond(http.StatusOK, eventText(0), "Connection: close")
							return
						case x.conn == refused:
							x.write(refusal(ids[1]))
							time.Sleep(time.Millisecond)
						}
						runs = append(runs, fmt.Sprintf("%s from %s: %q", x.URL.Path, x.conn.RemoteAddr(), x.Header))
						x.respond(http.StatusOK, eventText(0))
					})
					b.send("/plain/1", append(promptHeaders(), "Attempt-Id", ids[0])...)
					got := b.send(path, append(promptHeaders(), "Attempt-Id", ids[1])...)
					assert.Check(t, got.status == http.StatusOK || got.status == http.StatusBadGateway, "status %d: %q", got.status, got.body)
					mu.Lock()
					defer mu.Unlock()
					assert.Equal(t, len(runs), 1, "%q", runs)
				})
			}
		}
	}
}
