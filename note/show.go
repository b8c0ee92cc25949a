package note

import "bytes"

// Raw returns the text of an accepted note, if the book still has it.
func (b *Book) Raw(number uint64) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.find(number)
	return bytes.Clone(r.raw), ok
}
