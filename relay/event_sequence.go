package relay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"mime"
	"slices"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/upstream"
)

// eventFault is why an event can't be the next one of a stream.
type eventFault uint8

const (
	noFault       eventFault = iota
	faultRepeated            // its identifier is not above that of the event before it in the same response
	faultMissing             // its identifier is above the next one
	faultUnnamed             // it has no identifier, in a response that resumes a stream
	faultForeign             // it contains the head of another response
	faultNoEvent             // the response has no event after those that the caller has
)

// String implements fmt.Stringer. The values are those of a metric's label.
func (f eventFault) String() string {
	return [...]string{"none", "repeated", "missing", "unnamed", "foreign", "no_event"}[f]
}

// EventOrderError reports a response that does not go on with a stream where its caller's events
// end. Last is the identifier of the last event that the caller has, Got that of the event that
// is not the next one, or -1 for none.
type EventOrderError struct {
	fault     eventFault
	Last, Got int64
}

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("not the next event of the stream: %s, event %d after %d", e.fault, e.Got, e.Last)
}

// ContentTypeError reports a response that is no event stream after a stream has begun.
type ContentTypeError struct{ ContentType string }

// Error implements error.
func (e *ContentTypeError) Error() string {
	return fmt.Sprintf("the response after a stream has begun has the content type %q", e.ContentType)
}

// eventSequence follows the identifiers of a stream's events over all attempts that bring them,
// also those that the caller had before the request. It lets through each event once, in order,
// and none that belongs to no run of the stream.
//
// An identifier is an integer above that of the event before it. That it is the next integer is
// known only from what endpoints of the same software version do; see eventNumbering. Where
// nothing is known, a run that resumes a stream shows it by its own events: the one after a gap is
// held until the next one has arrived. An event without identifier passes in a first run, and the
// stream can't be resumed after it.
//
// It is used only by the goroutine that serves the request.
type eventSequence struct {
	last    int64               // of the last event that the caller has, -1 for none
	begun   bool                // something was passed on, if only a comment
	unnamed bool                // an event without identifier was passed on
	skipped bool                // the stream's own runs have left out identifiers
	emptyAt []fleet.EndpointKey // endpoints whose latest responses ended without an event after the last one
	attemptEvents
}

// attemptEvents is the part of an eventSequence that belongs to one attempt.
type attemptEvents struct {
	endpoint    fleet.EndpointKey // of the response
	resumes     bool              // the caller had events of the stream when the attempt began
	numbered    numberingKnown
	first       int64  // identifier of the first event that has one, -1 for none
	previous    int64  // identifier of the latest event, -1 for none
	joined      bool   // an event was passed on
	events      int    // events that arrived, also those that the caller had
	skips       bool   // identifiers were left out between two events
	unframed    bool   // the response ends with its connection
	contentType string // of the response
	held        int64  // identifier of the event after a gap that waits for the next one, -1 for none
}

// newEventSequence returns the sequence of a stream of which the caller has the events up to
// last, -1 for none.
func newEventSequence(last int64) eventSequence {
	return eventSequence{last: last, attemptEvents: attemptEvents{first: -1, previous: -1, held: -1}}
}

// mayResume reports whether another run can go on after the last event, or begin the stream of
// which the caller has no event. After an event without identifier it is not known where.
func (s *eventSequence) mayResume() bool { return !s.unnamed }

// beginAttempt begins the events of the response of an endpoint; numbered is what is known of its
// software version. The error is a *ContentTypeError if the response can't go on with the stream.
func (s *eventSequence) beginAttempt(res *upstream.Response, endpoint fleet.EndpointKey, numbered numberingKnown) error {
	s.attemptEvents = attemptEvents{
		endpoint: endpoint, resumes: s.last >= 0, numbered: numbered, first: -1, previous: -1, held: -1,
		unframed: res.Unframed, contentType: res.Header.Get("Content-Type"),
	}
	if mediaType, _, err := mime.ParseMediaType(s.contentType); (s.resumes || s.begun) && (err != nil || mediaType != "text/event-stream") {
		return &ContentTypeError{ContentType: s.contentType}
	}
	return nil
}

// take returns those of the given complete events that are to be sent to the caller, and the length
// of those that are dealt with: an event that is held, and what follows it, must be given again
// together with what arrives next. The error is an *EventOrderError if an event is not the next
// one; the events before it are returned.
func (s *eventSequence) take(events []byte) (next []byte, taken int, err error) {
	from := 0
	s.held = -1
	for at := 0; at < len(events); {
		end := at + firstEventLength(events[at:])
		last, id := s.last, eventID(events[at:end])
		if s.isUnclear(id) && !s.isForeign(events[at:end]) {
			following, arrived := nextEventID(events[end:])
			if !arrived {
				s.held = id
				return events[from:at], at, nil
			}
			s.skipped = following > id+1
			s.numbered.consecutive = !s.skipped
		}
		had, fault := s.add(events[at:end], id)
		switch {
		case fault != noFault:
			return events[from:at], at, &EventOrderError{fault: fault, Last: last, Got: id}
		case had:
			from = end
		}
		at = end
	}
	return events[from:], len(events), nil
}

// isUnclear reports whether an event with the given identifier follows a gap of which it is not
// known whether events are missing there.
func (s *eventSequence) isUnclear(id int64) bool {
	return s.resumes && id > s.last+1 && id > s.previous && !s.skipped && !s.skips && s.numbered == numberingKnown{}
}

// nextEventID returns the identifier of the first event that is no comment, -1 if it has none, and
// whether there is such an event.
func nextEventID(events []byte) (id int64, found bool) {
	for len(events) > 0 {
		end := firstEventLength(events)
		if !isComment(events[:end]) {
			return eventID(events[:end]), true
		}
		events = events[end:]
	}
	return -1, false
}

// add adds the next event, with its identifier or -1. It reports whether the caller has it
// already, and why it can't be the next one.
func (s *eventSequence) add(text []byte, id int64) (had bool, fault eventFault) {
	switch {
	case s.isForeign(text):
		return false, faultForeign
	case isComment(text):
		had = !s.joined && s.resumes
		s.begun = s.begun || !had
		return had, noFault
	}
	s.events++
	if id < 0 {
		if s.resumes {
			return false, faultUnnamed
		}
		s.begun, s.unnamed = true, true
		return false, noFault
	}
	if id <= s.previous {
		return false, faultRepeated
	}
	if s.first < 0 {
		s.first = id
	}
	skips := s.previous >= 0 && id > s.previous+1
	s.skips = s.skips || skips
	s.previous = id
	if id <= s.last {
		return true, noFault
	}
	if s.last >= 0 && id > s.last+1 && s.isNumbered() {
		return false, faultMissing
	}
	s.skipped = s.skipped || skips
	s.last, s.joined, s.begun, s.emptyAt = id, true, true, nil
	return false, noFault
}

// isNumbered reports whether the next event must have the next identifier. A run that resumes a
// stream may leave out identifiers if the stream's own runs do.
func (s *eventSequence) isNumbered() bool {
	return s.numbered.consecutive && !(s.resumes && s.skipped)
}

// end returns an *EventOrderError if the end of the response can't be the end of the stream: an
// event after a gap is still held, or the response resumed a stream and brought no event after the
// last one, although an earlier run broke off there. A run that begins before the last event and
// ends with it, or another endpoint that has no further event, shows that there is none. A response
// that ends with its connection and is empty shows nothing: the endpoint may have stopped after the
// head.
func (s *eventSequence) end() error {
	if s.held >= 0 {
		return &EventOrderError{fault: faultMissing, Last: s.last, Got: s.held}
	}
	if !s.resumes || s.joined || s.previous == s.last {
		return nil
	}
	if s.previous < 0 && !s.unframed {
		if slices.ContainsFunc(s.emptyAt, func(other fleet.EndpointKey) bool { return other != s.endpoint }) {
			return nil
		}
		s.emptyAt = append(s.emptyAt, s.endpoint)
	}
	return &EventOrderError{fault: faultNoEvent, Last: s.last, Got: s.previous}
}

// logAttrs returns log attributes that say how the latest response began and ended.
func (s *eventSequence) logAttrs() []slog.Attr {
	return []slog.Attr{
		slog.Int64("firstEvent", s.first), slog.Int64("lastEvent", s.previous), slog.Int("events", s.events),
		slog.Bool("unframed", s.unframed), slog.String("contentType", s.contentType),
	}
}

// handleOutOfOrder ends an attempt whose response does not go on with the stream.
func (c *callerRequest) handleOutOfOrder(ctx context.Context, p *pick, err error) outcome {
	fault := "content_type"
	var order *EventOrderError
	if errors.As(err, &order) {
		fault = order.fault.String()
	}
	c.query.excluded = append(c.query.excluded, p.spec.Key())
	metric.Counter("stream_event_faults_total", "service", c.query.service, "fault", fault).Inc(1)
	attrs := append(c.logAttrs(), c.sequence.logAttrs()...)
	event.StreamIrregular.Log(c.server.opts.Log, append(attrs, slog.String("fault", fault), slog.Int64("had", c.sequence.last))...)
	return c.handleLost(ctx, p, err)
}

// isForeign reports whether an event begins with the head of another response, or broke off and
// goes on with one. Only a response that ends with its connection takes in the next one. The end
// of a head would also end an event.
func (s *eventSequence) isForeign(text []byte) bool {
	head := bytes.Index(text, []byte("HTTP/1."))
	return head == 0 || head > 0 && s.unframed && bytes.Contains(text[head:], []byte("\r\n\r\n"))
}
