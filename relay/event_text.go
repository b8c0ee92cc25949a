package relay

import (
	"bytes"
	"strconv"
)

// eventSeparator ends each event of a stream.
var eventSeparator = []byte("\n\n")

// completeEventsLength returns the total length of the complete events at the
// start of b, of which the first searched bytes are known to complete none.
func completeEventsLength(b []byte, searched int) int {
	from := max(searched-len(eventSeparator)+1, 0)
	if i := bytes.LastIndex(b[from:], eventSeparator); i >= 0 {
		return from + i + len(eventSeparator)
	}
	return 0
}

// firstEventLength returns the length of the first event in b, which must consist
// of complete events.
func firstEventLength(b []byte) int {
	return bytes.Index(b, eventSeparator) + len(eventSeparator)
}

// isComment reports whether all lines of an event are comments, which endpoints send to keep a
// connection open.
func isComment(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line[0] != ':' && line[0] != '\n' {
			return false
		}
	}
	return true
}

// eventID returns an event's identifier, the last one if there are several, or -1 if it has no
// valid one.
func eventID(event []byte) int64 {
	last := int64(-1)
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				last = id
			}
		}
	}
	return last
}
