package peers

import (
	"math"
	"slices"
)

// maxSingleRow is the largest number of instances that form a single row, in which
// all exchange reports with each other. More instances form several rows, which can
// be longer than this.
const maxSingleRow = 11

// grid arranges instances in rows of about equal length, so that each instance
// learns the load of all from few peers: those of its own row report their own
// load, and one or two instances of every other row report the sum of that
// row.
//
// Load pattern: with many instances, each has little load at any one endpoint,
// and a sample of instances says nothing about the total. If requests are
// placed by such a sample, some engines get more prompts than they have memory
// for while others are idle.
type grid struct {
	row     []string // the other instances of the own row
	column  []string // peers in other rows
	rowName string   // name of the own row
}

// newGrid returns the grid of self among the instances with the given names.
// Being a peer is mutual: in the grids of two instances either both or neither
// lists the other.
func newGrid(self string, names []string) grid {
	names = slices.Clone(names)
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	slices.Sort(names)
	rows := splitRows(names)
	ownRow := slices.IndexFunc(rows, func(row []string) bool { return slices.Contains(row, self) })
	ownIndex := slices.Index(rows[ownRow], self)
	g := grid{rowName: rows[ownRow][0]}
	for r, row := range rows {
		for i, name := range row {
			switch {
			case r == ownRow && i != ownIndex:
				g.row = append(g.row, name)
			case r != ownRow && areColumnPeers(ownIndex, len(rows[ownRow]), i, len(row)):
				g.column = append(g.column, name)
			}
		}
	}
	return g
}

// splitRows divides names into rows whose lengths differ by at most one.
func splitRows(names []string) [][]string {
	rowCount := 1
	if len(names) > maxSingleRow {
		rowCount = int(math.Round(math.Sqrt(float64(len(names)))))
	}
	rows := make([][]string, rowCount)
	for r := range rows {
		rows[r] = names[r*len(names)/rowCount : (r+1)*len(names)/rowCount]
	}
	return rows
}

// areColumnPeers reports whether the instances at index a of one row and at
// index b of another are peers. Instances at equal indexes are peers. The instances
// at the end of the longer row that have no counterpart are peers of the first
// instances of the shorter row.
func areColumnPeers(a, lenA, b, lenB int) bool {
	if lenA >= lenB {
		return a%lenB == b
	}
	return b%lenA == a
}
