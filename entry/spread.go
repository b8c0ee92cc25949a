package entry

import (
	"redwingknot/datacentre"
	"redwingknot/note"
)

// spreadNotes lets the spread use the book.
type spreadNotes struct{ *note.Book }

// Since implements datacentre.Notes.
func (s spreadNotes) Since(head uint64, maxBytes int) datacentre.Update {
	return datacentre.Update(s.Book.Since(head, maxBytes))
}

// Offer implements datacentre.Notes.
func (s spreadNotes) Offer(u datacentre.Update) error { return s.Book.Offer(note.Update(u)) }
