package fleetworker

import (
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"time"

	"redwingknot/internal/timer"
)

// StreamFault is a way in which an engine writes streams wrongly.
type StreamFault string

// The faults of streams. A resumed run is one that is to go on after an event.
const (
	StreamSkips          StreamFault = "stream-skips"           // resumed runs leave out events
	StreamRestarts       StreamFault = "stream-restarts"        // resumed runs begin with the first event
	StreamRepeats        StreamFault = "stream-repeats"         // events come again within one write
	StreamRepeatsLater   StreamFault = "stream-repeats-later"   // events come again in writes of their own
	StreamEmpty          StreamFault = "stream-empty"           // resumed runs end without an event
	StreamErrorText      StreamFault = "stream-error-text"      // resumed runs are a text that is no event
	StreamErrorEvent     StreamFault = "stream-error-event"     // resumed runs are an event without identifier
	StreamBreaks         StreamFault = "stream-breaks"          // half of the other runs break off at any byte
	StreamPieces         StreamFault = "stream-pieces"          // events are written in small pieces
	StreamSecondResponse StreamFault = "stream-second-response" // half of the runs are unframed, and another response follows an event
)

// AddStreamFault adds a fault of the streams that begin until end is called.
func (s *Server) AddStreamFault(f StreamFault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamFaults[f]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.streamFaults[f]--
	}
}

// hasStreamFault reports whether a fault is in force.
func (s *Server) hasStreamFault(f StreamFault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamFaults[f] > 0
}

// Bodies of what faulty runs send instead of events.
const (
	streamErrorText  = "{\"error\": \"the engine is out of memory\",\n\n\"retry\": true}\n\n"
	streamErrorEvent = "event: error\ndata: the engine is out of memory\n\n"
)

// streamWrite is what a run writes at once.
type streamWrite struct {
	text string
	last int // identifier of the last event in it
}

// streamPlan is what a run writes, and how it ends.
type streamPlan struct {
	contentType string
	writes      []streamWrite
	pieces      bool // each write is made in small pieces
	breaks      bool // the run ends without its end
}

// attemptHash returns a number that depends on the attempt alone, from which its faults are drawn.
func attemptHash(r *http.Request) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, r.Header.Get(headerAttempt))
	return int(h.Sum32() >> 1)
}

// isUnframed reports whether the response to a request has neither a length nor chunks.
func (s *Server) isUnframed(r *http.Request) bool {
	s.mu.Lock()
	unframed := s.unframed
	s.mu.Unlock()
	return unframed || s.options.Model != "" && s.hasSecondResponse(r)
}

// hasSecondResponse reports whether another response follows an event of a run.
func (s *Server) hasSecondResponse(r *http.Request) bool {
	return attemptHash(r)%2 == 1 && s.hasStreamFault(StreamSecondResponse)
}

// planStream returns what a run writes that goes on after lastEvent, -1 for none.
func (s *Server) planStream(r *http.Request, lastEvent int) streamPlan {
	p := streamPlan{contentType: "text/event-stream", pieces: s.hasStreamFault(StreamPieces)}
	resumed := lastEvent >= 0
	if resumed && s.hasStreamFault(StreamRestarts) {
		lastEvent = -1
	}
	for id := lastEvent + 1; id < s.options.StreamEvents; id++ {
		p.writes = append(p.writes, streamWrite{StreamEvent(r.URL.Path, s.options.SoftwareVersion, id), id})
	}
	if resumed {
		s.spoilResumed(&p, attemptHash(r))
	}
	s.spoil(&p, r, resumed)
	return p
}

// spoilResumed applies the faults of resumed runs. h is drawn at random.
func (s *Server) spoilResumed(p *streamPlan, h int) {
	const skipped = 2
	switch {
	case s.hasStreamFault(StreamEmpty):
		p.writes = nil
	case s.hasStreamFault(StreamErrorText):
		p.contentType, p.writes = "application/json", []streamWrite{{streamErrorText, 0}}
	case s.hasStreamFault(StreamErrorEvent):
		p.writes = []streamWrite{{streamErrorEvent, 0}}
	case s.hasStreamFault(StreamSkips) && len(p.writes) > skipped:
		from := h % (len(p.writes) - skipped)
		p.writes = slices.Delete(p.writes, from, from+skipped)
	}
}

// spoil applies the other faults.
func (s *Server) spoil(p *streamPlan, r *http.Request, resumed bool) {
	if len(p.writes) < 2 {
		return
	}
	h := attemptHash(r)
	at := 1 + h/2%(len(p.writes)-1)
	before, last := p.writes[at-1], p.writes[at]
	switch {
	case s.hasStreamFault(StreamRepeats):
		p.writes[at].text += before.text + last.text
	case s.hasStreamFault(StreamRepeatsLater):
		p.writes = slices.Insert(p.writes, at+1, before, last)
	}
	switch {
	case s.hasSecondResponse(r):
		p.writes = append(p.writes[:at+1], streamWrite{s.secondResponse(h, last.last+1), last.last})
	case !resumed && h%2 == 0 && s.hasStreamFault(StreamBreaks):
		p.breaks, p.writes = true, p.writes[:at+1]
		text := p.writes[at].text
		p.writes[at] = streamWrite{text[:h/64%len(text)], before.last}
	}
}

// secondResponse returns the head and body of a response to another request: a refusal, or a
// stream whose first event has the given identifier.
func (s *Server) secondResponse(h, id int) string {
	if h/4%2 == 0 {
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + headerAttempt + ": another\r\n" + headerStamp + ": " + ResponseStamp +
		"\r\nContent-Type: text/event-stream\r\n\r\n" + StreamEvent("/another", s.options.SoftwareVersion, id) + StreamEvent("/another", s.options.SoftwareVersion, id+1)
}

// pieceSize and pieceGap describe the writes of an event in small pieces.
const (
	pieceSize = 9
	pieceGap  = time.Millisecond
)

// writeStream makes one write of a run. It reports whether that succeeded.
func writeStream(w http.ResponseWriter, r *http.Request, text string, pieces bool) bool {
	for piece := range slices.Chunk([]byte(text), pieceLength(text, pieces)) {
		if _, err := w.Write(piece); err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
		if pieces && !timer.Sleep(r.Context(), pieceGap) {
			return false
		}
	}
	return true
}

// pieceLength returns the length of the pieces in which a text is written.
func pieceLength(text string, pieces bool) int {
	if pieces {
		return pieceSize
	}
	return max(len(text), 1)
}

// breakOff ends a response without its end. It does not return.
func breakOff(w http.ResponseWriter) {
	if u, ok := w.(*unframedWriter); ok {
		u.reset()
	}
	panic(http.ErrAbortHandler)
}
