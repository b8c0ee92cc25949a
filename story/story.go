// Package story finds what instances logged of one request.
package story

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

// Line is one log line that bears the request's identifier.
type Line struct {
	Source string // file that it was read from
	Time   time.Time
	Event  int // number in the catalogue
	Name   string
	Attrs  map[string]any // the rest: inputs, their ages, outcome
}

// maxLine is above any line that instances write.
const maxLine = 1 << 20

// Find returns the lines of a log that name a request. Lines that are no JSON
// are left out: other programs may write to the same output.
func Find(source string, r io.Reader, request string) ([]Line, error) {
	var found []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if !strings.Contains(scan.Text(), request) {
			continue
		}
		if l, ok := parse(source, scan.Text()); ok && l.Attrs["request"] == request {
			delete(l.Attrs, "request")
			found = append(found, l)
		}
	}
	return found, scan.Err()
}

func parse(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if err := json.Unmarshal([]byte(text[start:]), &l.Attrs); err != nil {
		return Line{}, false
	}
	at, _ := l.Attrs["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, at)
	number, _ := l.Attrs["event"].(float64)
	l.Event = int(number)
	l.Name, _ = l.Attrs["msg"].(string)
	for _, known := range []string{"time", "event", "msg", "level"} {
		delete(l.Attrs, known)
	}
	return l, true
}

// Print writes lines in order of time.
func Print(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %d %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Event, l.Name, l.attrs()); err != nil {
			return err
		}
	}
	return nil
}

// attrs renders the attributes by name; durations are logged in nanoseconds.
func (l *Line) attrs() string {
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
