package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// DayReport holds the fields of a day's report that show where the score was lost.
type DayReport struct {
	Parts    []ScorePart `json:"parts"`
	Prices   []Price     `json:"prices"`
	Classes  []Group     `json:"classes"` // by request class
	Zones    []Group     `json:"zones"`
	Windows  []Group     `json:"windows"` // by time window; the name is the window's first second
	Unserved []Cause     `json:"unserved_by"`
}

// Group summarizes the requests of one class, zone or time window.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	NotOwed  int     `json:"not_owed"` // requests that the caller gave up early or that were not allowed
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"` // credit earned, as a fraction of the full credit for the requests that were owed an answer
}

// lostCredit returns the credit that was not earned, in units of one fully
// credited request.
func (g *Group) lostCredit() float64 { return float64(g.Requests-g.NotOwed) * (1 - g.Worth) }

// ScorePart is a component of the day's score, which the report calls its worth,
// with its weight in the sum and its value from 0 to 1.
type ScorePart struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON implements json.Unmarshaler. A part is encoded as a list of name,
// weight and value.
func (p *ScorePart) UnmarshalJSON(data []byte) error {
	return decodeList(data, &p.Name, &p.Weight, &p.Value)
}

// Price is the deduction from the day's score for an amount of a resource used.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON implements json.Unmarshaler. A price is encoded as a list of name,
// amount and cost.
func (p *Price) UnmarshalJSON(data []byte) error {
	return decodeList(data, &p.Name, &p.Amount, &p.Cost)
}

// Cause counts the requests that were not served and whose last attempt ended in
// the same way.
type Cause struct {
	Name  string
	Count int
}

// UnmarshalJSON implements json.Unmarshaler. A cause is encoded as a list of name,
// count and an example, which is ignored.
func (c *Cause) UnmarshalJSON(data []byte) error {
	return decodeList(data, &c.Name, &c.Count)
}

// ListError reports a JSON list with fewer values than needed.
type ListError struct{ Have, Want int }

// Error implements error.
func (e *ListError) Error() string {
	return fmt.Sprintf("a list has %d values; at least %d are needed", e.Have, e.Want)
}

// decodeList decodes the first values of a JSON list into targets and ignores the
// rest. It returns a *ListError if the list is too short.
func decodeList(data []byte, targets ...any) error {
	var values []json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return errors.Wrap(err, "row")
	}
	if len(values) < len(targets) {
		return &ListError{len(values), len(targets)}
	}
	for i, target := range targets {
		if err := json.Unmarshal(values[i], target); err != nil {
			return errors.Wrapf(err, "decode value %d of a list", i)
		}
	}
	return nil
}

// Table lists losses by one criterion. Losses sorts its rows by loss, the largest
// first.
type Table struct {
	Title string
	Unit  string
	Rows  []Row
}

// Row is one loss.
type Row struct {
	Name   string
	Lost   float64
	Detail string
}

// Losses returns the day's losses in one table per criterion.
func (d *DayReport) Losses() []Table {
	worth := Table{Title: "parts of the worth", Unit: "of worth"}
	for _, p := range d.Parts {
		worth.addRow(p.Name, p.Weight*(1-p.Value), fmt.Sprintf("%.3f reached, weight %.2f", p.Value, p.Weight))
	}
	prices := Table{Title: "prices", Unit: "of worth"}
	for _, p := range d.Prices {
		prices.addRow(p.Name, p.Cost, fmt.Sprintf("%.1f", p.Amount))
	}
	causes := Table{Title: "not served, by the outcome of the last attempt", Unit: "requests"}
	for _, c := range d.Unserved {
		causes.addRow(c.Name, float64(c.Count), "")
	}
	tables := []Table{worth, prices, groupTable("request classes", d.Classes), groupTable("zones", d.Zones), groupTable("from second", d.Windows), causes}
	for _, t := range tables {
		slices.SortStableFunc(t.Rows, func(a, b Row) int { return cmp.Compare(b.Lost, a.Lost) })
	}
	return tables
}

// groupTable returns a table with the lost credit of each group.
func groupTable(title string, groups []Group) Table {
	t := Table{Title: title, Unit: "requests' credit"}
	for i := range groups {
		g := &groups[i]
		t.addRow(g.Name, g.lostCredit(), fmt.Sprintf("%d owed, %d late, %d refused, %d failed", g.Requests-g.NotOwed, g.Late, g.Refused, g.Failed))
	}
	return t
}

func (t *Table) addRow(name string, lost float64, detail string) {
	t.Rows = append(t.Rows, Row{name, lost, detail})
}

// write writes the first maxRows rows to out, and the sum of the others if it is
// positive.
func (t *Table) write(out io.Writer, maxRows int) {
	fmt.Fprintf(out, "  %s (%s)\n", t.Title, t.Unit)
	rest := 0.0
	for i, r := range t.Rows {
		if i >= maxRows {
			rest += r.Lost
			continue
		}
		fmt.Fprintf(out, "    %10.4f  %s  %s\n", r.Lost, r.Name, r.Detail)
	}
	if rest > 0 {
		fmt.Fprintf(out, "    %10.4f  the rest\n", rest)
	}
}
