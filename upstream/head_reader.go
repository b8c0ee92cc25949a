package upstream

import "io"

// unlimited stands for no limit of a headReader.
const unlimited = -1

// headReader reads from a connection and limits the bytes of the head of a response, which
// net/http reads without a limit. An endpoint that fails may send bytes without end.
type headReader struct {
	source io.Reader
	left   int // bytes that the head may still have, or unlimited
}

// Read implements io.Reader. The error is a *HeadTooLargeError if the head has reached its
// limit.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left == unlimited {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
