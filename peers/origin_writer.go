package peers

import (
	"slices"
	"time"

	"redwingknot/origin"
)

// IsRowWriter reports whether this instance saves the origins of streams that begin in its
// row: it is the first by name of those that have reported lately. While instances have not
// heard of each other, several of them do.
func (e *Exchange) IsRowWriter() bool { return e.rowWriter() == e.opts.Self }

// rowWriter returns the instance that saves the origins of streams that begin in this row.
//
// Load pattern: the writer ends with streams in progress, and its entry in the metadata
// store stays for some seconds.
func (e *Exchange) rowWriter() string {
	silence := e.currentReportTTL()
	e.mu.Lock()
	defer e.mu.Unlock()
	writer, now := e.opts.Self, e.opts.Now()
	for _, name := range e.grid.row {
		if p := e.peers[name]; name < writer && p != nil && p.hasReportedSince(now.Add(-silence)) {
			writer = name
		}
	}
	return writer
}

// hasReportedSince reports whether the peer's latest report arrived at the time or later.
func (p *peer) hasReportedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.reportedAt.Before(at)
}

// Rows returns the number of rows of the grid.
func (e *Exchange) Rows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(splitRows(make([]string, max(len(e.addresses), 1))))
}

// updateWriter records whether the peer saves the row's origins now, which it then gets of
// all streams. When it begins to, it gets all that are known once more, because so far it
// got only its part of them.
func (e *Exchange) updateWriter(p *peer) (saves bool) {
	saves = e.opts.SavesOrigins != nil && e.opts.SavesOrigins() && e.rowWriter() == p.name
	p.mu.Lock()
	defer p.mu.Unlock()
	if saves && !p.savesOrigins {
		p.allSentTo = 0
	}
	p.savesOrigins = saves
	return saves
}

// forPeer returns those of the records that a peer of the row hears of.
func (e *Exchange) forPeer(records []origin.Record, p *peer, saves bool) []origin.Record {
	row, several := e.ownRow()
	if !several || saves {
		return records
	}
	return slices.DeleteFunc(records, func(rec origin.Record) bool { return !slices.Contains(homesOf(rec.Stream, row), p.name) })
}
