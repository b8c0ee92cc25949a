package upstream

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"redwingknot/membudget"
)

// unlimited stands for no limit of a headReader.
const unlimited = -1

// headReader reads from a connection and limits the bytes of the head of a response, which
// net/http reads without a limit. An endpoint that fails may send bytes without end.
type headReader struct {
	source io.Reader
	left   int   // bytes that the head may still have, or unlimited
	end    error // of source, once a read has returned it
	memory *membudget.Hold
	needed int64 // memory for what has arrived of the head
}

// headLineBytes is the memory for a header in addition to its text.
const headLineBytes = 128

// Read implements io.Reader. The error is a *HeadTooLargeError if the head has reached its
// limit, and a *membudget.ExceededError if there is no memory for it.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left == unlimited {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.end = err
	if memoryErr := r.memory.Resize(r.memoryWith(p[:n])); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// memoryWith returns the memory for the head after more of it has arrived, perhaps with the
// beginning of the body.
func (r *headReader) memoryWith(more []byte) int64 {
	head, _, _ := bytes.Cut(more, []byte("\r\n\r\n"))
	r.needed += int64(len(head) + headLineBytes*bytes.Count(head, []byte("\n")))
	return r.needed
}

// breakOffError returns the error of a head that can't be parsed with err. If the connection ended
// within the head, that is the error: of the line that it broke off, net/http says only that it
// is malformed.
func (r *headReader) breakOffError(err error) error {
	switch r.end {
	case nil:
		return err
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return r.end
}

// maxStatus is the highest status that HTTP has.
const maxStatus = 599

// statusLine matches the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}`)

// readHead reads the head of the response to a request of the given method. It skips interim
// responses, whose headers say nothing of the request. The error is an *UnrelatedResponseError if
// the head is not that of a final response alone.
func (c *conn) readHead(method string, memory *membudget.Hold) (*http.Response, error) {
	c.head.left, c.head.memory, c.head.needed = MaxHeadBytes, memory, 0
	defer func() { c.head.left, c.head.memory = unlimited, nil }()
	for {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, c.head.breakOffError(err)
		case joinsHeads(res):
			return nil, &UnrelatedResponseError{Detail: joinedDetail}
		case res.StatusCode >= http.StatusOK && res.StatusCode <= maxStatus:
			return res, nil
		case res.StatusCode == http.StatusSwitchingProtocols || res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus:
			return nil, &UnrelatedResponseError{Detail: "its status is " + strconv.Itoa(res.StatusCode)}
		}
	}
}

// joinedDetail is the detail of the error about a head for which joinsHeads holds.
const joinedDetail = "its head goes on with the status line of another response"

// joinsHeads reports whether a head contains the status line of another response: a response
// broke off inside a line, and the next one followed.
func joinsHeads(res *http.Response) bool {
	if statusLine.MatchString(res.Status) {
		return true
	}
	for _, values := range res.Header {
		for _, v := range values {
			if statusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}
