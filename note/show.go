package note

import "bytes"

// NoteText returns a copy of the text of an accepted note, and false if the book no
// longer keeps it.
func (b *Book) NoteText(number uint64) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.findRecent(number)
	return bytes.Clone(r.raw), ok
}
