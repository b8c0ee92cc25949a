package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxFrameBytes is the maximum length of a line in an engine's server-sent events.
const maxFrameBytes = 1 << 20

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// GenerateRequest is the request of one attempt to generate an answer.
type GenerateRequest struct {
	AttemptID    string
	Weights      Weights  // weights that have to generate the answer
	BlockKeys    []string // block keys of the full pieces of the prompt
	Priority     int      // requests with a larger number run first
	ResumeOffset int      // number of tokens that the caller already has
	Body         []byte   // request in the chat completions format
}

// Frame is one part of a streamed answer.
type Frame struct {
	AttemptID    string // ID of the attempt that generated it
	Offset       int    // index of the frame's token in the answer, from 0
	Content      []byte // text of the token as a JSON string
	FinishReason string // finish reason, empty before the last token
}

// Text returns the decoded text of the token, or a *MalformedFrameError if Content
// is not a JSON string.
func (f Frame) Text() (string, error) {
	if len(f.Content) == 0 {
		return "", nil
	}
	var text string
	if err := json.Unmarshal(f.Content, &text); err != nil {
		return "", &MalformedFrameError{Err: err}
	}
	return text, nil
}

// Stream reads the frames of one attempt. Close it after use.
type Stream struct {
	Weights Weights // weights that generate the answer, as reported by the engine
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// chunk is a chat completion chunk, extended by the offset of the token.
type chunk struct {
	ID      string `json:"id"`
	Offset  int    `json:"offset"`
	Choices []struct {
		Delta struct {
			Content json.RawMessage `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// TruncatedError reports that a stream ended before its end marker.
type TruncatedError struct{ Err error }

// Error implements error.
func (e *TruncatedError) Error() string {
	return "stream ended before its end marker: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// MalformedFrameError reports an event that is not a chat completion chunk.
type MalformedFrameError struct{ Err error }

// Error implements error.
func (e *MalformedFrameError) Error() string { return "malformed frame: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedFrameError) Unwrap() error { return e.Err }

// Generate starts an attempt and returns the stream of its answer. A status other
// than 200 gives a *StatusError.
func (c *Client) Generate(ctx context.Context, p GenerateRequest) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(p.Body))
	if err != nil {
		return nil, errors.Wrap(err, "generate")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttemptID, p.AttemptID)
	p.Weights.SetHeaders(req.Header)
	req.Header.Set(HeaderBlockKeys, strings.Join(p.BlockKeys, ","))
	req.Header.Set(HeaderPriority, strconv.Itoa(p.Priority))
	req.Header.Set(HeaderResumeOffset, strconv.Itoa(p.ResumeOffset))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "generate")
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, newStatusError("generate", resp)
	}
	return NewStream(resp.Body, WeightsFrom(resp.Header)), nil
}

// NewStream returns a stream that reads frames from the body of a response; w are the
// weights that the response names.
func NewStream(body io.ReadCloser, w Weights) *Stream {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxFrameBytes)
	return &Stream{Weights: w, body: body, scanner: s}
}

// Next returns the next frame. Its error is io.EOF at the end marker, a
// *TruncatedError if the stream ends before the marker, and a *MalformedFrameError
// if an event can't be decoded.
func (s *Stream) Next() (Frame, error) {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return Frame{}, io.EOF
		}
		return parseFrame(data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Frame{}, &TruncatedError{Err: err}
}

// Close closes the response body, which cancels an unfinished stream.
func (s *Stream) Close() error { return s.body.Close() }

// parseFrame decodes the data of one event.
func parseFrame(data []byte) (Frame, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Frame{}, &MalformedFrameError{Err: err}
	}
	f := Frame{AttemptID: c.ID, Offset: c.Offset}
	if len(c.Choices) > 0 {
		f.Content = c.Choices[0].Delta.Content
		if r := c.Choices[0].FinishReason; r != nil {
			f.FinishReason = *r
		}
	}
	return f, nil
}
