package membudget

import (
	"io"
)

// minBuffer is the size in bytes of the smallest buffer.
const minBuffer = 512

// Grow returns buf with room for at least one more byte, and at most limit bytes in all. It
// returns an *ExceededError if there is no memory for that. While it copies buf, both buffers
// count.
func (h *Hold) Grow(buf []byte, limit int) ([]byte, error) {
	if len(buf) < cap(buf) || cap(buf) >= limit {
		return buf, nil
	}
	size := min(max(2*cap(buf), minBuffer), limit)
	if err := h.Resize(int64(cap(buf) + size)); err != nil {
		return buf, err
	}
	grown := append(make([]byte, 0, size), buf...)
	return grown, h.Resize(int64(size))
}

// ReadAll reads at most limit bytes of r into memory. The error is that of r, or an
// *ExceededError. The bytes that were read before an error are returned, too.
func (h *Hold) ReadAll(r io.Reader, limit int) ([]byte, error) {
	var buf []byte
	for len(buf) < limit {
		var err error
		if buf, err = h.Grow(buf, limit); err != nil {
			return buf, err
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
	return buf, nil
}
