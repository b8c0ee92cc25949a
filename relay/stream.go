package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingknot/upstream"
)

const (
	// streamBuffer holds a usual event; it grows for larger ones.
	streamBuffer = 2 << 10
	// maxEvent bounds an event in memory.
	maxEvent = 1 << 20
)

// relayStream relays a stream's events whole and in order. Events that the
// caller has from an earlier attempt are left out.
func (q *run) relayStream(ctx context.Context, p *pick, res *upstream.Response, sent time.Time) outcome {
	reply := q.server.o.Dialect.ParseReply(res.Status, res.Header)
	if !reply.Stamped || res.Header.Get("Content-Encoding") != "" {
		return q.lost(ctx, p, &StatusError{Status: res.Status})
	}
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				return q.lost(ctx, p, &EventTooLargeError{})
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		whole := eventsEnd(buf)
		if whole > 0 {
			if q.first == 0 {
				q.first = time.Since(q.arrived)
				q.server.endpoints.began(p, q.query, time.Since(sent))
			}
			if !q.writeEvents(buf[:whole], res) {
				return callerGone
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		switch {
		case err == io.EOF && len(buf) == 0:
			q.begin(res)
			return delivered
		case err == io.EOF:
			return q.lost(ctx, p, io.ErrUnexpectedEOF)
		case err != nil:
			return q.lost(ctx, p, err)
		}
	}
}

// begin sends the answer's header unless an earlier attempt did.
func (q *run) begin(res *upstream.Response) {
	if q.started {
		return
	}
	q.started = true
	q.server.o.Dialect.CopyReplyHeaders(q.w.Header(), res.Header)
	q.w.WriteHeader(res.Status)
}

// writeEvents sends whole events to the caller. It reports whether the caller
// still takes them.
func (q *run) writeEvents(events []byte, res *upstream.Response) bool {
	out := events
	if q.lastEvent >= 0 {
		out = q.unseen(events)
	} else if id := lastID(events); id >= 0 {
		q.lastEvent = id
	}
	if len(out) == 0 {
		return true
	}
	q.begin(res)
	if _, err := q.w.Write(out); err != nil {
		return false
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// unseen returns the events after the last one that the caller has.
func (q *run) unseen(events []byte) []byte {
	from := -1
	for at := 0; at < len(events); {
		end := at + eventEnd(events[at:])
		id := eventID(events[at:end])
		if id < 0 || id > q.lastEvent {
			if from < 0 {
				from = at
			}
			q.lastEvent = max(q.lastEvent, id)
		}
		at = end
	}
	if from < 0 {
		return nil
	}
	return events[from:]
}

var eventBreak = []byte("\n\n")

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
	if i := bytes.LastIndex(b, eventBreak); i >= 0 {
		return i + len(eventBreak)
	}
	return 0
}

// eventEnd returns the length of the first event of b, which ends with one.
func eventEnd(b []byte) int {
	return bytes.Index(b, eventBreak) + len(eventBreak)
}

// lastID returns the identifier of the last event in b that has one, or -1.
func lastID(b []byte) int64 {
	last := int64(-1)
	for len(b) > 0 {
		end := eventEnd(b)
		if id := eventID(b[:end]); id >= 0 {
			last = id
		}
		b = b[end:]
	}
	return last
}

// eventID returns an event's identifier, -1 without one.
func eventID(event []byte) int64 {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				return id
			}
		}
		event = rest
	}
	return -1
}

// EventTooLargeError reports an event above the bound of memory.
type EventTooLargeError struct{}

// Error implements error.
func (*EventTooLargeError) Error() string {
	return "an event is larger than " + strconv.Itoa(maxEvent) + " bytes"
}
