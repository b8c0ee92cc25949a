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

// maxFrameBytes bounds one server-sent event of an engine.
const maxFrameBytes = 1 << 20

// doneMarker ends a stream that is whole.
const doneMarker = "[DONE]"

// Prompt is one attempt at generating an answer.
type Prompt struct {
	AttemptID     string
	WeightVersion string   // weight version that must generate the answer
	BlockKeys     []string // block keys of the full pieces
	Priority      int
	ResumeOffset  int    // tokens the caller already has
	Body          []byte // the request in the chat completions format
}

// Frame is a part of an answer.
type Frame struct {
	AttemptID    string
	Offset       int    // number of the frame's token in the answer, from 0
	Content      []byte // the token's text as a JSON string
	FinishReason string // finish reason, empty until the last token
}

// Text returns the token's text.
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

// Stream reads the frames of one attempt.
type Stream struct {
	WeightVersion string // weight version that generates, as the engine says
	body          io.ReadCloser
	scanner       *bufio.Scanner
}

// chunk is a chat completion chunk with the token's offset.
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

// TruncatedError reports a stream that ended before its end marker.
type TruncatedError struct{ Err error }

// Error implements error.
func (e *TruncatedError) Error() string {
	return "stream ended before its end marker: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// MalformedFrameError reports an event that is no chat completion chunk.
type MalformedFrameError struct{ Err error }

// Error implements error.
func (e *MalformedFrameError) Error() string { return "malformed frame: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedFrameError) Unwrap() error { return e.Err }

// Generate starts an attempt. A status other than 200 is a *StatusError.
func (c *Client) Generate(ctx context.Context, p Prompt) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(p.Body))
	if err != nil {
		return nil, errors.Wrap(err, "generate")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttemptID, p.AttemptID)
	req.Header.Set(HeaderWeightVersion, p.WeightVersion)
	req.Header.Set(HeaderBlockKeys, strings.Join(p.BlockKeys, ","))
	req.Header.Set(HeaderPriority, strconv.Itoa(p.Priority))
	req.Header.Set(HeaderResumeOffset, strconv.Itoa(p.ResumeOffset))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "generate")
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError("generate", resp)
	}
	return NewStream(resp.Body, resp.Header.Get(HeaderWeightVersion)), nil
}

// NewStream reads frames from the body of an answer.
func NewStream(body io.ReadCloser, version string) *Stream {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxFrameBytes)
	return &Stream{WeightVersion: version, body: body, scanner: s}
}

// Next returns the next frame; io.EOF after the end marker, a *TruncatedError
// if the stream breaks before it.
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

// Close releases the connection; an unfinished stream is cancelled.
func (s *Stream) Close() error { return s.body.Close() }

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
