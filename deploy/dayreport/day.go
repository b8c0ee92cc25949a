package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// DayReport is the report of a day, as far as its losses are concerned.
type DayReport struct {
	Parts    []ScorePart `json:"parts"`
	Prices   []Price     `json:"prices"`
	Classes  []Group     `json:"classes"`
	Zones    []Group     `json:"zones"`
	Windows  []Group     `json:"windows"` // named by their first second
	Unserved []Cause     `json:"unserved_by"`
}

// Group is the requests of a kind, a zone or a time.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	NotOwed  int     `json:"not_owed"` // given up early by their callers, or not allowed
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"` // part of the owed credit that was earned
}

// lost is the credit that was not earned, in whole requests.
func (g *Group) lost() float64 { return float64(g.Requests-g.NotOwed) * (1 - g.Worth) }

// ScorePart is a part of the worth with its weight.
type ScorePart struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON implements json.Unmarshaler: a part is a row.
func (p *ScorePart) UnmarshalJSON(data []byte) error {
	return row(data, &p.Name, &p.Weight, &p.Value)
}

// Price is what was taken from the worth for an amount of something.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON implements json.Unmarshaler: a price is a row.
func (p *Price) UnmarshalJSON(data []byte) error {
	return row(data, &p.Name, &p.Amount, &p.Cost)
}

// Cause is how the last try of requests that were not served ended.
type Cause struct {
	Name  string
	Count int
}

// UnmarshalJSON implements json.Unmarshaler: a cause is a row that ends with an
// example.
func (c *Cause) UnmarshalJSON(data []byte) error {
	return row(data, &c.Name, &c.Count)
}

// RowError reports a row that is too short.
type RowError struct{ Have, Want int }

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("a row has %d values, at least %d are needed", e.Have, e.Want)
}

// row decodes the first values of a JSON list.
func row(data []byte, into ...any) error {
	var values []json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return errors.Wrap(err, "row")
	}
	if len(values) < len(into) {
		return &RowError{len(values), len(into)}
	}
	for i, to := range into {
		if err := json.Unmarshal(values[i], to); err != nil {
			return errors.Wrapf(err, "value %d of a row", i)
		}
	}
	return nil
}

// Table is a list of losses, the largest first.
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

// Losses returns the tables of a day.
func (d *DayReport) Losses() []Table {
	worth := Table{Title: "parts of the worth", Unit: "of worth"}
	for _, p := range d.Parts {
		worth.add(p.Name, p.Weight*(1-p.Value), fmt.Sprintf("%.3f reached, weight %.2f", p.Value, p.Weight))
	}
	prices := Table{Title: "prices", Unit: "of worth"}
	for _, p := range d.Prices {
		prices.add(p.Name, p.Cost, fmt.Sprintf("%.1f", p.Amount))
	}
	causes := Table{Title: "not served, by the end of the last try", Unit: "requests"}
	for _, c := range d.Unserved {
		causes.add(c.Name, float64(c.Count), "")
	}
	tables := []Table{worth, prices, groups("kinds of request", d.Classes), groups("zones", d.Zones), groups("from second", d.Windows), causes}
	for _, t := range tables {
		slices.SortStableFunc(t.Rows, func(a, b Row) int { return cmp.Compare(b.Lost, a.Lost) })
	}
	return tables
}

func groups(title string, list []Group) Table {
	t := Table{Title: title, Unit: "requests' credit"}
	for i := range list {
		g := &list[i]
		t.add(g.Name, g.lost(), fmt.Sprintf("%d owed, %d late, %d refused, %d failed", g.Requests-g.NotOwed, g.Late, g.Refused, g.Failed))
	}
	return t
}

func (t *Table) add(name string, lost float64, detail string) {
	t.Rows = append(t.Rows, Row{name, lost, detail})
}

// print writes the largest losses and the sum of the rest.
func (t *Table) print(out io.Writer, most int) {
	fmt.Fprintf(out, "  %s (%s)\n", t.Title, t.Unit)
	rest := 0.0
	for i, r := range t.Rows {
		if i >= most {
			rest += r.Lost
			continue
		}
		fmt.Fprintf(out, "    %10.4f  %s  %s\n", r.Lost, r.Name, r.Detail)
	}
	if rest > 0 {
		fmt.Fprintf(out, "    %10.4f  the rest\n", rest)
	}
}
