package event

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
)

// Event is a kind of log record, identified by its number. A number never changes
// and is never reused.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string // what happened
	Action  string // what an operator should do; empty if nothing
}

// Base numbers of the ranges of event numbers. The events of each range are
// defined in a file of the same name, those of rangeProcess also in entry.go.
const (
	rangeServe    = 1000 // serve, entry
	rangePlatform = 2000 // metastore, note
	rangeLedger   = 3000 // ledger
	rangeRoute    = 4000 // route, suspect
	rangeBlock    = 5000 // block
	rangeInstance = 6000 // instance, datacentre, endpoint
	rangeRelay    = 7000 // relay, gateway
	rangeProcess  = 9000 // processes, entry
)

var catalogue = map[int]Event{}

// define adds an event to the catalogue and returns it. A number that is defined
// twice is a programming error: define panics, which stops the process at start.
func define(number int, name string, level slog.Level, meaning, action string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	if existing, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event number %d is defined for both %s and %s", number, existing.Name, name))
	}
	catalogue[number] = e
	return e
}

// Log writes a record of e with attrs to l. The attribute "event" holds the number
// of e.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, all...)
}

// All returns the events of the catalogue, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// WriteMarkdown writes the catalogue to w as the Markdown page docs/EVENTS.md.
func WriteMarkdown(w io.Writer) {
	fmt.Fprint(w, "# Log events\n\nRendered by `go test ./event -update`. Numbers are never reused.\n\n")
	fmt.Fprint(w, "| number | name | level | meaning | action |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		action := e.Action
		if action == "" {
			action = "none"
		}
		fmt.Fprintf(w, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, action)
	}
}
