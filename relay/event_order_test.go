package relay_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// events returns the text of the events with the given identifiers.
func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString(eventText(id))
	}
	return b.String()
}

// resume makes the first run of a stream break off after events 0 and 1, and has resumed answer
// every further run.
func resume(resumed func(x *exchange)) func(x *exchange) {
	return func(x *exchange) {
		if x.Header.Get("Last-Event-Id") != "" {
			resumed(x)
			return
		}
		x.startStream()
		x.chunk(events(0, 1))
		time.Sleep(20 * time.Millisecond)
		x.reset()
	}
}

// stream answers with a whole stream of the given chunks.
func stream(chunks ...string) func(x *exchange) {
	return func(x *exchange) {
		x.startStream()
		for _, c := range chunks {
			x.chunk(c)
			time.Sleep(20 * time.Millisecond)
		}
		x.endStream()
	}
}

const (
	errorEvent   = "event: error\ndata: {\"error\":\"overloaded\"}\n\n"
	commentEvent = ": still there\n\n"
)

// TestResumedStreamIsInOrder guards against streams with events that are missing, come twice or
// belong to no run, and against ends that are taken for the end of the stream, when a run that
// resumes one does not begin after the last event or is no stream.
func TestResumedStreamIsInOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		resumed func(x *exchange)
		want    string
		whole   bool
	}{
		{"next event", stream(events(2, 3)), events(0, 1, 2, 3), true},
		{"events from the first one on", stream(events(0, 1, 2, 3)), events(0, 1, 2, 3), true},
		{"one event at a time", stream(events(2), events(3), events(4)), events(0, 1, 2, 3, 4), true},
		{"blank lines at the end", stream(events(2, 3), "\n"), events(0, 1, 2, 3), true},
		{"two identifiers in one event", stream("id: 7\nid: 2\ndata: piece 2\n\n", events(3)), events(0, 1) + "id: 7\nid: 2\ndata: piece 2\n\n" + events(3), true},
		{"comments in between", stream(events(2), commentEvent+events(3)), events(0, 1, 2) + commentEvent + events(3), true},
		{"missing events", stream(events(4, 5)), events(0, 1), false},
		{"missing events later on", stream(events(2, 4, 5)), events(0, 1, 2), false},
		{"repeated events in one chunk", stream(events(2, 3, 2, 3, 4)), events(0, 1, 2, 3), false},
		{"repeated events in chunks", stream(events(2, 3), events(2, 3), events(4)), events(0, 1, 2, 3), false},
		{"decreasing old events", stream(events(1, 0, 2)), events(0, 1), false},
		{"old events alone", stream(events(0)), events(0, 1), false},
		{"all old events", stream(events(0, 1)), events(0, 1), true},
		{"no event", stream(), events(0, 1), false},
		{"no event and a length", func(x *exchange) { x.respond(http.StatusOK, "", "Content-Type: text/event-stream") }, events(0, 1), false},
		{"error of another type", func(x *exchange) {
			x.respond(http.StatusOK, "{\"error\":\"overloaded\"}\n\n", "Content-Type: application/json")
		}, events(0, 1), false},
		{"events of another type", func(x *exchange) { x.respond(http.StatusOK, events(2, 3), "Content-Type: text/plain") }, events(0, 1), false},
		{"event without identifier", stream(errorEvent), events(0, 1), false},
		{"event without identifier after others", stream(events(2) + errorEvent + events(3)), events(0, 1, 2), false},
		{"another response in an unframed one", func(x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events(2) + "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\n\r\n" + events(3))
			x.conn.Close()
		}, events(0, 1, 2), false},
		{"another response inside an event", func(x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events(2) + "id: 3\ndata: piHTTP/1.1 200 OK\r\nAttempt-Id: b\r\n\r\n" + events(4))
			x.conn.Close()
		}, events(0, 1, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			b.startEndpoint("i-1", resume(c.resumed))
			b.startEndpoint("i-2", resume(c.resumed))
			got := b.send("/goon/1")
			assert.Equal(t, got.body, c.want)
			assert.Equal(t, got.err == nil, c.whole, "%v", got.err)
		})
	}
}

// TestTakenUpStreamIsInOrder guards against events that a caller has, and against missing ones,
// when it takes a stream up after event 2.
func TestTakenUpStreamIsInOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []string
		want   string
		whole  bool
	}{
		{"next event", []string{events(3, 4)}, events(3, 4), true},
		{"events from the first one on", []string{events(0, 1, 2, 3, 4)}, events(3, 4), true},
		{"events from the first one on in chunks", []string{events(0, 1), events(2, 3), events(4)}, events(3, 4), true},
		{"missing events", []string{events(5, 6)}, "", false},
		{"event without identifier", []string{errorEvent}, "", false},
		{"two endpoints have no further event", nil, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			serve := func(x *exchange) {
				if x.Header.Get("Last-Event-Id") == "" {
					stream(events(0, 1, 2))(x)
					return
				}
				stream(c.chunks...)(x)
			}
			f, g := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
			b.send("/goon/1") // tells the relay where the stream began
			before := requestCount(f, g)
			got := b.send("/goon/1", "Attempt-Id", "a2", "Resumes", "a1", "Last-Event-Id", "2")
			assert.Equal(t, got.status == http.StatusOK && got.err == nil, c.whole, "status %d, error %v", got.status, got.err)
			if got.status == http.StatusOK {
				assert.Equal(t, got.body, c.want)
			}
			if c.chunks == nil {
				assert.Equal(t, requestCount(f, g)-before, 2)
			}
		})
	}
}

// TestErrorEventIsNotInTheMiddle guards against the event of an error, without identifier, between
// the events of two runs.
func TestErrorEventIsNotInTheMiddle(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		if x.Header.Get("Last-Event-Id") != "" {
			stream(events(2, 3))(x)
			return
		}
		x.startStream()
		x.chunk(events(0, 1) + errorEvent)
		time.Sleep(20 * time.Millisecond)
		x.reset()
	}
	b.startEndpoint("i-1", serve)
	b.startEndpoint("i-2", serve)
	got := b.send("/goon/1")
	assert.Check(t, got.err != nil)
	assert.Equal(t, got.body, events(0, 1)+errorEvent)
}

// TestEmptyEndsOfOneEndpointAreNotTheEnd guards against a stream that ends as whole because the
// same endpoint brings no event twice.
func TestEmptyEndsOfOneEndpointAreNotTheEnd(t *testing.T) {
	b := newTestBed(t)
	b.view.ApplyConfig(newConfig(2, 4))
	f := b.startEndpoint("i-1", resume(stream()))
	got := b.send("/goon/1")
	assert.Check(t, got.err != nil, "complete after %d requests: %q", requestCount(f), got.body)
	assert.Equal(t, got.body, events(0, 1))
}

// TestStreamWithoutIdentifiersIsNotResumed guards against a second run from the first event on
// after events without identifiers.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		x.startStream()
		x.chunk("data: a\n\n")
		time.Sleep(20 * time.Millisecond)
		x.reset()
	}
	f, g := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
	got := b.send("/goon/1")
	assert.Check(t, got.err != nil)
	assert.Equal(t, got.body, "data: a\n\n")
	assert.Equal(t, requestCount(f, g), 1)
}

// TestStreamsNumberedWithGapsPass guards against taking identifiers that only increase for a
// sign of missing events.
func TestStreamsNumberedWithGapsPass(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		if x.Header.Get("Last-Event-Id") != "" {
			stream(events(14, 20))(x)
			return
		}
		if x.URL.Path == "/goon/whole" {
			stream(events(3, 7, 14))(x)
			return
		}
		x.startStream()
		x.chunk(events(3, 7))
		time.Sleep(20 * time.Millisecond)
		x.reset()
	}
	b.startEndpoint("i-1", serve)
	b.startEndpoint("i-2", serve)
	got := b.send("/goon/whole")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(3, 7, 14))
	got = b.send("/goon/broken")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(3, 7, 14, 20))
}

// TestMissingEventOfOneRunBreaksIt guards against a stream that lacks an event, at a service
// whose endpoints number events consecutively.
func TestMissingEventOfOneRunBreaksIt(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		if strings.HasPrefix(x.URL.Path, "/goon/whole") {
			stream(events(1, 2, 3))(x)
			return
		}
		stream(events(1, 2, 4))(x)
	}
	b.startEndpoint("i-1", serve)
	for range 40 {
		assert.NilError(t, b.send("/goon/whole").err)
	}
	got := b.send("/goon/lacking")
	assert.Check(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 2))
}

// TestPartOfTakenUpStreamIsNotWhole guards against successes without a stream, whose events
// nobody checks, for a stream that its caller takes up.
func TestPartOfTakenUpStreamIsNotWhole(t *testing.T) {
	for _, status := range []int{http.StatusCreated, http.StatusAccepted, http.StatusPartialContent} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			serve := func(x *exchange) {
				if x.Header.Get("Last-Event-Id") == "" {
					stream(events(0, 1, 2))(x)
					return
				}
				x.respond(status, events(5, 6), "Content-Type: text/event-stream")
			}
			b.startEndpoint("i-1", serve)
			b.startEndpoint("i-2", serve)
			b.send("/goon/1")
			got := b.send("/goon/1", "Attempt-Id", "a2", "Resumes", "a1", "Last-Event-Id", "2")
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}

// TestOneEmptyEndIsNotTheEnd guards against an end without events that is taken for the end of
// the stream because another response had none after an earlier event.
func TestOneEmptyEndIsNotTheEnd(t *testing.T) {
	b := newTestBed(t)
	b.view.ApplyConfig(newConfig(2, 4))
	var runs atomic.Int64
	serve := func(x *exchange) {
		switch runs.Add(1) {
		case 1:
			resume(nil)(x)
		case 3:
			x.startStream()
			x.chunk(events(2))
			time.Sleep(20 * time.Millisecond)
			x.reset()
		default:
			stream()(x)
		}
	}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		b.startEndpoint(id, serve)
	}
	got := b.send("/goon/1")
	assert.Equal(t, runs.Load(), int64(4))
	assert.Equal(t, got.body, events(0, 1, 2))
	assert.Check(t, got.err != nil)
}

// TestStreamWithCommentsAloneIsBegunAgain guards against a stream that is given up although its
// caller has had no event yet, but comments that keep the connection open.
func TestStreamWithCommentsAloneIsBegunAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		again func(x *exchange)
		want  string
		whole bool
	}{
		{"stream", stream(events(0, 1, 2)), commentEvent + events(0, 1, 2), true},
		{"another type", func(x *exchange) {
			x.respond(http.StatusOK, "{\"error\":\"overloaded\"}\n\n", "Content-Type: application/json")
		}, commentEvent, false},
		{"no event and no length", func(x *exchange) {
			x.startUnframed("text/event-stream")
			x.conn.Close()
		}, commentEvent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			var runs atomic.Int64
			serve := func(x *exchange) {
				if runs.Add(1) > 1 {
					c.again(x)
					return
				}
				x.startStream()
				x.chunk(commentEvent)
				time.Sleep(20 * time.Millisecond)
				x.reset()
			}
			b.startEndpoint("i-1", serve)
			b.startEndpoint("i-2", serve)
			got := b.send("/goon/1")
			assert.Equal(t, runs.Load(), int64(2))
			assert.Equal(t, got.body, c.want)
			assert.Equal(t, got.err == nil, c.whole, "%v", got.err)
		})
	}
}

// TestVersionsMayNumberEventsDifferently guards against streams of a new software version that are
// broken off because the version before it numbers its events otherwise, and against missing events
// that pass at the one because the other leaves out numbers.
func TestVersionsMayNumberEventsDifferently(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, then []int // numbers of the events of the versions
	}{
		{"consecutive, then by tokens", []int{0, 1, 2, 3}, []int{0, 7, 14, 21}},
		{"by tokens, then consecutive", []int{0, 7, 14, 21}, []int{0, 1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			serve := func(numbers []int) func(x *exchange) {
				return func(x *exchange) {
					if strings.HasPrefix(x.URL.Path, "/goon/lacking") {
						stream(events(numbers[0]), events(numbers[1]), events(numbers[3]))(x)
						return
					}
					x.startStream()
					x.chunk(events(numbers...))
					x.endStream()
				}
			}
			old := b.startEndpoint("i-1", serve(c.before))
			for range 60 {
				assert.NilError(t, b.send("/goon/whole").err)
			}
			b.setSoftware(b.startEndpoint("i-2", serve(c.then)), "v2")
			b.view.RemoveEndpoint(old.spec.ID, b.now())
			for range 30 {
				r := b.send("/goon/whole")
				assert.NilError(t, r.err)
				assert.Equal(t, r.body, events(c.then...))
			}
			consecutive := c.then[1] == 1
			assert.Equal(t, b.send("/goon/lacking").err != nil, consecutive, "a stream without its third event")
		})
	}
}

// TestTakenUpStreamMayLeaveOutNumbers guards against streams that can't be taken up at an instance
// that knows nothing of how their software version numbers events.
func TestTakenUpStreamMayLeaveOutNumbers(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []string
		want   string
		whole  bool
	}{
		{"by tokens", []string{events(7), events(14), events(21)}, events(7, 14, 21), true},
		{"by tokens in one chunk", []string{events(7, 14, 21)}, events(7, 14, 21), true},
		{"irregular", []string{events(2), events(5), events(9)}, events(2, 5, 9), true},
		{"from the first event on", []string{events(0, 7, 14)}, events(7, 14), true},
		{"comments in between", []string{events(7), commentEvent, events(14)}, events(7) + commentEvent + events(14), true},
		{"missing events", []string{events(7), events(8), events(9)}, "", false},
		{"one event that may not be the next", []string{events(7)}, "", false},
		{"unnamed event after a gap", []string{events(7), errorEvent}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			b.startEndpoint("i-1", stream(c.chunks...))
			b.relay.Endpoints().ObserveSoftware()
			b.advance(7 * time.Second)
			b.view.Confirm(b.now())
			b.relay.Endpoints().ObserveSoftware()
			got := b.send("/goon/1", "Resumes", "elsewhere", "Last-Event-Id", "0")
			body := got.body
			if !c.whole {
				assert.Check(t, got.err != nil || got.status == http.StatusBadGateway, "status %d", got.status)
				if got.status == http.StatusBadGateway {
					body = ""
				}
			}
			assert.Equal(t, body, c.want)
			assert.Equal(t, got.err == nil && got.status == http.StatusOK, c.whole)
		})
	}
}
