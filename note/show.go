package note

import "bytes"

// NoteText returns the text of an accepted note, if the book still has it.
func (b *Book) NoteText(number uint64) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.find(number)
	return bytes.Clone(r.raw), ok
}
