// Package requestlog finds and prints the log lines of one request in the logs of
// instances.
package requestlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a log line with the identifier of the request.
type Line struct {
	Source string // file that the line was read from
	Time   time.Time
	Event  int            // event number in the event catalogue
	Name   string         // event name
	Attrs  map[string]any // other attributes, such as inputs, their ages and the outcome
}

// maxLineBytes bounds the length of a log line. Instances write no line as long
// as this.
const maxLineBytes = 1 << 20

// FindLines returns the lines of a log whose request attribute is the given request
// identifier. Lines that are not JSON are skipped because other programs may
// write to the same output. The error is that of reading r.
func FindLines(source string, r io.Reader, request string) ([]Line, error) {
	var found []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if !strings.Contains(scan.Text(), request) {
			continue
		}
		if l, ok := parseLine(source, scan.Text()); ok && l.Attrs["request"] == request {
			delete(l.Attrs, "request")
			found = append(found, l)
		}
	}
	return found, scan.Err()
}

// parseLine parses the JSON object in a log line. Text before the object is
// ignored. It returns false if there is no valid object.
func parseLine(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if err := json.Unmarshal([]byte(text[start:]), &l.Attrs); err != nil {
		return Line{}, false
	}
	timestamp, _ := l.Attrs["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, timestamp)
	number, _ := l.Attrs["event"].(float64)
	l.Event = int(number)
	l.Name, _ = l.Attrs["msg"].(string)
	for _, name := range []string{"time", "event", "msg", "level"} {
		delete(l.Attrs, name)
	}
	return l, true
}

// Print sorts lines by time and writes them to w.
func Print(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %d %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Event, l.Name, l.formatAttrs()); err != nil {
			return err
		}
	}
	return nil
}

// formatAttrs formats the attributes sorted by name. Durations, which are logged
// in nanoseconds, are formatted with their unit.
func (l *Line) formatAttrs() string {
	names := make([]string, 0, len(l.Attrs))
	for name := range l.Attrs {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	var b strings.Builder
	for _, name := range names {
		value := l.Attrs[name]
		if n, ok := value.(float64); ok && slices.Contains([]string{"took", "first", "confirmedAge", "retryAfter"}, name) {
			value = time.Duration(n).Round(time.Microsecond)
		}
		fmt.Fprintf(&b, " %s=%v", name, value)
	}
	return b.String()
}
