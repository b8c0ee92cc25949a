package peers

import (
	"math"
	"slices"
)

// maxRow is the most instances that all exchange with each other.
const maxRow = 11

// grid arranges instances in rows of about equal length, so that each learns the
// work of all from few: those of its row tell their own, and one instance of
// every other row tells the sum of that row.
//
// Load pattern: with many instances, each has little at an endpoint. A sample of
// them says nothing about the whole: engines get more prompts than they have
// memory for while others are idle.
type grid struct {
	row     []string // the other instances of the own row
	column  []string // peers in other rows
	rowName string   // name of the own row
}

// newGrid returns the grid of self. Being a peer is mutual.
func newGrid(self string, names []string) grid {
	names = slices.Clone(names)
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	slices.Sort(names)
	rows := split(names)
	own := slices.IndexFunc(rows, func(row []string) bool { return slices.Contains(row, self) })
	place := slices.Index(rows[own], self)
	g := grid{rowName: rows[own][0]}
	for r, row := range rows {
		for at, name := range row {
			switch {
			case r == own && at != place:
				g.row = append(g.row, name)
			case r != own && faces(place, len(rows[own]), at, len(row)):
				g.column = append(g.column, name)
			}
		}
	}
	return g
}

// split cuts names into rows whose lengths differ by one at most.
func split(names []string) [][]string {
	count := 1
	if len(names) > maxRow {
		count = int(math.Round(math.Sqrt(float64(len(names)))))
	}
	rows := make([][]string, count)
	for r := range rows {
		rows[r] = names[r*len(names)/count : (r+1)*len(names)/count]
	}
	return rows
}

// faces reports whether places of two rows are peers: the same ones are, and
// what a row has more is spread over the places of the shorter.
func faces(a, lenA, b, lenB int) bool {
	if lenA >= lenB {
		return a%lenB == b
	}
	return b%lenA == a
}
